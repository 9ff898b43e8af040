#!/bin/sh
# Counts the upstream attempts per request on a chain of seven services whose
# last one is down: through nodes, and with three tries at each hop instead.
set -eu
cd "$(dirname "$0")/.."
REQUESTS=${REQUESTS:-20}
SPARE=3

run_one()
{
	. tools/fleet.sh
	trap fleet_stop EXIT INT TERM
	fleet_platform
	fleet_publish_preset presets/demo.toml
	next=""
	for level in 7 6 5 4 3 2 1; do
		# shellcheck disable=SC2086
		case $1 in
		nodes)
			fleet_upstream s$level --slots 75 --work-ms 1 ${next:+--next s$next}
			fleet_node $level 1 s$level s$level 75 550
			;;
		plain)
			fleet_upstream s$level --slots 75 --queue 2000 --work-ms 1 \
				${next:+--next x --node $next --tries 3}
			;;
		esac
		next=$level
		[ "$1" = nodes ] || next=$UPSTREAM_PORT
	done
	if [ "$1" = nodes ]; then
		fleet_publish_vms
		fleet_wait_ready 20
		sleep 3
		target="http://127.0.0.1:$NODE_FRONT/x"
	else
		target="http://127.0.0.1:$UPSTREAM_PORT/x"
	fi
	kill -KILL "$(fleet_pid s7)"
	i=0
	while [ $i -lt "$REQUESTS" ]; do
		curl -s -o /dev/null "$target" -H 'Eel-Service: s1' -H "Eel-Attempts: $SPARE" || true
		i=$((i + 1))
	done
	sleep 1
	total=0
	for level in 1 2 3 4 5 6; do
		n=$(curl -s "http://127.0.0.1:$(cat "$FLEET_DIR/s$level.control")/counts" |
			sed -n 's/^attempts //p')
		total=$((total + n))
	done
	echo "$1: $REQUESTS requests, $total upstream attempts, $((total / REQUESTS)) per request (bound $((7 + SPARE)))"
}

echo "# tools/bench_attempts.sh REQUESTS=$REQUESTS, revision $(git rev-parse --short HEAD)"
for kind in nodes plain; do
	(run_one $kind)
done
