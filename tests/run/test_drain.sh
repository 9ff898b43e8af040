#!/bin/sh
# Guards against a planned stop that interrupts a request in flight, and
# against requests that reach an upstream after its node has left.
set -eu
. tools/fleet.sh
trap fleet_stop EXIT INT TERM

fleet_platform
fleet_publish_preset presets/demo.toml
for domain in 1 2 3; do
	fleet_upstream orders$domain --slots 75 --work-ms 20
	fleet_node $domain $domain orders orders$domain 75 550
done
fleet_publish_vms
fleet_wait_ready 20
sleep 3
"$BUILD/standin_load" --port "$(cat "$FLEET_DIR/node2.front")" \
	--port "$(cat "$FLEET_DIR/node3.front")" --rate 200 --seconds 8 \
	--order-share 0.3 --lookup-service orders --timeout-ms 5000 --retries 0 \
	--records "$FLEET_DIR/records" --json "$FLEET_DIR/load.json" >"$FLEET_DIR/load.out" &
load=$!
sleep 2
pid=$(fleet_pid node1)
kill -TERM "$pid"
# Repeated signals must not end the process at any point of the shutdown.
n=0
while kill -TERM "$pid" 2>/dev/null && [ $n -lt 200000 ]; do
	n=$((n + 1))
done
code=0
wait "$pid" || code=$?
[ $code -eq 0 ] || { echo "exit code $code after SIGTERM"; exit 1; }
attempts()
{
	curl -s "http://127.0.0.1:$(cat "$FLEET_DIR/orders1.control")/counts" | sed -n 's/^attempts //p'
}
sleep 3
before=$(attempts)
wait $load
after=$(attempts)
cat "$FLEET_DIR/load.out"
[ "$before" -gt 0 ] || { echo "the leaving upstream got no requests"; exit 1; }
[ "$before" -eq "$after" ] || { echo "requests after the node left: attempts went from $before to $after"; exit 1; }
awk '/"kind"/ && (!/"unknown":0,/ || !/"error":0,/ || !/"not_run":0,/ || !/"refused":0,/) { print "interrupted: " $0; failed = 1 } END { exit failed }' \
	"$FLEET_DIR/load.json"
for domain in 1 2 3; do
	curl -s "http://127.0.0.1:$(cat "$FLEET_DIR/orders$domain.control")/runs"
done >"$FLEET_DIR/runs"
awk -f tools/compare_runs.awk "$FLEET_DIR/runs" "$FLEET_DIR/records"
