#!/bin/sh
# Guards against a node with foreign keys that is accepted as a peer, and
# against nodes that lose each other during a key rotation.
set -eu
. tools/fleet.sh
trap fleet_stop EXIT INT TERM

# Waits at most 15 s until node $1 reports $2 alive members.
wait_members()
{
	n=0
	until [ "$(members "$1")" = "$2" ]; do
		n=$((n + 1))
		[ $n -lt 150 ] || { echo "node $1 has $(members "$1") members, not $2"; exit 1; }
		sleep 0.1
	done
}

members()
{
	"$BUILD/eelgrasslatchctl" --json --node "127.0.0.1:$(cat "$FLEET_DIR/node$1.admin")" members |
		grep -o '"state":"alive"' | wc -l
}

metric()
{
	"$BUILD/eelgrasslatchctl" --node "127.0.0.1:$(cat "$FLEET_DIR/node$1.admin")" metrics |
		sed -n "s/^$2{} //p"
}

fleet_platform
fleet_publish_preset presets/demo.toml
cp "$FLEET_DIR/keys.toml" "$FLEET_DIR/old.toml"
"$BUILD/eelgrasslatchctl" keygen >"$FLEET_DIR/new.toml"
key()
{
	sed -n "s/^curve_$2 = //p" "$FLEET_DIR/$1.toml"
}
secret=$(sed -n '/^request_key_secret/p' "$FLEET_DIR/old.toml")
{
	cat "$FLEET_DIR/old.toml"
	echo "curve_next_public = $(key new public)"
	echo "curve_next_secret = $(key new secret)"
} >"$FLEET_DIR/both_old.toml"
cat >"$FLEET_DIR/both_new.toml" <<-END
	[keys]
	curve_public = $(key new public)
	curve_secret = $(key new secret)
	curve_next_public = $(key old public)
	curve_next_secret = $(key old secret)
	$secret
END
fleet_upstream orders1
cp "$FLEET_DIR/both_old.toml" "$FLEET_DIR/keys.toml"
fleet_node 1 1 orders orders1 75 550
cp "$FLEET_DIR/both_new.toml" "$FLEET_DIR/keys.toml"
fleet_node 2 1 orders orders1 75 550
wait_members 1 2
wait_members 2 2
echo "nodes are members of each other during a key rotation"
"$BUILD/eelgrasslatchctl" keygen >"$FLEET_DIR/keys.toml"
fleet_node 3 1 orders orders1 75 550
n=0
until [ "$(metric 1 eel_peer_unauthenticated_total)" -gt 0 ]; do
	n=$((n + 1))
	[ $n -lt 150 ] || { echo "a message under a foreign key was not counted"; exit 1; }
	sleep 0.1
done
[ "$(members 1)" = 2 ] || { echo "a node with a foreign key became a member"; exit 1; }
[ "$(members 3)" = 1 ] || { echo "a node with a foreign key got the member list"; exit 1; }
echo "messages under a foreign key are counted and refused"
