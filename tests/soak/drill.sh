# Drills of the soak: the store comes back from a copy, and what it lost is written
# again.  Sourced by soak.sh; draws by draw_extra.

DRAIN_BOUND_MS=3000
# What the store loses sooner than the bound of a change may have reached no node.
CHANGE_BOUND_S=2

# Publishes the next version, with a route that no other version has.
drill_config()
{
	version=$((version + 2))
	fleet_config $version /safe/ /once/ /v$version/
}

drill_expect()
{
	for vm in $VMS; do
		fleet_until fleet_returns 200 $vm /v$version/x || { echo "VIOLATION node $vm lacks version $version in a drill"; failed=1; }
	done
}

drill_say_draining()
{
	fleet_entry "$leaving" "$leaving_id" draining
	[ -n "$drained_ms" ] || drained_ms=$(date +%s%3N)
}

# Requests that came to the endpoint that leaves.
drill_runs()
{
	grep -vc '^probe' "$FLEET_DIR/endpoint$leaving.out" || true
}

# Checks that no node that ran all the while is back at the version of the copy.
drill_check_dropped()
{
	for vm in $VMS; do
		[ "$(fleet_pid node$vm)" = "$(cat "$FLEET_DIR/drill_pid$vm")" ] || continue
		! fleet_returns 200 $vm /v$copied/x || { echo "VIOLATION node $vm serves version $copied again"; failed=1; }
	done
}

drill_restart()
{
	[ "$1" != "$restarts" ] || { fleet_kill node$other; restart_node $other; }
}

# Says again what was lost, after a while, in either order, also with a later
# version.
drill_write_again()
{
	draw_extra 3
	sleep "$drawn"
	draw_extra 4
	order=$drawn
	[ $order -ge 2 ] || drill_say_draining
	sleep 0.$((order * 3))
	if [ $((order % 2)) -eq 0 ]; then
		fleet_config $version /safe/ /once/ /v$version/
	else
		drill_config
	fi
	sleep 0.$((order * 2))
	[ $order -lt 2 ] || drill_say_draining
}

# Sets $before when the bound is over.
drill_note_runs()
{
	while [ "$(date +%s%3N)" -lt $((drained_ms + DRAIN_BOUND_MS)) ]; do
		sleep 0.1
	done
	before=$(drill_runs)
}

drill()
{
	for pid in $path_faults; do
		wait "$pid" || true
	done
	drained_ms=""
	before=""
	drill_config
	drill_expect
	copied=$version
	store_command copy >/dev/null
	drill_config
	drill_expect
	for vm in $VMS; do
		fleet_pid node$vm >"$FLEET_DIR/drill_pid$vm"
	done
	draw_extra 3
	leaving=$((drawn + 2))
	other=$(((drawn + 1) % 3 + 2))
	leaving_id=$(sed -n "s/^$leaving //p" "$FLEET_DIR/ids" | tail -1)
	FLEET_SEQUENCE=$((FLEET_SEQUENCE + 1))
	drill_say_draining
	draw_extra 4
	restarts=$drawn
	drill_restart 1
	draw_extra 3
	if [ "$drawn" -eq 0 ]; then
		drained_ms=""
	else
		sleep $CHANGE_BOUND_S
	fi
	draw_extra 8
	echo "drill: copy of version $copied, endpoint $leaving leaves, store away $drawn, restart $restarts of $other"
	sleep 0.$((drawn + 1))
	if [ "$drawn" -lt 6 ]; then
		store_command down >/dev/null
		sleep "$drawn"
	fi
	drill_restart 2
	store_command restore >/dev/null
	store_command up >/dev/null
	drill_restart 3
	[ -z "$drained_ms" ] || drill_note_runs
	drill_check_dropped
	drill_write_again
	drill_expect
	drill_check_dropped
	if [ -z "$before" ]; then
		drill_note_runs
		sleep 0.5
	fi
	[ "$before" -eq "$(drill_runs)" ] || { echo "VIOLATION endpoint $leaving got requests after its drain, in a drill"; failed=1; }
	FLEET_SEQUENCE=$((FLEET_SEQUENCE + 1))
	fleet_entry "$leaving" "$leaving_id" ready
}
