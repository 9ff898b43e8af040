# Functions to start and stop small fleets on this machine; sourced by the demo,
# the scripted tests and the benchmarks.  Processes are stopped by their pid.

BUILD=${BUILD:-build}
FLEET_DIR=$(mktemp -d)
FLEET_PIDS=""
FLEET_VMS=""
FLEET_ADMINS=""
FLEET_TOKEN=fleet-operator-token
export EELGRASSLATCH_TOKEN=$FLEET_TOKEN

fleet_stop()
{
	for pid in $FLEET_PIDS; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -TERM "$pid" 2>/dev/null || true
	done
	n=0
	for pid in $FLEET_PIDS; do
		while kill -0 "$pid" 2>/dev/null && [ $n -lt 50 ]; do
			sleep 0.1
			n=$((n + 1))
		done
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	FLEET_PIDS=""
	rm -rf "$FLEET_DIR"
}

# fleet_line FILE: waits at most 5 s for output and prints its first line.
fleet_line()
{
	tries=0
	until [ -s "$1" ]; do
		tries=$((tries + 1))
		[ $tries -lt 100 ] || { echo "no output in $1" >&2; return 1; }
		sleep 0.05
	done
	head -n 1 "$1"
}

# fleet_spawn NAME PROGRAM ARGS...: starts a process; its pid is in $FLEET_PID.
fleet_spawn()
{
	name=$1
	shift
	"$@" >"$FLEET_DIR/$name.out" 2>"$FLEET_DIR/$name.err" </dev/null &
	FLEET_PID=$!
	FLEET_PIDS="$FLEET_PIDS $FLEET_PID"
	echo "$FLEET_PID" >"$FLEET_DIR/$name.pid"
}

fleet_pid()
{
	cat "$FLEET_DIR/$1.pid"
}

fleet_platform()
{
	fleet_spawn platform "$BUILD/standin_platform" --port 0
	# shellcheck disable=SC2046
	set -- $(fleet_line "$FLEET_DIR/platform.out")
	PLATFORM_PORT=$2
	PLATFORM_CONTROL=$4
	"$BUILD/eelgrasslatchctl" keygen >"$FLEET_DIR/keys.toml"
}

# fleet_upstream NAME OPTIONS...: ports in $UPSTREAM_PORT, $UPSTREAM_CONTROL.
fleet_upstream()
{
	upstream_name=$1
	shift
	fleet_spawn "$upstream_name" "$BUILD/standin_upstream" --port 0 "$@"
	# shellcheck disable=SC2046
	set -- $(fleet_line "$FLEET_DIR/$upstream_name.out")
	UPSTREAM_PORT=$2
	UPSTREAM_CONTROL=$4
	echo "$UPSTREAM_CONTROL" >"$FLEET_DIR/$upstream_name.control"
}

# fleet_settings ID DOMAIN_ID SERVICE UPSTREAM_PORT SLOTS CONNECTIONS
fleet_settings()
{
	cat <<-END
		[node]
		id = $1
		domain = "fd-$2"
		domain_id = $2
		region = "local"
		service = "$3"
		$FLEET_NODE_EXTRA
		[listen]
		front = "127.0.0.1:0"
		peer = "127.0.0.1:0"
		admin = "127.0.0.1:0"
		[admin]
		token = "$FLEET_TOKEN"
		[upstream]
		address = "127.0.0.1:$4"
		slots = $5
		connections = $6
		[platform]
		address = "127.0.0.1:$PLATFORM_PORT"
	END
	cat "$FLEET_DIR/keys.toml"
	printf '%s' "$FLEET_SEEDS"
}
FLEET_NODE_EXTRA=""
FLEET_SEEDS=""
FLEET_SEED_COUNT=0

# fleet_node ID DOMAIN_ID SERVICE UPSTREAM SLOTS CONNECTIONS: starts a node for
# the running upstream of that name; ports are in $NODE_FRONT, $NODE_ADMIN.
fleet_node()
{
	node_id=$1
	node_domain=$2
	node_service=$3
	node_upstream=$4
	# shellcheck disable=SC2046
	set -- $(head -n 1 "$FLEET_DIR/$4.out") "$5" "$6"
	fleet_settings "$node_id" "$node_domain" "$node_service" "$2" "$5" "$6" \
		>"$FLEET_DIR/node$node_id.toml"
	upstream_control=$4
	fleet_spawn "node$node_id" "$BUILD/eelgrasslatchd" --config \
		"$FLEET_DIR/node$node_id.toml"
	# shellcheck disable=SC2046
	set -- $(fleet_line "$FLEET_DIR/node$node_id.out")
	NODE_FRONT=$2
	NODE_PEER=$4
	NODE_ADMIN=$6
	echo "$NODE_FRONT" >"$FLEET_DIR/node$node_id.front"
	echo "$NODE_ADMIN" >"$FLEET_DIR/node$node_id.admin"
	curl -s -X PUT "http://127.0.0.1:$upstream_control/node?port=$NODE_FRONT" -d ""
	FLEET_VMS="$FLEET_VMS$node_id $node_domain $node_service live 127.0.0.1:$NODE_PEER
"
	if [ $FLEET_SEED_COUNT -lt 3 ]; then
		FLEET_SEEDS="$FLEET_SEEDS[[seed]]
node = $node_id
address = \"127.0.0.1:$NODE_PEER\"
"
		FLEET_SEED_COUNT=$((FLEET_SEED_COUNT + 1))
	fi
	FLEET_ADMINS="$FLEET_ADMINS --node 127.0.0.1:$NODE_ADMIN"
}

fleet_publish_vms()
{
	printf '%s' "$FLEET_VMS" | curl -s -X PUT --data-binary @- \
		"http://127.0.0.1:$PLATFORM_CONTROL/vms"
}

# fleet_publish_preset FILE
fleet_publish_preset()
{
	curl -s -X PUT --data-binary "@$1" "http://127.0.0.1:$PLATFORM_CONTROL/preset"
}

# fleet_wait_ready SECONDS: waits until all nodes are ready.
fleet_wait_ready()
{
	end=$(($(date +%s) + $1))
	for file in "$FLEET_DIR"/node*.admin; do
		port=$(cat "$file")
		until curl -s -o /dev/null -f "http://127.0.0.1:$port/readyz"; do
			[ "$(date +%s)" -lt "$end" ] || { echo "node of $file is not ready" >&2; return 1; }
			sleep 0.1
		done
	done
}

ctl()
{
	# shellcheck disable=SC2086
	"$BUILD/eelgrasslatchctl" $FLEET_ADMINS "$@"
}
