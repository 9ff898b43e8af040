# Teams of the soak: steady has no cap, hot sends far above its own, and the keys
# of moving are taken away one after the other.  Sourced by soak.sh.

HOT_RATE_PER_S=15
REVOCATION_MS=5000
revoked=0

# Publishes with each configuration the keys that are in force.
set_teams()
{
	FLEET_TEAMS="[{\"name\":\"steady\",\"apiKeys\":[\"key-steady\",\"key-spare\"]},{\"name\":\"hot\",\"apiKeys\":[\"key-hot\"],\"ratePerS\":$HOT_RATE_PER_S,\"burst\":$HOT_RATE_PER_S},{\"name\":\"moving\",\"apiKeys\":[\"key-moving-$revoked\"]}]"
}

start_teams()
{
	FLEET_KEY=key-steady
	FLEET_ROUTE=",\"public\":false"
	FLEET_BOUNDS="\"strictRevocation\":true,\"revocationMs\":$REVOCATION_MS,\"quotaWindowS\":5,\"quotaOvershoot\":0.25,\"quotaSlack\":20"
	: >"$FLEET_DIR/revoked"
	echo 0 >"$FLEET_DIR/moving"
	set_teams
}

# Sets $key to that of a team; the callers of moving go on with a key that was
# taken away until the next one is.
team_key()
{
	key=""
	case ${FLEET_TEAMS:+$1} in
	moving) key=key-moving-$(cat "$FLEET_DIR/moving") ;;
	?*) key=key-$1 ;;
	esac
}

# Takes a key away; notes when the store had accepted it.
revoke_key()
{
	last=$revoked
	revoked=$((revoked + 1))
	set_teams
	split_config 2 1
	echo "key-moving-$last $(date +%s%3N)" >>"$FLEET_DIR/revoked"
	(
		sleep 7
		[ "$(cat "$FLEET_DIR/moving")" -ge $revoked ] || echo $revoked >"$FLEET_DIR/moving"
	) &
	path_faults="$path_faults $!"
}

# No key may stand in what nodes print.
check_teams()
{
	awk -v rate=$HOT_RATE_PER_S -v revocation=$REVOCATION_MS -f tests/soak/teams.awk \
		"$FLEET_DIR/revoked" "$FLEET_DIR/answers" "$FLEET_DIR/runs" || failed=1
	! grep -l 'key-steady\|key-hot\|key-moving\|key-spare' "$FLEET_DIR"/node?.log || { echo "VIOLATION a key was printed"; failed=1; }
}
