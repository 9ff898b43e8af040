#!/bin/sh
# Guards against an error kind whose answer differs from docs/callers.md.
set -eu
"$BUILD/example_errors" | while read -r line; do
	grep -qxF "$line" docs/callers.md || { echo "not in docs/callers.md: $line"; exit 1; }
done
