#!/bin/sh
# Sends orders while nodes are paused, killed and replaced, then compares the
# outcomes that callers got with the runs at the upstreams.  ORDERS, RATE and
# FAULTS set the number, the rate per second and the faults; exits 1 if an order
# ran twice or against its outcome.
set -eu
cd "$(dirname "$0")/.."
. tools/fleet.sh
trap fleet_stop EXIT INT TERM
ORDERS=${ORDERS:-10000}
RATE=${RATE:-500}
FAULTS=${FAULTS:-pause kill}
SEED=${SEED:-1}

start_node()
{
	fleet_node "$1" "$2" orders "orders$2" 75 550
}

fleet_platform
fleet_publish_preset presets/demo.toml
for domain in 1 2 3; do
	fleet_upstream orders$domain --slots 75 --work-ms 5
	start_node $domain $domain
done
fleet_publish_vms
fleet_wait_ready 20
sleep 3
ports=""
for domain in 1 2 3; do
	ports="$ports --port $(cat "$FLEET_DIR/node$domain.front")"
done
seconds=$((ORDERS / RATE))
# shellcheck disable=SC2086
"$BUILD/standin_load" $ports --rate "$RATE" --seconds $seconds --order-share 1 \
	--retries 3 --retry-delay-ms 100 --timeout-ms 1000 --seed "$SEED" \
	--records "$FLEET_DIR/records" >"$FLEET_DIR/load.out" 2>&1 &
load=$!
n=0
replacement=10
while kill -0 $load 2>/dev/null; do
	n=$((n + 1))
	victim=$((n % 3 + 1))
	for fault in $FAULTS; do
		kill -0 $load 2>/dev/null || break
		case $fault in
		pause)
			kill -STOP "$(fleet_pid node$victim)" 2>/dev/null || true
			sleep 1.5
			kill -CONT "$(fleet_pid node$victim)" 2>/dev/null || true
			sleep 0.7
			;;
		kill)
			[ $n -le 2 ] || continue
			kill -KILL "$(fleet_pid node$victim)" 2>/dev/null || true
			replacement=$((replacement + 1))
			start_node $replacement $victim
			sleep 1
			;;
		none)
			sleep 0.5
			;;
		esac
	done
done
wait $load || true
for domain in 1 2 3; do
	curl -s "http://127.0.0.1:$(cat "$FLEET_DIR/orders$domain.control")/runs"
done >"$FLEET_DIR/runs"
echo "# tools/prove_orders.sh ORDERS=$ORDERS RATE=$RATE FAULTS='$FAULTS' SEED=$SEED"
cat "$FLEET_DIR/load.out"
awk -f tools/compare_runs.awk "$FLEET_DIR/runs" "$FLEET_DIR/records"
