#!/bin/sh
# Starts three failure domains of stand-ins, sends load through the nodes,
# changes the preset in force, prints the results of callers and stops.
set -eu
cd "$(dirname "$0")/.."
. tools/fleet.sh
trap fleet_stop EXIT INT TERM

fleet_platform
fleet_publish_preset presets/demo.toml
id=1
for domain in 1 2 3; do
	for service in catalogue orders billing; do
		case $service in
		orders) next="--next billing" ;;
		*) next="" ;;
		esac
		# shellcheck disable=SC2086
		fleet_upstream "$service$domain" --slots 75 --work-ms 5 $next
		fleet_node $id $domain $service "$service$domain" 75 550
		id=$((id + 1))
	done
done
fleet_publish_vms
fleet_wait_ready 20
# A few probe rounds, in which nodes learn the members and clocks of peers.
sleep 3

echo "== nodes"
ctl status
echo "== load: 300 calls/s for 5 s, a fifth of them orders that charge billing"
ports=""
for file in "$FLEET_DIR"/node*.front; do
	ports="$ports --port $(cat "$file")"
done
# shellcheck disable=SC2086
"$BUILD/standin_load" $ports --rate 300 --seconds 5 --order-share 0.2 \
	--retries 2 --records "$FLEET_DIR/records"
echo "== change of the preset in force"
sed -e 's/^revision = 1/revision = 2/' -e 's/^in_force = .*/in_force = "peak"/' \
	presets/demo.toml >"$FLEET_DIR/peak.toml"
fleet_publish_preset "$FLEET_DIR/peak.toml"
ctl --timeout-ms 10000 preset wait 2
ctl preset show

echo "== runs of orders at the billing upstreams"
for domain in 1 2 3; do
	curl -s "http://127.0.0.1:$(cat "$FLEET_DIR/billing$domain.control")/runs"
done >"$FLEET_DIR/runs"
awk '{ runs[$1] += $2 } END { for (k in runs) { n++; if (runs[k] > 1) twice++ }
	printf "%d orders charged, %d charged more than once\n", n, twice + 0;
	exit twice > 0 }' "$FLEET_DIR/runs"
