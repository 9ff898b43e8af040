#!/bin/sh
# Runs the measurements and keeps raw rows under bench/results, each with its
# command and revision.
set -eu
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
export BUILD
revision=$(git rev-parse --short HEAD)
mkdir -p bench/results

keep()
{
	name=$1
	shift
	file="bench/results/$name-$revision.txt"
	echo "# $*, revision $revision" >"$file"
	"$@" >>"$file" || true
	cat "$file"
}

keep policy "$BUILD/bench_policy"
keep blind "$BUILD/fuzz_execution" --baseline blind --steps 200000
keep attempts sh tools/bench_attempts.sh
keep overload sh tools/bench_overload.sh
keep latency sh tools/bench_latency.sh
