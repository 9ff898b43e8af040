#!/bin/sh
# Guards against a request that crashes one upstream after another: after its
# second crash every node refuses it and still serves other requests.
set -eu
. tools/fleet.sh
trap fleet_stop EXIT INT TERM

fleet_platform
fleet_publish_preset presets/demo.toml
for domain in 1 2 3; do
	fleet_upstream orders$domain --slots 10 --work-ms 2
	fleet_node $domain $domain orders orders$domain 10 20
done
fleet_publish_vms
fleet_wait_ready 20
sleep 3

# Prints the status and error kind of a lookup at node $1.
lookup()
{
	node=$1
	path=$2
	shift 2
	curl -s -o /dev/null -D - "http://127.0.0.1:$(cat "$FLEET_DIR/node$node.front")$path" \
		-H 'Eel-Service: orders' "$@" | tr -d '\r' |
		awk '/^HTTP/ { s = $2 } /^Eel-Error/ { e = $2 } END { print s, e }'
}

for try in 1 2 3; do
	lookup 1 /bad -H 'X-Crash: 1' >/dev/null
done
# Longer than a probe interval, so that the quarantine has reached every node.
sleep 2
for node in 1 2 3; do
	n=0
	until [ "$(lookup $node /bad -H 'X-Crash: 1')" = "403 quarantined" ]; do
		n=$((n + 1))
		[ $n -lt 100 ] || { echo "node $node still runs the request"; exit 1; }
		sleep 0.1
	done
done
crashes=0
for domain in 1 2 3; do
	c=$(curl -s "http://127.0.0.1:$(cat "$FLEET_DIR/orders$domain.control")/counts" | sed -n 's/^crashes //p')
	crashes=$((crashes + c))
done
echo "crashes: $crashes"
[ $crashes -le 2 ] || { echo "more than two upstreams crashed"; exit 1; }
for node in 1 2 3; do
	[ "$(lookup $node /good)" = "200 " ] || { echo "node $node: another request is refused"; exit 1; }
done
