#!/bin/sh
# Compares the numeric constants of platform/ and src/relay/ with docs/limits.md.
set -eu
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
grep -E '^#define [A-Z][A-Z0-9_]* [^"]+$' platform/*.c platform/*.h src/relay/*.c src/relay/*.h |
	sed -E 's/^([^:]+):#define ([A-Z0-9_]+) (.*[^ ]) *$/\2 \1 \3/' | sort >"$dir/source"
sed -nE 's/^\| ([A-Z][A-Z0-9_]*) \| ([^ ]+) \| `([^`]+)` \|.*/\1 \2 \3/p' docs/limits.md | sort >"$dir/table"
diff "$dir/source" "$dir/table" >"$dir/diff" || {
	echo "docs/limits.md: < only in the source, > only in the table"
	cat "$dir/diff"
	exit 1
}
