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
	FLEET_SEQUENCE=$3
	fleet_entry "$1" "up-$1" "$2"
}

# True when each node has this line.
all_log()
{
	for vm in $VMS; do
		grep -q "$1" "$FLEET_DIR/node$vm.out" || return 1
	done
}

# Brings the store back from its copy, and waits until all nodes have read it.
restore()
{
	store_command restore >/dev/null
	era=$((era + 1))
	fleet_until all_log "event=store_era_began era=$era "
}

runs()
{
	wc -l <"$FLEET_DIR/endpoint$1.out"
}

# True when the endpoint of a VM runs what comes to its node.
runs_again()
{
	before=$(runs "$1")
	fleet_returns 200 "$1" "$2" && [ "$(runs "$1")" -gt "$before" ]
}

era=1
fleet_store
for vm in $VMS; do
	fleet_endpoint "$vm" "up-$vm"
	entry "$vm" ready 1
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
	restore
	all_return 200 /two/x && all_return 404 /one/x && echo "the store came back from a copy: the version that it lost stays in force"
	fleet_config 4 /four/
	fleet_until all_return 200 /four/x
	echo "the next version: all follow"
	store_command copy >/dev/null
	fleet_config 6 /six/
	fleet_until all_return 200 /six/x
	restore
	for vm in 2 5 8 11; do
		fleet_kill node$vm
	done
	FLEET_ZONE=z2
	for vm in 2 5 8 11; do
		fleet_node $vm
	done
	fleet_until all_return 200 /six/x
	echo "a failure domain that starts after a copy: learns the lost version from the others"
	fleet_config 5 /five/
	fleet_config 6 /six/
	fleet_config 7 /six/ /seven/
	fleet_until all_return 200 /seven/x
	all_return 404 /five/x && echo "what was lost is written again, also an older version: all follow"
	store_command copy >/dev/null
	entry 13 draining 2
	fleet_until all_log "id=up-13 .*state=draining"
	restore
	fleet_config 8 /eight/
	fleet_until all_return 200 /eight/x
	before=$(runs 13)
	for target in /eight/a /eight/b /eight/c; do
		all_return 200 $target
	done
	echo "an endpoint that left, and is listed again: $(($(runs 13) - before)) requests"
	entry 13 ready 3
	fleet_until runs_again 13 /eight/x
	echo "it says itself that it is in service: used again"
	store_command copy >/dev/null
	fleet_endpoint 14 up-14
	entry 14 ready 1
	fleet_until all_log "id=up-14 .*state=ready"
	restore
	fleet_until all_log "id=up-14 .*state=lapsed"
	entry 14 ready 1
	fleet_until all_log "id=up-14 .*state=ready was=lapsed"
	echo "an endpoint whose start was lost: in use until it is listed again"
} >"$FLEET_DIR/result"
diff tests/run/store_copy.expected "$FLEET_DIR/result"
