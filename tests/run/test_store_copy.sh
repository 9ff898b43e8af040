#!/bin/sh
# Twelve nodes of three failure domains, and a store that comes back from a copy.
# Compares what happens with store_copy.expected.
set -eu
. tools/platform_fleet.sh
trap fleet_stop EXIT INT TERM
VMS="2 3 4 5 6 7 8 9 10 11 12 13"

# True when each node returns this status for the target.
all_return()
{
	for vm in $VMS; do
		fleet_returns "$1" "$vm" "$2" || return 1
	done
}

# Publishes the entry of the endpoint of a VM, in one of three failure domains.
entry()
{
	FLEET_ZONE=z$(($1 % 3))
	fleet_entry "$1" "up-$1" "$2"
}

fleet_store
for vm in $VMS; do
	fleet_endpoint "$vm" "up-$vm"
	entry "$vm" ready
done
fleet_config 1 /one/
for vm in $VMS; do
	FLEET_ZONE=z$((vm % 3))
	fleet_node "$vm"
done
{
	fleet_until all_return 200 /one/x
	store_command copy >/dev/null
	fleet_config 2 /two/
	fleet_until all_return 200 /two/x
	store_command restore >/dev/null
	fleet_config 4 /four/
	fleet_until all_return 200 /four/x
	echo "a version after the store came back from a copy: all follow"
} >"$FLEET_DIR/result"
diff tests/run/store_copy.expected "$FLEET_DIR/result"
