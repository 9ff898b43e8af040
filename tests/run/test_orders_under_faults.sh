#!/bin/sh
# Guards against an order that runs twice, runs although it was reported as not
# run, or is lost while nodes are paused, killed and replaced.
set -eu
ORDERS=1500 RATE=300 FAULTS="pause kill" SEED=2 sh tools/prove_orders.sh
