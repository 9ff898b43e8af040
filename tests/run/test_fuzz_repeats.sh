#!/bin/sh
# Guards against a fuzz run that is not reproducible from its seed: the same
# seed must give the same trace, and a different seed a different trace.
set -eu
BUILD=${BUILD:-build}

# Prints the checksum of a trace without its speed figure.
trace() {
	"$BUILD/fuzz_execution" --seed "$1" --steps 5000 --trace |
		sed 's| steps/s [0-9]*||' | cksum
}

[ "$(trace 7)" = "$(trace 7)" ]
[ "$(trace 7)" != "$(trace 8)" ]
