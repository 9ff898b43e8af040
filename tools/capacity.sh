#!/bin/sh
# Runs 16, 64 and 192 nodes (SIZES) in 7 failure domains and measures processor
# time, memory and peer traffic per node, and the rate of platform calls: idle,
# under a preset change every 5 s, and after the loss of a failure domain.
set -eu
cd "$(dirname "$0")/.."
SIZES=${SIZES:-16 64 192}
REST_S=${REST_S:-20}
CHANGES=${CHANGES:-6}

one_size()
{
	. tools/fleet.sh
	trap fleet_stop EXIT INT TERM
	size=$1
	fleet_platform
	fleet_publish_preset presets/demo.toml
	fleet_upstream shared --slots 75
	id=1
	while [ $id -le "$size" ]; do
		fleet_node $id $((id % 7)) "service$((id % 17))" shared 75 100
		id=$((id + 1))
	done
	fleet_publish_vms
	fleet_wait_ready 60
	sleep 15

	# Prints CPU ticks, peer bytes, platform calls, RSS in kB and number of
	# running nodes, in total.
	totals()
	{
		ticks=0
		rss=0
		alive=0
		for file in "$FLEET_DIR"/node*.pid; do
			pid=$(cat "$file")
			[ -r "/proc/$pid/stat" ] || continue
			# shellcheck disable=SC2046
			set -- $(cut -d' ' -f14,15 "/proc/$pid/stat" 2>/dev/null) 0 0
			ticks=$((ticks + $1 + $2))
			r=$(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")
			rss=$((rss + ${r:-0}))
			alive=$((alive + 1))
		done
		bytes=$(ctl metrics 2>/dev/null |
			awk '/^eel_peer_(sent|received)_bytes_total/ { s += $2 } END { printf "%d", s }')
		calls=$(curl -s "http://127.0.0.1:$PLATFORM_CONTROL/calls" | awk '{ s += $2 } END { print s }')
		echo "$ticks $bytes $calls $rss $alive"
	}

	phase()
	{
		label=$1
		duration=$2
		# shellcheck disable=SC2046
		set -- $(cat "$FLEET_DIR/before") $(cat "$FLEET_DIR/after")
		awk -v l="$label" -v n="${10}" -v s="$duration" -v t1="$1" -v t2="$6" -v b1="$2" \
			-v b2="$7" -v c1="$3" -v c2="$8" -v r="$9" -v size="$size" 'BEGIN {
			printf "%5d  %-14s %9.3f %9.1f %9.2f %9.2f\n", size, l,
				(t2 - t1) / n / s, r / n / 1024, (b2 - b1) / n / s / 1000, (c2 - c1) / s }'
	}

	totals >"$FLEET_DIR/before"
	sleep "$REST_S"
	totals >"$FLEET_DIR/after"
	phase rest "$REST_S"

	totals >"$FLEET_DIR/before"
	revision=1
	: >"$FLEET_DIR/published"
	while [ $revision -le "$CHANGES" ]; do
		revision=$((revision + 1))
		sed "s/^revision = 1/revision = $revision/" presets/demo.toml >"$FLEET_DIR/new.toml"
		echo "$revision $(date +%s%3N)" >>"$FLEET_DIR/published"
		fleet_publish_preset "$FLEET_DIR/new.toml"
		sleep 5
	done
	totals >"$FLEET_DIR/after"
	phase "change per 5 s" $((5 * CHANGES))
	ctl --json audit 2>/dev/null | sed -n \
		's/.*"wall_ms":\([0-9]*\),.*"kind":"preset".*"after":"\([0-9]*\).*/\2 \1/p' \
		>"$FLEET_DIR/in_force"
	awk -v size="$size" 'FNR == NR { at[$1] = $2; next }
		($1 in at) { d = $2 - at[$1]; n[$1]++; if (d > max[$1]) max[$1] = d }
		END { for (r in at) { if (n[r] < size) missed++; print max[r] } printf "nodes without a change: %d\n", missed > "/dev/stderr" }' \
		"$FLEET_DIR/published" "$FLEET_DIR/in_force" 2>"$FLEET_DIR/missed" | sort -n >"$FLEET_DIR/times"
	awk -v size="$size" '{ t[NR] = $1 } END {
		printf "%5d  in force everywhere, ms: p50 %d max %d of %d changes (target 5000)\n",
			size, t[int((NR + 1) / 2)], t[NR], NR }' "$FLEET_DIR/times"
	cat "$FLEET_DIR/missed"

	totals >"$FLEET_DIR/before"
	id=7
	while [ $id -le "$size" ]; do
		kill -KILL "$(fleet_pid node$id)"
		rm "$FLEET_DIR/node$id.pid" "$FLEET_DIR/node$id.admin"
		id=$((id + 7))
	done
	FLEET_ADMINS=""
	for file in "$FLEET_DIR"/node*.admin; do
		FLEET_ADMINS="$FLEET_ADMINS --node 127.0.0.1:$(cat "$file")"
	done
	totals >"$FLEET_DIR/before"
	sleep "$REST_S"
	totals >"$FLEET_DIR/after"
	phase "domain lost" "$REST_S"
}

echo "# tools/capacity.sh SIZES='$SIZES' REST_S=$REST_S CHANGES=$CHANGES, revision $(git rev-parse --short HEAD)"
echo "nodes  phase          cpu_%     rss_MB    kB/s      platform_calls/s"
for size in $SIZES; do
	(one_size "$size")
done
