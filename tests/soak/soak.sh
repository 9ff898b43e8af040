#!/bin/sh
# Runs real processes for SECONDS_MAX seconds under faults drawn from SEED:
# nodes killed, stopped, paused and restarted, endpoints killed, the store down
# or compacted, configuration changes and drains in series, and paths between
# nodes or to the store that delay, reset or stall in one or both directions
# while other faults continue.  Then checks the records of callers and
# endpoints: an order ran at most once; a refused order never ran; an order
# answered 200 ran; each caller got the answer to its own request; no
# configuration version decreased; planned stops exited with 0 and interrupted
# no request; a draining endpoint gets no requests after 3 s; the newest
# configuration is in force at the end, and no node keeps what the load took.  A
# request that crashes each endpoint comes again among the others.  With seeds
# that three divides the callers belong to teams (tests/soak/teams.sh); with those
# that leave 1 or 2 when divided by five the store comes back from copies
# (tests/soak/drill.sh).
set -eu
SEED=${SEED:-1}
SECONDS_MAX=${SECONDS_MAX:-20}
. tools/platform_fleet.sh
. tests/soak/teams.sh
. tests/soak/drill.sh
trap fleet_stop EXIT INT TERM

VMS="2 3 4"
state=$SEED

# Sets $drawn to a number below $1 from a linear congruential generator.
draw()
{
	state=$(((state * 1103515245 + 12345) % 2147483648))
	drawn=$((state / 65536 % $1))
}

draw_vm()
{
	draw 3
	vm=$((drawn + 2))
}

# caller N VM TEAM: sends requests one after another and records each in callerN.
caller()
{
	n=0
	while [ -d "$FLEET_DIR" ] && [ ! -e "$FLEET_DIR/end" ]; do
		n=$((n + 1))
		id=c$1-$n
		target=/safe/x
		method=GET
		[ $((n % 2)) -eq 0 ] || { target=/once/x; method=POST; }
		team_key "$3"
		sent_ms=$(date +%s%3N)
		code=$(curl -s -m 4 -o "$FLEET_DIR/body$1" -D "$FLEET_DIR/head$1" -w '%{http_code}' \
			-X $method -H "Host: shop.example" -H "X-Attempt-Id: $id" \
			-H "X-Deadline-Remaining-Ms: 3000" ${FLEET_TEAMS:+-H "Authorization: Bearer $key" -H "X-Tenant: forged"} \
			"http://127.0.0.$2:$((FLEET_PORT + 2))$target" || true)
		echoed=$(sed -n 's/^X-Attempt-Id: \([^\r]*\).*/\1/p' "$FLEET_DIR/head$1" 2>/dev/null || true)
		echo "$id $method $code ${echoed:--} ${key:--} $sent_ms"
	done >"$FLEET_DIR/caller$1"
}

restart_node()
{
	cat "$FLEET_DIR/node$1.out" >>"$FLEET_DIR/node$1.log"
	echo "restarted" >>"$FLEET_DIR/node$1.log"
	fleet_node "$1"
}

restart_endpoint()
{
	cat "$FLEET_DIR/endpoint$1.out" >>"$FLEET_DIR/runs"
	: >"$FLEET_DIR/endpoint$1.out"
	for old_id in $(sed -n "s/^$1 //p" "$FLEET_DIR/ids"); do
		store_command "remove?key=servers/$old_id" >/dev/null
	done
	epoch=$((epoch + 1))
	echo "$1 up-$1-$epoch" >>"$FLEET_DIR/ids"
	fleet_endpoint "$1" "up-$1-$epoch" 20
	fleet_entry "$1" "up-$1-$epoch" ready
}

# Checks that an endpoint gets no requests 3 s to 4 s after its drain began.
drain_endpoint()
{
	fleet_entry "$1" "$(sed -n "s/^$1 //p" "$FLEET_DIR/ids" | tail -1)" draining
	sleep 3
	before=$(grep -vc '^probe' "$FLEET_DIR/endpoint$1.out" || true)
	sleep 1
	after=$(grep -vc '^probe' "$FLEET_DIR/endpoint$1.out" || true)
	[ "$before" -eq "$after" ] || { echo "VIOLATION endpoint $1 got requests after its drain"; failed=1; }
	fleet_kill endpoint$1
	restart_endpoint "$1"
}

# Stops a node while a client sends requests over one keep-alive connection, and
# while an endpoint is at work on another one for longer than the node takes new
# ones.
stop_during_keep_alive()
{
	fleet_until fleet_returns 200 2 /safe/x
	urls=""
	for n in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
		urls="$urls -o /dev/null http://127.0.0.2:$((FLEET_PORT + 2))/safe/k"
	done
	# shellcheck disable=SC2086
	curl -s -w '%{http_code}\n' -H "Host: shop.example" -H "X-Attempt-Id: keep-alive" \
		-H "X-Deadline-Remaining-Ms: 3000" ${FLEET_KEY:+-H "Authorization: Bearer $FLEET_KEY"} $urls >"$FLEET_DIR/keep_alive" &
	pid=$!
	curl -s -m 6 -o /dev/null -w '%{http_code}' -H "Host: shop.example" -H "X-Attempt-Id: long" \
		-H "X-Deadline-Remaining-Ms: 5000" ${FLEET_KEY:+-H "Authorization: Bearer $FLEET_KEY"} \
		"http://127.0.0.2:$((FLEET_PORT + 2))/safe/long" >"$FLEET_DIR/long" &
	long=$!
	sleep 0.2
	kill -TERM "$(fleet_pid node2)"
	wait $pid || true
	wait $long || true
	[ "$(cat "$FLEET_DIR/long")" = 200 ] || { echo "VIOLATION planned stop: a long request got $(cat "$FLEET_DIR/long")"; failed=1; }
	interrupted=$(grep -c '^000' "$FLEET_DIR/keep_alive" || true)
	[ "$interrupted" -eq 0 ] || { echo "VIOLATION $interrupted requests interrupted by a planned stop"; failed=1; }
}

# Injects a path fault for 1 to 3 s in the background.
inject_path_fault()
{
	draw 3
	(
		fleet_path "$1" "$2"
		sleep $((drawn + 1))
		fleet_path "$1" pass
	) &
	path_faults="$path_faults $!"
}

inject_fault()
{
	draw_vm
	draw 17
	echo "fault $drawn vm $vm"
	case $drawn in
	0) fleet_kill node$vm; sleep 0.2; restart_node $vm ;;
	1)
		pid=$(fleet_pid node$vm)
		kill -TERM "$pid"
		code=0
		wait "$pid" || code=$?
		[ $code -eq 0 ] || { echo "VIOLATION exit code $code after SIGTERM"; failed=1; }
		restart_node $vm
		;;
	2) kill -STOP "$(fleet_pid node$vm)"; sleep 1; kill -CONT "$(fleet_pid node$vm)" ;;
	3) fleet_kill endpoint$vm; sleep 0.2; restart_endpoint $vm ;;
	4) kill -STOP "$(fleet_pid endpoint$vm)"; sleep 0.5; kill -CONT "$(fleet_pid endpoint$vm)" ;;
	5) store_command down >/dev/null; sleep 1; store_command up >/dev/null ;;
	6) store_command compact >/dev/null ;;
	7)
		version=$((version + 2))
		fleet_config $version /safe/ /once/
		;;
	9) fleet_config $((version - 1)) /safe/ ;;
	10) drain_endpoint $vm ;;
	11) inject_path_fault $vm delay ;;
	12) inject_path_fault $vm stall ;;
	13) inject_path_fault $vm stall-inbound ;;
	14) fleet_path $vm reset ;;
	15) inject_path_fault store stall ;;
	16) fleet_path store reset ;;
	8) kill -HUP "$(fleet_pid node$vm)" ;;
	esac
}

# Sets $drawn as draw does, from numbers of its own: the sequence of faults of a
# seed stays what it was.
draw_extra()
{
	extra_state=$(((extra_state * 1103515245 + 12345) % 2147483648))
	drawn=$((extra_state / 65536 % $1))
}

# split_config PARTS WEIGHT [PREFIX]: publishes a configuration that splits /safe/,
# and PREFIX, into parts of one service.
split_config()
{
	parts=""
	for _ in $(seq "$1"); do
		parts="$parts${parts:+,}{\"service\":\"shop\",\"weight\":$2}"
	done
	route="\"host\":\"shop.example\",\"timeoutMs\":5000,\"targetLatencyMs\":1000,\"priority\":0,\"attempts\":2$FLEET_ROUTE"
	splits=""
	for prefix in /safe/ ${3:-}; do
		splits="$splits{\"prefix\":\"$prefix\",\"kind\":\"safe\",$route,\"trafficSplit\":[$parts]},"
	done
	version=$((version + 2))
	store_put op/config "{\"version\":$version,\"routes\":[$splits{\"prefix\":\"/once/\",\"kind\":\"non_idempotent\",$route,\"service\":\"shop\"}]${FLEET_TEAMS:+,\"tenants\":$FLEET_TEAMS},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"
}

# What other writers and operators may do, and uploads.
do_extra()
{
	draw_extra 8
	case $drawn in
	0)
		for n in 1 2 3 4; do
			store_put "servers/foreign$n" "@$FLEET_DIR/large"
		done
		;;
	1) store_put "servers/odd" '{"service":7,"state":"ready"}' ;;
	2) split_config 24 0.1 ;;
	3) split_config 9 10 ;;
	4)
		draw_extra 3
		uploads=$((uploads + 1))
		curl -s -m 4 -o /dev/null -X POST --data-binary "@$FLEET_DIR/large" \
			-H "Host: shop.example" -H "X-Attempt-Id: upload$uploads" \
			-H "X-Deadline-Remaining-Ms: 3000" ${FLEET_KEY:+-H "Authorization: Bearer $FLEET_KEY"} \
			"http://127.0.0.$((drawn + 2)):$((FLEET_PORT + 2))/once/upload" || true
		;;
	5)
		for each in $VMS; do
			send_crasher $each
		done
		;;
	6) [ -z "$FLEET_TEAMS" ] || revoke_key ;;
	*) ;;
	esac
}

# Sends the request that ends any endpoint that runs it, and starts those again
# that have ended.
send_crasher()
{
	crashers=$((crashers + 1))
	curl -s -m 4 -o /dev/null -X POST -H "Host: shop.example" -H "X-Attempt-Id: crasher$crashers" \
		-H "X-Deadline-Remaining-Ms: 3000" ${FLEET_KEY:+-H "Authorization: Bearer $FLEET_KEY"} \
		"http://127.0.0.$1:$((FLEET_PORT + 2))/once/crash" || true
	for ended in $VMS; do
		[ -e "/proc/$(fleet_pid endpoint$ended)/exe" ] || restart_endpoint $ended
	done
}

# Descriptors and kilobytes of memory that a node may have without load.
IDLE_DESCRIPTORS_MAX=120
IDLE_MEMORY_MAX_KB=65536
# With SANITIZE=1: freed memory that the sanitizer holds back isn't kept by the node.
export ASAN_OPTIONS="${ASAN_OPTIONS:-quarantine_size_mb=1:thread_local_quarantine_size_kb=16}"

# Checks what is left in a node when the load is gone.
check_idle()
{
	pid=$(fleet_pid node$1)
	descriptors=$(ls "/proc/$pid/fd" | wc -l)
	memory_kb=$(awk '/^VmRSS:/ { print $2 }' "/proc/$pid/status")
	[ "$descriptors" -le $IDLE_DESCRIPTORS_MAX ] || { echo "VIOLATION node $1 keeps $descriptors descriptors"; failed=1; }
	[ "$memory_kb" -le $IDLE_MEMORY_MAX_KB ] || { echo "VIOLATION node $1 keeps $memory_kb kB"; failed=1; }
}

# Checks that the newest configuration is in force at a node, whatever came
# before it.
check_newest()
{
	fleet_until fleet_returns 200 "$1" /last/x || { echo "VIOLATION node $1 has not taken the last configuration"; failed=1; }
}

# Nodes reach VM N through the proxy 127.0.1.N and the store through 127.0.1.1.
FLEET_NET=127.0.1
FLEET_STORE=127.0.1.1
# With even seeds all VMs are in one failure domain, and one node reads the store
# for the others.
if [ $((SEED % 2)) -eq 0 ]; then
	FLEET_ZONE=z
fi
if [ $((SEED % 3)) -eq 0 ]; then
	start_teams
fi
fleet_store 2
fleet_proxy store 127.0.1.1 127.0.0.1 "$STORE"
for vm in $VMS; do
	fleet_proxy $vm 127.0.1.$vm 127.0.0.$vm $((FLEET_PORT + 3)) $((FLEET_PORT + 5))
done
path_faults=""
extra_state=$((SEED + 7919))
uploads=0
crashers=0
head -c 1048576 /dev/zero | tr '\0' x >"$FLEET_DIR/large"
epoch=0
version=1
failed=0
: >"$FLEET_DIR/runs"
for vm in $VMS; do
	echo "$vm up-$vm" >>"$FLEET_DIR/ids"
	fleet_endpoint $vm up-$vm 20
	fleet_node $vm
	fleet_entry $vm up-$vm ready
done
fleet_config 1 /safe/ /once/
for vm in $VMS; do
	fleet_until fleet_is_ready $vm
	fleet_until fleet_returns 200 $vm /safe/x
done
callers=""
for vm in $VMS; do
	caller $vm $vm steady &
	callers="$callers $!"
	caller 1$vm $vm moving &
	callers="$callers $!"
	if [ -n "$FLEET_TEAMS" ]; then
		caller 2$vm $vm hot &
		callers="$callers $!"
	fi
done
end=$(($(date +%s) + SECONDS_MAX))
while [ "$(date +%s)" -lt $end ]; do
	inject_fault
	do_extra
	case $((SEED % 5)) in
	1 | 2) drill ;;
	esac
	draw 5
	sleep 0.$((drawn + 1))
done
for pid in $path_faults; do
	wait "$pid" || true
done
touch "$FLEET_DIR/end"
for pid in $callers; do
	wait "$pid" || true
done
split_config 24 0.1 /last/
for vm in $VMS; do
	check_newest $vm
	check_idle $vm
done
stop_during_keep_alive
sleep 0.5
cat "$FLEET_DIR"/endpoint?.out >>"$FLEET_DIR/runs"
cat "$FLEET_DIR"/caller* >"$FLEET_DIR/answers"
for vm in $VMS; do
	cat "$FLEET_DIR/node$vm.out" >>"$FLEET_DIR/node$vm.log"
done
if [ -n "${SOAK_KEEP:-}" ]; then
	cp -r "$FLEET_DIR" "$SOAK_KEEP"
fi
awk -f tests/soak/check.awk "$FLEET_DIR/runs" "$FLEET_DIR/answers" || failed=1
[ -z "$FLEET_TEAMS" ] || check_teams
awk '/^restarted$/ { last = -1 }
	/event=config_in_force/ { split($0, part, "version="); v = part[2] + 0
		if (v < last) { print "VIOLATION configuration version decreased to " v; failed = 1 }
		last = v }
	FNR == 1 { last = -1 }
	END { exit failed }' "$FLEET_DIR"/node?.log || failed=1
echo "soak seed $SEED: $([ $failed -eq 0 ] && echo passed || echo failed)"
exit $failed
