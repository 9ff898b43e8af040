#!/bin/sh
# Guards against a fuzz run that cannot be repeated from its seed: the same
# seed must give the same trace, and another seed another one.
set -eu
BUILD=${BUILD:-build}

# Prints a checksum of a whole trace without its speed.
trace() {
	"$BUILD/fuzz_execution" --seed "$1" --steps 5000 --trace |
		sed 's| steps/s [0-9]*||' | cksum
}

[ "$(trace 7)" = "$(trace 7)" ]
[ "$(trace 7)" != "$(trace 8)" ]
