#!/bin/sh
# Measures a metastable overload with real processes: catalogue calls orders,
# which calls billing; billing runs at a tenth of its speed from 5 s to 15 s
# while demand triples and callers resend at once.  Compares nodes ("ours") with
# three tries at each hop and no overload control ("plain").
set -eu
cd "$(dirname "$0")/.."
SEEDS=${SEEDS:-1 2 3}
WORK_MS=50
SLOTS=10
RATE=300
PEAK=900

control_ports()
{
	for domain in 1 2 3; do
		cat "$FLEET_DIR/billing$domain.control"
	done
}

set_speed()
{
	for port in $(control_ports); do
		curl -s -X PUT "http://127.0.0.1:$port/speed?factor=$1" -d ""
	done
}

start_ours()
{
	fleet_platform
	fleet_publish_preset presets/demo.toml
	id=1
	ports=""
	for domain in 1 2 3; do
		fleet_upstream billing$domain --slots $SLOTS --work-ms $WORK_MS
		fleet_node $((id + 2)) $domain billing billing$domain $SLOTS 160
		fleet_upstream orders$domain --slots 75 --work-ms 5 --next billing
		fleet_node $((id + 1)) $domain orders orders$domain 75 550
		fleet_upstream catalogue$domain --slots 75 --work-ms 5 --next orders
		fleet_node $id $domain catalogue catalogue$domain 75 550
		ports="$ports --port $NODE_FRONT"
		id=$((id + 3))
	done
	fleet_publish_vms
	fleet_wait_ready 30
	sleep 12
}

start_plain()
{
	ports="--direct"
	for domain in 1 2 3; do
		fleet_upstream billing$domain --slots $SLOTS --queue 2000 --work-ms $WORK_MS
		next=$UPSTREAM_PORT
		fleet_upstream orders$domain --slots 75 --queue 2000 --work-ms 5 --next x --node "$next" --tries 3
		next=$UPSTREAM_PORT
		fleet_upstream catalogue$domain --slots 75 --queue 2000 --work-ms 5 --next x --node "$next" --tries 3
		ports="$ports --port $UPSTREAM_PORT"
	done
}

run_one()
{
	. tools/fleet.sh
	trap fleet_stop EXIT INT TERM
	start_"$1"
	# shellcheck disable=SC2086
	"$BUILD/standin_load" $ports --ramp 0:$RATE,5:$RATE,5.2:$PEAK,15:$PEAK,15.2:$RATE \
		--seconds 25 --timeout-ms 2000 --retries 3 --hard --seed "$2" \
		--json "$FLEET_DIR/load.json" >"$FLEET_DIR/load.out" &
	load=$!
	sleep 5
	set_speed 0.1
	sleep 10
	set_speed 1
	wait $load
	attempts=0
	for port in $(control_ports); do
		n=$(curl -s "http://127.0.0.1:$port/counts" | sed -n 's/^attempts //p')
		attempts=$((attempts + n))
	done
	sed -n 's/.*"good":\[\([0-9,]*\)\].*/\1/p' "$FLEET_DIR/load.json" | tr ',' '\n' |
		awk -v name="$1" -v seed="$2" -v attempts="$attempts" -v allowed="$3" '
		{ good[NR] = $1; if (NR > 20 && NR <= 50) before += $1; if (NR > 60 && NR <= 150) during += $1; total += $1 }
		END {
			before = before / 3; during = during / 9
			recovery = -1
			for (i = 151; i <= 240 && recovery < 0; i++) {
				ok = 0
				for (j = i; j < i + 10; j++) ok += good[j]
				if (ok >= 0.95 * before) recovery = (i - 151) / 10
			}
			printf "%-6s seed %d  before %6.1f/s  during %6.1f/s = %5.1f%% of slots  recovery %s  billing attempts %d for %d good\n",
				name, seed, before, during, 100 * during / allowed,
				recovery < 0 ? "none in 9 s" : sprintf ("%.1f s", recovery), attempts, total }'
}

allowed=$((3 * SLOTS * 1000 / (WORK_MS * 10)))
echo "# tools/bench_overload.sh, revision $(git rev-parse --short HEAD); slots allow $allowed/s while slow"
for seed in $SEEDS; do
	for kind in ${KINDS:-ours plain}; do
		(run_one $kind "$seed" $allowed)
	done
done
