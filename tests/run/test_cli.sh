#!/bin/sh
# Guards against exit codes and messages that differ from the manual pages, and
# against an installed library that cannot be linked.
set -eu
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

expect()
{
	wanted=$1
	shift
	code=0
	"$@" >"$dir/out" 2>&1 || code=$?
	[ $code -eq "$wanted" ] || { echo "exit code $code, not $wanted: $*"; cat "$dir/out"; exit 1; }
}

expect 0 "$BUILD/eelgrasslatchd" --version
expect 0 "$BUILD/eelgrasslatchd" --help
expect 64 "$BUILD/eelgrasslatchd"
expect 64 "$BUILD/eelgrasslatchd" --nonsense
printf '[node]\nid = 0\n' >"$dir/bad.toml"
expect 78 "$BUILD/eelgrasslatchd" --check-config "$dir/bad.toml"
grep -q "^$dir/bad.toml:2: id: must be a whole number from 1 to 2147483647$" "$dir/out"
expect 0 "$BUILD/eelgrasslatch-platformd" --help
grep -q -- "--place=use|finish" "$dir/out"
expect 64 "$BUILD/eelgrasslatch-platformd" --place=fast
grep -q "^--place: 'fast' is neither use nor finish$" "$dir/out"
printf '{}' >"$dir/bad.json"
expect 78 "$BUILD/eelgrasslatch-platformd" --place=finish --check-config "$dir/bad.json"
expect 64 "$BUILD/eelgrasslatch-platformd" --leave-domain=sometimes
grep -q "^--leave-domain: 'sometimes' is neither use nor flow$" "$dir/out"
expect 64 "$BUILD/eelgrasslatch-platformd" --share=equal
grep -q "^--share: 'equal' is neither targets nor teams$" "$dir/out"
expect 64 "$BUILD/eelgrasslatch-platformd" --retries=never
grep -q "^--retries: 'never' is neither arrival nor finish$" "$dir/out"
expect 64 "$BUILD/eelgrasslatch-platformd" --leave-domain=flow --kilobyte-cost=-1
expect 64 "$BUILD/eelgrasslatch-platformd" --kilobyte-cost=nan
expect 0 "$BUILD/eelgrasslatchctl" --version
expect 0 "$BUILD/eelgrasslatchctl" --help
expect 64 "$BUILD/eelgrasslatchctl" nonsense
expect 64 "$BUILD/eelgrasslatchctl" status
expect 0 "$BUILD/eelgrasslatchctl" preset check presets/example.toml
expect 1 "$BUILD/eelgrasslatchctl" preset check "$dir/bad.toml"
expect 3 "$BUILD/eelgrasslatchctl" --node 127.0.0.1:1 status

make -s install DESTDIR="$dir" PREFIX=/usr BUILD="$BUILD" >/dev/null
sed -i "s|^prefix=.*|prefix=$dir/usr|" "$dir/usr/lib/pkgconfig/eelgrasslatch.pc"
case $BUILD in *sanitize*) exit 0 ;; esac
# shellcheck disable=SC2046
cc examples/embed.c -o "$dir/embed" $(PKG_CONFIG_PATH="$dir/usr/lib/pkgconfig" \
	pkg-config --cflags --libs eelgrasslatch) -Wl,-rpath,"$dir/usr/lib"
expect 0 "$dir/embed"
