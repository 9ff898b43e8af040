#!/bin/sh
# Runs the benchmarks and stores their raw output under bench/results, with the
# command and revision of each.
set -eu
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
export BUILD
revision=$(git rev-parse --short HEAD)
mkdir -p bench/results

run_and_store()
{
	name=$1
	shift
	file="bench/results/$name-$revision.txt"
	echo "# $*, revision $revision" >"$file"
	"$@" >>"$file" || true
	cat "$file"
}

run_and_store policy "$BUILD/bench_policy"
run_and_store blind "$BUILD/fuzz_execution" --baseline blind --steps 200000
run_and_store attempts sh tools/bench_attempts.sh
run_and_store overload sh tools/bench_overload.sh
run_and_store latency sh tools/bench_latency.sh
