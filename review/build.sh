#!/bin/sh
# Builds the stand-ins of the cases into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/case.c; do
	[ -f "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	cc -std=gnu11 -O1 -Wall -Wextra -pthread -o "target/review/case$number" "$source" review/lab/lab.c
done
