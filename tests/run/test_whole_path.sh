#!/bin/sh
# Guards against an answer that differs from docs/callers.md for calls through
# an entry node and a second node.  Compares with whole_path.expected.
set -eu
. tools/fleet.sh
trap fleet_stop EXIT INT TERM

fleet_platform
fleet_publish_preset presets/demo.toml
fleet_upstream orders1 --slots 10 --work-ms 2 --next billing
fleet_node 1 1 orders orders1 10 20
fleet_upstream billing1 --slots 10 --work-ms 2
fleet_node 2 2 billing billing1 10 20
fleet_publish_vms
fleet_wait_ready 20
front=$(cat "$FLEET_DIR/node2.front")

# Retries for at most 10 s until the entry node can route to the endpoint.
n=0
until curl -s -o /dev/null -f "http://127.0.0.1:$front/x" -H 'Eel-Service: orders'; do
	n=$((n + 1))
	[ $n -lt 100 ] || break
	sleep 0.1
done

new_key()
{
	curl -s -X POST "http://127.0.0.1:$front/eel/v1/keys?count=1"
}

# Prints status, the Eel-* headers without keys, and the first body line.
call()
{
	name=$1
	path=$2
	shift 2
	echo "== $name"
	curl -s -i "http://127.0.0.1:$front$path" "$@" | tr -d '\r' |
		sed -n -e '1p' -e '/^Eel-Next-Key/d' -e '/^Eel-/p' -e '/^$/{n;p;}' |
		sed -e 's/ AQAA[A-Za-z0-9_-]*/ KEY/'
}

{
	call "lookup" /x -H 'Eel-Service: orders'
	key=$(new_key)
	call "order" /order -H 'Eel-Service: orders' -H "Eel-Key: $key" -d a=1
	call "same order again" /order -H 'Eel-Service: orders' -H "Eel-Key: $key" -d a=1
	call "other order under the same key" /order -H 'Eel-Service: orders' -H "Eel-Key: $key" -d a=2
	call "order without a key" /order -H 'Eel-Service: orders' -d a=1
	call "forged key" /order -H 'Eel-Service: orders' \
		-H "Eel-Key: $(echo "$key" | tr 'a-y' 'b-z')" -d a=1
	call "unknown service" /x -H 'Eel-Service: nothing'
	call "bad class" /x -H 'Eel-Service: orders' -H 'Eel-Class: urgent'
	call "bad timeout" /x -H 'Eel-Service: orders' -H 'Eel-Timeout-Ms: 0'
	call "header twice" /x -H 'Eel-Service: orders' -H 'Eel-Class: lookup' -H 'Eel-Class: lookup'
	call "deadline passed" /x -H 'Eel-Service: orders' -H 'Eel-Deadline: 1000'
	call "parent that is not running" /x -H 'Eel-Service: orders' -H 'Eel-Parent: 99'
	echo "== runs"
	for name in orders1 billing1; do
		curl -s "http://127.0.0.1:$(cat "$FLEET_DIR/$name.control")/runs" |
			awk -v n=$name '{ c[$2]++ } END { for (k in c) print n, "keys that ran", k, "times:", c[k] }'
	done
} >"$FLEET_DIR/actual"
if [ "${UPDATE:-}" = 1 ]; then
	cp "$FLEET_DIR/actual" tests/run/whole_path.expected
fi
diff tests/run/whole_path.expected "$FLEET_DIR/actual"
