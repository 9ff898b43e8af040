#!/bin/sh
# An endpoint answers with malformed heads, beside the entry node and behind
# another one, while orders are at work at the same processes.  Compares the
# answers to callers with malformed_answers.expected.
set -eu
. tools/platform_fleet.sh
trap fleet_stop EXIT INT TERM

fleet_store
fleet_endpoint 3 up-3 1000
fleet_node 2
fleet_node 3
fleet_entry 3 up-3 ready
fleet_config 1 /safe/ /once/
fleet_until fleet_is_ready 2
fleet_until fleet_is_ready 3
fleet_until fleet_returns 200 2 /safe/ready
fields='Connection: close\r\nX-Attempt-Id: %s\r\n'
sound="$fields"'X-Response-Signature: signed\r\nContent-Length: 2\r\n\r\nab'

# answer NAME FORMAT: the callers' answers to orders that the endpoint answers
# with these bytes; %s in FORMAT is the id of the order.
answer()
{
	echo "== $1"
	for vm in 2 3; do
		printf "$2" "m$vm" >"$FLEET_DIR/raw"
		fleet_ask "$vm" "m$vm" /once/raw -m 10 -X POST --data-binary "@$FLEET_DIR/raw" ||
			echo "curl: exit $?"
	done
}

{
	for vm in 2 3; do
		fleet_ask $vm "h$vm" /once/held -X POST -d order >"$FLEET_DIR/held$vm" &
		eval "held$vm=$!"
	done
	fleet_until grep -q "^h2 " "$FLEET_DIR/endpoint3.out"
	fleet_until grep -q "^h3 " "$FLEET_DIR/endpoint3.out"
	answer "sound" "HTTP/1.1 200 OK\r\n$sound"
	answer "status 000" "HTTP/1.1 000 Trouble\r\n$sound"
	answer "status of four digits" "HTTP/1.1 0200 OK\r\n$sound"
	answer "another version" "HTTP/2.0 200 OK\r\n$sound"
	answer "no HTTP" "hello\r\n\r\n"
	answer "blank in a name" "HTTP/1.1 200 OK\r\nX Y: 1\r\n$sound"
	answer "blank behind a name" "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n$sound"
	answer "control byte in a name" "HTTP/1.1 200 OK\r\nX\001: 1\r\n$sound"
	answer "NUL in a value" "HTTP/1.1 200 OK\r\nX: \000\r\n$sound"
	answer "no colon" "HTTP/1.1 200 OK\r\nX\r\n$sound"
	answer "CR without LF" "HTTP/1.1 200 OK\rX$sound"
	answer "another coding" "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n$fields\r\n2\r\nab\r\n0\r\n\r\n"
	answer "time of many digits" "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9223372036854775807\r\n$sound"
	answer "length of many digits" "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n$fields\r\nab"
	answer "coding and length" "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n$sound"
	wait "$held2" "$held3"
	echo "== orders at work meanwhile"
	cat "$FLEET_DIR/held2" "$FLEET_DIR/held3"
	echo "== the same processes"
	for node in node2 node3; do
		kill -0 "$(fleet_pid $node)" && echo "$node lives"
	done
} >"$FLEET_DIR/result"
diff tests/run/malformed_answers.expected "$FLEET_DIR/result"
