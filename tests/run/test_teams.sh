#!/bin/sh
# Three nodes with keys of teams: a key that was withdrawn is served by none of
# them, whatever happens to the store, the other nodes or the process, and no key
# stands in any output.  Compares what happens with teams.expected.
set -eu
. tools/platform_fleet.sh
trap fleet_stop EXIT INT TERM
FLEET_BOUNDS='"strictRevocation":true,"revocationMs":3000'
VMS="2 3 4"
KEYS="kalpha.7Qz kbeta.9Wx kgone.3Rt kwrong.5Yp"

# teams_config VERSION KEY...: a configuration in which team a holds these keys
# and team b another one; /open/ is public.
teams_config()
{
	version=$1
	shift
	keys=""
	for each in "$@"; do
		keys="$keys${keys:+,}\"$each\""
	done
	routes=""
	for prefix in /safe/ /open/; do
		public=false
		[ $prefix = /open/ ] && public=true
		routes="$routes${routes:+,}{\"name\":\"r$prefix\",\"host\":\"shop.example\",\"prefix\":\"$prefix\",\"kind\":\"safe\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":0,\"service\":\"shop\",\"attempts\":2,\"public\":$public}"
	done
	store_put op/config "{\"version\":$version,\"routes\":[$routes],\"services\":[{\"name\":\"shop\"}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"a\",\"apiKeys\":[$keys]},{\"name\":\"b\",\"apiKeys\":[\"kbeta.9Wx\"],\"priority\":1}]}"
}

# status VM TARGET [KEY]
status()
{
	vm=$1
	target=$2
	fleet_ask "$vm" probe "$target" -o /dev/null ${3:+-H "Authorization: Bearer $3"}
}

# all_answer STATUS TARGET KEY VM...: true when each VM answers so.
all_answer()
{
	want=$1
	target=$2
	key=$3
	shift 3
	for vm in "$@"; do
		[ "$(status "$vm" "$target" "$key")" = "$want" ] || return 1
	done
}

# Prints the sorted statuses that VM $1 answers to key $2 for 1 s.
statuses()
{
	n=0
	while [ $n -lt 20 ]; do
		status "$1" /safe/x "$2"
		n=$((n + 1))
		sleep 0.05
	done | sort -u
}

fleet_store
# VM 4 reaches the store through a proxy.
fleet_proxy store 127.0.1.4 127.0.0.1 "$STORE"
for vm in $VMS; do
	fleet_endpoint "$vm" "up-$vm"
	fleet_entry "$vm" "up-$vm" ready
done
start_node()
{
	FLEET_STORE=127.0.0.1
	[ "$1" = 4 ] && FLEET_STORE=127.0.1.4
	fleet_node "$1"
}

{
	for vm in $VMS; do
		start_node "$vm"
	done
	for vm in $VMS; do
		fleet_until grep -q event=started "$FLEET_DIR/node$vm.out"
		fleet_until all_answer 503 /safe/x kalpha.7Qz "$vm"
	done
	echo "no configuration: 503, public $(status 2 /open/x), no key $(status 2 /safe/x)"
	teams_config 1 kalpha.7Qz kgone.3Rt
	fleet_until all_answer 200 /safe/x kalpha.7Qz $VMS
	echo "key in force: 200, of b $(status 3 /safe/x kbeta.9Wx), unknown $(status 3 /safe/x kwrong.5Yp), none $(status 4 /safe/x), public $(status 4 /open/x)"
	fleet_path store stall
	fleet_until grep -q event=store_lost "$FLEET_DIR/node4.out"
	teams_config 2 kalpha.7Qz
	fleet_until all_answer 401 /safe/x kgone.3Rt $VMS
	echo "one node is cut off from the store: others tell it, key in force $(statuses 4 kalpha.7Qz)"
	for vm in 2 3; do
		kill -STOP "$(fleet_pid "node$vm")"
	done
	teams_config 3 kgone.3Rt
	sleep 3
	echo "and from the others: $(status 4 /safe/x kalpha.7Qz), unknown $(status 4 /safe/x kwrong.5Yp), public $(status 4 /open/x)"
	for vm in 2 3; do
		kill -CONT "$(fleet_pid "node$vm")"
	done
	for vm in 2 3; do
		case $(status "$vm" /safe/x kalpha.7Qz) in
		401 | 503) echo "a node that was stopped for longer than the bound goes on: refused" ;;
		*) echo "withdrawn key served" ;;
		esac
	done
	fleet_until all_answer 401 /safe/x kalpha.7Qz $VMS
	fleet_until all_answer 200 /safe/x kgone.3Rt $VMS
	echo "all reach each other: key that returned $(status 4 /safe/x kgone.3Rt)"
	fleet_path store pass
	store_command down >/dev/null
	sleep 3
	echo "the store is down: $(for vm in $VMS; do status "$vm" /safe/x kgone.3Rt; done | sort -u), public $(status 3 /open/x)"
	fleet_kill node2
	start_node 2
	fleet_until all_answer 200 /open/x "" 2
	echo "a node restarts meanwhile: $(statuses 2 kgone.3Rt), public $(status 2 /open/x)"
	teams_config 4 kalpha.7Qz
	store_command up >/dev/null
	fleet_until all_answer 200 /safe/x kalpha.7Qz $VMS
	fleet_until all_answer 401 /safe/x kgone.3Rt $VMS
	echo "it is back: new key $(status 2 /safe/x kalpha.7Qz), old key $(status 2 /safe/x kgone.3Rt)"
	store_command drop-events >/dev/null
	teams_config 5 kbeta.9Wx
	sleep 3
	echo "it leaves changes out: $(for vm in $VMS; do status "$vm" /safe/x kalpha.7Qz; done | sort -u)"
	store_command send-events >/dev/null
	# b's key is held by a too, so it serves neither.
	fleet_until all_answer 401 /safe/x kalpha.7Qz $VMS
	fleet_until all_answer 401 /safe/x kbeta.9Wx $VMS
	echo "and tells them: key that two teams hold $(status 2 /safe/x kbeta.9Wx)"
	teams_config 6 kalpha.7Qz
	fleet_until all_answer 200 /safe/x kalpha.7Qz $VMS
	for vm in $VMS; do
		kill -STOP "$(fleet_pid "node$vm")"
	done
	teams_config 7 kgone.3Rt
	sleep 10
	# Asked while they are stopped, at once when they go on and for 1 s.
	asking=""
	for vm in $VMS; do
		status "$vm" /safe/x kalpha.7Qz >"$FLEET_DIR/stopped$vm" &
		asking="$asking $!"
	done
	sleep 0.2
	for vm in $VMS; do
		kill -CONT "$(fleet_pid "node$vm")"
	done
	for vm in $VMS; do
		statuses "$vm" kalpha.7Qz >"$FLEET_DIR/woken$vm" &
		asking="$asking $!"
	done
	wait $asking
	for vm in $VMS; do
		[ -s "$FLEET_DIR/stopped$vm" ] && [ -s "$FLEET_DIR/woken$vm" ]
		echo "stopped for 10 s, key withdrawn meanwhile: served $(cat "$FLEET_DIR/stopped$vm" "$FLEET_DIR/woken$vm" | grep -cv -e 401 -e 503)"
	done
	fleet_until all_answer 401 /safe/x kalpha.7Qz $VMS
	fleet_until all_answer 200 /safe/x kgone.3Rt $VMS
	for vm in $VMS; do
		curl -s "http://127.0.0.$vm:9464/metrics" >"$FLEET_DIR/metrics$vm.out" || true
		curl -s "http://127.0.0.$vm:$((FLEET_PORT + 4))/api/readiness" >"$FLEET_DIR/ready$vm.out"
	done
	for each in $KEYS; do
		grep -lF "$each" "$FLEET_DIR"/*.out "$FLEET_DIR"/*.err || true
	done
	echo "lines of changes: $(grep -c 'event=team_keys team="a"' "$FLEET_DIR/node3.out")"
	echo "outputs with a key: $(grep -lF -e kalpha.7Qz -e kbeta.9Wx -e kgone.3Rt -e kwrong.5Yp "$FLEET_DIR"/*.out "$FLEET_DIR"/*.err | wc -l)"
} >"$FLEET_DIR/result.txt"
cat "$FLEET_DIR/result.txt"
diff tests/run/teams.expected "$FLEET_DIR/result.txt"
