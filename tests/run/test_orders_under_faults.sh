#!/bin/sh
# Guards against a second run, a wrong "not run" or a lost run while nodes are
# paused, killed and replaced.
set -eu
ORDERS=1500 RATE=300 FAULTS="pause kill" SEED=2 sh tools/prove_orders.sh
