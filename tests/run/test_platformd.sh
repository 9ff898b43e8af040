#!/bin/sh
# Runs the platform's daemon against stand-ins for the store and two endpoints,
# and compares the answers to callers and the runs with platformd.expected.
set -eu
. tools/platform_fleet.sh
trap fleet_stop EXIT INT TERM

# One entry per page, so that a listing takes several calls.
fleet_store 1
fleet_endpoint 2 up-2
fleet_endpoint 3 up-3
fleet_node 2
fleet_node 3
fleet_until curl -s "http://127.0.0.2:$((FLEET_PORT + 4))/api/readiness"
{
	echo "== before any configuration"
	fleet_ask 2 a1 /safe/x
	fleet_entry 2 up-2 ready
	fleet_entry 3 up-3 ready
	store_put servers/foreign 'not JSON'
	store_put servers/odd '{"service":7,"state":"ready"}'
	fleet_config 3 /safe/ /once/
	fleet_until fleet_is_ready 2
	fleet_until fleet_is_ready 3
	echo "== served, with and without a body; an unknown route"
	fleet_until fleet_returns 200 2 /safe/ready
	fleet_ask 2 a2 /safe/x
	fleet_ask 2 a3 /once/y -X POST -d order
	fleet_ask 2 a4 /none/
	echo "== the endpoint's own failure reaches the caller and the log"
	fleet_ask 2 a13 "/safe/x?status=500"
	fleet_until grep -q "event=upstream_error request=a13 status=500 service=shop instance=up-[23] attempt=1 after_ms=[0-9]" "$FLEET_DIR/node2.out"
	echo "== a newer version takes effect, an older and a truncated one do not"
	fleet_config 5 /safe/ /new/
	fleet_until fleet_returns 200 2 /new/x
	fleet_config 4 /safe/
	store_put op/config '{"version":9,"rou'
	sleep 0.3
	fleet_ask 2 a5 /new/x
	fleet_ask 2 a6 /once/y
	echo "== large entries of another writer hold up no configuration"
	head -c 1048576 /dev/zero | tr '\0' x >"$FLEET_DIR/large"
	for i in 1 2 3 4 5 6; do
		store_put "servers/large$i" "@$FLEET_DIR/large"
	done
	fleet_config 7 /safe/ /new/ /after/
	fleet_until fleet_returns 200 2 /after/x
	fleet_until fleet_returns 200 3 /after/x
	fleet_ask 3 a14 /after/x
	echo "== a draining endpoint gets no requests"
	fleet_entry 2 up-2 draining
	fleet_until grep -q "id=up-2 .*state=draining" "$FLEET_DIR/node2.out"
	fleet_ask 2 a7 /safe/x
	echo "== store down: a restarted node gets the configuration from its peer"
	store_command down
	fleet_kill node3
	fleet_node 3
	fleet_until fleet_is_ready 3
	fleet_until fleet_returns 200 3 /new/x
	fleet_ask 3 a8 /new/x
	echo "queries to itself: $(grep -c 'peer_asked peer=127.0.0.3' "$FLEET_DIR/node3.out" || true)"
	echo "== the store comes back without its history"
	store_command up
	store_command compact
	fleet_config 11 /late/
	fleet_until fleet_returns 200 2 /late/x
	fleet_until fleet_returns 200 3 /late/x
	fleet_ask 3 a9 /late/x
	echo "== a watch times out without the event of a change"
	store_command drop-events
	fleet_config 13 /late/ /extra/
	# Longer than the time-out of a watch.
	sleep 5
	store_command send-events
	fleet_until fleet_returns 200 2 /extra/x
	fleet_until fleet_returns 200 3 /extra/x
	fleet_ask 3 a11 /extra/x
	echo "== a short outage of a store without changes is logged once"
	lost=$(grep -c event=store_lost "$FLEET_DIR/node2.out" || true)
	back=$(grep -c event=store_back "$FLEET_DIR/node2.out" || true)
	store_command down
	fleet_until sh -c "[ \$(grep -c event=store_lost $FLEET_DIR/node2.out) -gt $lost ]"
	store_command up
	fleet_until sh -c "[ \$(grep -c event=store_back $FLEET_DIR/node2.out) -gt $back ]"
	sleep 3
	echo "lost $(($(grep -c event=store_lost "$FLEET_DIR/node2.out") - lost)) times"
	echo "== a restarted node gets from its peer a configuration that the store no longer has"
	store_put op/config '{"version":15,"rou'
	# Waits until the peer has listed the store again and read the invalid value.
	listed=$(grep -c event=store_history_gone "$FLEET_DIR/node2.out" || true)
	store_command compact
	fleet_until sh -c "[ \$(grep -c event=store_history_gone $FLEET_DIR/node2.out) -gt $listed ]"
	sleep 1
	fleet_kill node3
	fleet_node 3
	fleet_until fleet_is_ready 3
	fleet_until fleet_returns 200 3 /late/x
	fleet_ask 3 a12 /late/x
	echo "== metrics"
	curl -s "http://127.0.0.3:9464/metrics" | grep -c '^eel_relay_latency_seconds_bucket'
	echo "== planned stop"
	kill -TERM "$(fleet_pid node3)"
	fleet_until sh -c "! curl -s -f -o /dev/null http://127.0.0.3:$((FLEET_PORT + 4))/api/readiness"
	fleet_ask 3 a10 /late/x
	code=0
	wait "$(fleet_pid node3)" || code=$?
	echo "exit $code"
} >"$FLEET_DIR/result"
echo "== runs" >>"$FLEET_DIR/result"
cat "$FLEET_DIR"/endpoint?.out | grep -v '^probe' | sort >>"$FLEET_DIR/result"
diff tests/run/platformd.expected "$FLEET_DIR/result"
