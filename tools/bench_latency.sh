#!/bin/sh
# Measures the latency that nodes add to a call, through the upstream's own node
# and through an entry node and a second node, over direct calls to the same
# stand-in in the same run, at 400 and at 5,000 calls/s.
set -eu
cd "$(dirname "$0")/.."
. tools/fleet.sh
trap fleet_stop EXIT INT TERM
SECONDS_EACH=${SECONDS_EACH:-8}
RUNS=${RUNS:-3}

fleet_platform
fleet_publish_preset presets/demo.toml
fleet_upstream catalogue1 --slots 500 --queue 500 --work-ms 1
fleet_node 1 1 catalogue catalogue1 500 600
upstream_port=$UPSTREAM_PORT
fleet_upstream orders1 --slots 500 --queue 500 --work-ms 1
fleet_node 2 1 orders orders1 500 600
fleet_publish_vms
fleet_wait_ready 20
sleep 3

measure()
{
	label=$1
	shift
	"$BUILD/standin_load" --seconds "$SECONDS_EACH" --warmup-s 2 --timeout-ms 1000 "$@" \
		--json "$FLEET_DIR/load.json" >"$FLEET_DIR/load.out"
	sed -n 's/.*"kind":"lookup","sent":\([0-9]*\),"good":\([0-9]*\).*"p50_us":\([0-9]*\),"p99_us":\([0-9]*\).*/\1 \2 \3 \4/p' \
		"$FLEET_DIR/load.json" | {
		read -r sent good p50 p99
		printf '%-34s %7s %7s %8s %8s\n' "$label" "$sent" "$good" "$p50" "$p99"
		echo "$p50 $p99" >"$FLEET_DIR/last"
	}
}

echo "# tools/bench_latency.sh, revision $(git rev-parse --short HEAD), $RUNS runs of $SECONDS_EACH s"
printf '%-34s %7s %7s %8s %8s\n' path sent good p50_us p99_us
front1=$(cat "$FLEET_DIR/node1.front")
front2=$(cat "$FLEET_DIR/node2.front")
for rate in 400 5000; do
	run=1
	while [ "$run" -le "$RUNS" ]; do
		measure "direct $rate/s" --port "$upstream_port" --direct --rate $rate --seed "$run"
		read -r d50 d99 <"$FLEET_DIR/last"
		measure "own node $rate/s" --port "$front1" --rate $rate --seed "$run"
		read -r o50 o99 <"$FLEET_DIR/last"
		measure "entry node + node $rate/s" --port "$front2" --rate $rate --seed "$run"
		read -r t50 t99 <"$FLEET_DIR/last"
		echo "added $rate/s: one node p50 $((o50 - d50)) p99 $((o99 - d99)) us; two nodes p50 $((t50 - d50)) p99 $((t99 - d99)) us; target p99 720 us"
		run=$((run + 1))
	done
done
for id in 1 2; do
	awk -v id=$id '/VmRSS|VmHWM/ { printf "node %d %s %d kB\n", id, $1, $2 }' "/proc/$(fleet_pid node$id)/status"
done
