#!/bin/sh
# Guards against a revision that decreases, an invalid document that takes
# effect or makes nodes unready, and a conflict that nodes resolve differently.
# Compares states, answers and the merged audit trail with preset.expected.
set -eu
. tools/fleet.sh
trap fleet_stop EXIT INT TERM

document()
{
	sed -e "s/^revision = 1/revision = $1/" -e "s/^in_force = .*/in_force = \"$2\"/" presets/demo.toml
}

publish()
{
	fleet_publish_preset "$FLEET_DIR/$1.toml"
}

# Waits at most 10 s for a command to print a text, then prints its output.
eventually()
{
	wanted=$1
	shift
	n=0
	until [ "$("$@" 2>/dev/null)" = "$wanted" ]; do
		n=$((n + 1))
		[ $n -lt 100 ] || break
		sleep 0.1
	done
	"$@" || true
}

revisions()
{
	ctl --json preset show | sed -n 's/.*"preset":"\([^"]*\)".*"revision":"\([^"]*\)".*/\1 \2/p' | sort | uniq -c | sed 's/^ *//'
}

probe()
{
	for id in 1 2 3; do
		curl -s -o /dev/null -w '%{http_code}\n' "http://127.0.0.1:$(cat "$FLEET_DIR/node$id.admin")$1"
	done | sort | uniq -c | sed 's/^ *//'
}

fleet_platform
document 1 ordinary >"$FLEET_DIR/one.toml"
document 2 peak >"$FLEET_DIR/two.toml"
document 5 ordinary >"$FLEET_DIR/five.toml"
document 5 maintenance >"$FLEET_DIR/five_other.toml"
sed 's/^spare_attempts_max = 3/spare_attempts_max = 300/' "$FLEET_DIR/five.toml" |
	sed 's/^revision = 5/revision = 7/' >"$FLEET_DIR/invalid.toml"
document 6 peak >"$FLEET_DIR/six.toml"
publish one
for domain in 1 2 3; do
	fleet_upstream orders$domain --slots 10
	fleet_node $domain $domain orders orders$domain 10 20
done
fleet_publish_vms
fleet_wait_ready 20
hash()
{
	"$BUILD/eelgrasslatchctl" preset check "$FLEET_DIR/$1.toml" | sed 's/.*revision \([^,]*\),.*/\1/'
}
greater=$(printf '%s\n' "$(hash five)" "$(hash five_other)" | sort | tail -1)
greater_name=ordinary
[ "$greater" = "$(hash five)" ] || greater_name=maintenance
{
	echo "== start"
	eventually "3 ordinary $(hash one)" revisions
	echo "== change"
	publish two
	eventually "3 peak $(hash two)" revisions
	echo "== two contents with one revision"
	publish five
	eventually "3 ordinary $(hash five)" revisions
	publish five_other
	eventually "3 $greater_name $greater" revisions
	echo "== older"
	publish two
	sleep 1
	revisions
	echo "== a higher revision ends the conflict"
	eventually "3 503" probe /healthz
	publish six
	eventually "3 peak $(hash six)" revisions
	eventually "3 200" probe /healthz
	echo "== invalid"
	"$BUILD/eelgrasslatchctl" preset check "$FLEET_DIR/invalid.toml" 2>&1 | sed 's/.*invalid.toml/invalid.toml/' || true
	publish invalid
	eventually "3 503" probe /healthz
	probe /readyz
	revisions
	echo "== audit, without times, per node"
	ctl --json audit | sed -n 's/.*"kind":"\(preset\|document_[a-z]*\)","before":"\([^"]*\)","after":"\([^"]*\)","source":"[^"]*","reason":"\([^"]*\)".*/\1 \2 \3 \4/p' |
		sort | uniq | sed 's/ *$//'
} >"$FLEET_DIR/actual"
if [ "${UPDATE:-}" = 1 ]; then
	cp "$FLEET_DIR/actual" tests/run/preset.expected
fi
diff tests/run/preset.expected "$FLEET_DIR/actual"
