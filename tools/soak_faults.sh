#!/bin/sh
# Checks that the soak test detects faults: each deliberate fault, built into a
# copy of the tree, must be found within six seeds.
set -u
top=$(pwd)
found=0
missed=0

# try NAME FILE SED-EXPRESSION
try()
{
	copy=$(mktemp -d)
	git ls-files -z | xargs -0 cp --parents -t "$copy"
	(
		cd "$copy" || exit 2
		sed -i "$3" "$2"
		cmp -s "$2" "$top/$2" && exit 2
		make -s BUILD=build build/eelgrasslatch-platformd build/standin_store \
			build/standin_endpoint build/standin_proxy >build.log 2>&1 || exit 2
		for seed in 1 2 3 4 5 6; do
			BUILD=build SEED=$seed SECONDS_MAX=${SECONDS_MAX:-15} sh tests/soak/soak.sh >soak.log 2>&1 && continue
			if ! grep -q VIOLATION soak.log; then
				tail -n 5 soak.log
				exit 3
			fi
			echo "found $1 with seed $seed: $(grep -m 1 VIOLATION soak.log)"
			exit 0
		done
		exit 1
	)
	case $? in
	0) found=$((found + 1)) ;;
	1) missed=$((missed + 1)); echo "MISSED $1" ;;
	3) missed=$((missed + 1)); echo "NO VIOLATION, BUT THE SOAK FAILED $1" ;;
	*) missed=$((missed + 1)); echo "NOT BUILT $1" ;;
	esac
	rm -rf "$copy"
}

try "order sent again after its answer was lost" src/relay/entry_answer.c \
	's/(entry->may_have_run && !entry->call.idempotent)/0/'
try "refusal after a run" src/relay/entry_answer.c \
	's/    case EEL_FAILURE_BROKEN:/    case EEL_FAILURE_COUNT:/; s/    entry->may_have_run = 1;/    entry->may_have_run = 0;/'
try "leaving endpoint used" src/membership/directory.c \
	's/  return instance->state == EEL_INSTANCE_READY/  return instance->state != EEL_INSTANCE_REMOVED/'
try "configuration goes back" platform/items.c \
	's/  if (current == NULL || (uint64_t)version/  if (1 || current == NULL || (uint64_t)version/'
try "split among nine services refuses a configuration" platform/decode.c \
	's/^  g_message ("event=config_in_force/  if (platform->routes_left_out > 0) { return; }\n&/; s/  if (count == 0)$/  if (count == 0 || count > 8)/'
try "answers of the store above 4 MiB are asked for again" platform/item_reader.c \
	's/(64 \* 1024 \* 1024)/(4 * 1024 * 1024)/; s/  return reader->after_revision > 0$/  return 0/'
try "kept connection dropped at SIGTERM" platform/main.c \
	's/  eel_relay_stop (&program->platform.relay);/  event_base_loopbreak (program->platform.base);/'
try "request that a node has accepted is offered to another" src/relay/attempt_remote.c \
	's/^  event_del (attempt->accept_timer);$//'
try "connections closed at a planned stop while a request is open" src/relay/server.c \
	's/      if (!is_busy (conn, now_us) \&\& !conn->lingering)/      if ((!is_busy (conn, now_us) || 1) \&\& !conn->lingering)/'
try "requests that crash endpoints are never refused" src/retry/quarantine_judge.c \
	's/entry->crashes >= EEL_QUARANTINE_CRASHES_REFUSED/0/; s/else if (is_only_suspect/else if ((is_only_suspect \&\& 0)/'
try "key of a caller reaches endpoints" src/relay/attempt.c \
	's/call->has_teams ? header_names->authorization : NULL/NULL/'
try "first keys stay in force" src/relay/teams.c \
	's/^  if (relay->teams != NULL)$/  if (relay->teams != NULL) return;\n&/'
try "caps are not kept" src/relay/entry_cap.c \
	's/  if (!is_capped (entry))/  if (1 || !is_capped (entry))/'
try "eras of the store are not compared" platform/store_era.c \
	's/  if (era == 0 || era == known)$/  if (1 || era == known)/'
try "endpoint that left returns with a copy" src/membership/directory.c \
	's/  if (known->left_until_us == 0 || instance/  if (1 || known->left_until_us == 0 || instance/'
echo "$found found, $missed missed"
[ $missed -eq 0 ]
