# Functions to start and stop nodes of the platform's daemon with stand-ins, one
# VM per address 127.0.0.N.  Sourced by scripts.

FLEET_DIR=$(mktemp -d)
FLEET_PIDS=""
# All nodes use the same ports, as on the platform.
FLEET_PORT=$("$BUILD/standin_endpoint")
# Failure domain of all VMs; empty: each VM has its own.
FLEET_ZONE=""
# More fields of the settings' bounds.
FLEET_BOUNDS=""
# Network prefix at which other nodes reach a VM: its own or that of proxies.
FLEET_NET=127.0.0
# Sequence of the entries that are published.
FLEET_SEQUENCE=1
# Teams of each configuration, as a JSON array, what routes have beside the usual,
# and the key of requests; empty: none.
FLEET_TEAMS=""
FLEET_ROUTE=""
FLEET_KEY=""

fleet_start()
{
	name=$1
	shift
	"$@" >"$FLEET_DIR/$name.out" 2>"$FLEET_DIR/$name.err" &
	echo $! >"$FLEET_DIR/$name.pid"
	FLEET_PIDS="$FLEET_PIDS $!"
}

fleet_pid()
{
	cat "$FLEET_DIR/$1.pid"
}

fleet_stop()
{
	for pid in $FLEET_PIDS; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	rm -rf "$FLEET_DIR"
}

# Kills a process and waits until its ports are free.
fleet_kill()
{
	kill -KILL "$(fleet_pid "$1")"
	wait "$(fleet_pid "$1")" 2>/dev/null || true
}

# Waits up to 10 s until a command succeeds.
fleet_until()
{
	n=0
	until "$@" >/dev/null 2>&1; do
		n=$((n + 1))
		[ $n -lt 200 ] || { { echo "timed out: $*"; tail -n 30 "$FLEET_DIR"/node*.out; } >&2; return 1; }
		sleep 0.05
	done
}

fleet_store()
{
	fleet_start store "$BUILD/standin_store" "${1:-500}"
	fleet_until test -s "$FLEET_DIR/store.out"
	STORE=$(cat "$FLEET_DIR/store.out")
}

store_put()
{
	curl -s -X PUT --data-binary "$2" "http://127.0.0.1:$STORE/put?key=$1" >/dev/null
}

store_command()
{
	curl -s -X POST "http://127.0.0.1:$STORE/$1"
}

# fleet_entry N ID STATE: publishes the store entry of the endpoint of VM N.
fleet_entry()
{
	store_put "servers/$2" "{\"service\":\"shop\",\"address\":\"$FLEET_NET.$1:$((FLEET_PORT + 1))\",\"zone\":\"${FLEET_ZONE:-z$1}\",\"version\":\"v1\",\"slots\":20,\"state\":\"$3\",\"coldRemainingMs\":0,\"sequence\":$FLEET_SEQUENCE}"
}

# fleet_proxy NAME LISTEN_IP TARGET_IP PORT...: starts a fault-injecting proxy.
fleet_proxy()
{
	name=proxy$1
	shift
	fleet_start "$name" "$BUILD/standin_proxy" "$@"
	fleet_until test -s "$FLEET_DIR/$name.out"
}

# fleet_path NAME COMMAND: sends a command to a proxy.
fleet_path()
{
	curl -s "http://127.0.0.1:$(cat "$FLEET_DIR/proxy$1.out")/$2" >/dev/null
}

fleet_endpoint()
{
	fleet_start "endpoint$1" "$BUILD/standin_endpoint" "127.0.0.$1" $((FLEET_PORT + 1)) "$2" "${3:-5}" ${FLEET_TEAMS:+all}
}

# fleet_settings N: writes the settings file of VM N.
fleet_settings()
{
	ip=127.0.0.$1
	cat >"$FLEET_DIR/node$1.json" <<END
{"nodeName":"node$1","role":"node","ip":"$FLEET_NET.$1","zone":"${FLEET_ZONE:-z$1}","service":"shop",
"listenAddresses":{"outbound":"$ip:$((FLEET_PORT + 2))","inbound":"$ip:$((FLEET_PORT + 3))",
"ready":"$ip:$((FLEET_PORT + 4))","control":"$ip:$((FLEET_PORT + 5))"},
"seedNodes":["$FLEET_NET.3:$((FLEET_PORT + 5))","$FLEET_NET.2:$((FLEET_PORT + 5))"],"appAddress":"$ip:$((FLEET_PORT + 1))",
"bounds":{"gracePeriodS":6,"retryBudgetRatio":0.2,"budgetWindowS":10,"budgetExtraRetries":48${FLEET_BOUNDS:+,$FLEET_BOUNDS}},
"internalPortRange":[$((FLEET_PORT + 6)),$((FLEET_PORT + 7))],
"platform":{"address":"${FLEET_STORE:-127.0.0.1}:$STORE"}}
END
}

fleet_node()
{
	fleet_settings "$1"
	fleet_start "node$1" "$BUILD/eelgrasslatch-platformd" --config "$FLEET_DIR/node$1.json"
}

fleet_is_ready()
{
	[ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.$1:$((FLEET_PORT + 4))/api/readiness")" = 200 ]
}

# fleet_config VERSION PREFIX...: publishes a configuration with these routes.
fleet_config()
{
	version=$1
	shift
	routes=""
	for prefix in "$@"; do
		kind=safe
		case $prefix in /once*) kind=non_idempotent ;; esac
		routes="$routes${routes:+,}{\"name\":\"r$prefix\",\"host\":\"shop.example\",\"prefix\":\"$prefix\",\"kind\":\"$kind\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":0,\"service\":\"shop\",\"attempts\":2$FLEET_ROUTE}"
	done
	store_put op/config "{\"version\":$version,\"routes\":[$routes]${FLEET_TEAMS:+,\"tenants\":$FLEET_TEAMS},\"services\":[{\"name\":\"shop\"}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"
}

# fleet_ask N ID TARGET [curl options]: prints body and status of one request.
fleet_ask()
{
	vm=$1
	id=$2
	target=$3
	shift 3
	curl -s -w '%{http_code}\n' -H "Host: shop.example" -H "X-Attempt-Id: $id" \
		-H "X-Deadline-Remaining-Ms: 3000" ${FLEET_KEY:+-H "Authorization: Bearer $FLEET_KEY"} "$@" "http://127.0.0.$vm:$((FLEET_PORT + 2))$target"
}

# fleet_returns STATUS N TARGET: true if a request at VM N gets this status.
fleet_returns()
{
	[ "$(fleet_ask "$2" "probe" "$3" -o /dev/null)" = "$1" ]
}
