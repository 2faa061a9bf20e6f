# Functions that start a small test cluster of real processes on the loopback address. This file is to be sourced;
# by itself it starts nothing.
#
# A trap on EXIT calls estate_stop, which kills every started process by its id.

ESTATE_BIN=${ESTATE_BIN:?directory of the programs}
ESTATE_LOGS=${ESTATE_LOGS:-$(mktemp -d)}
ESTATE_BASE=${ESTATE_BASE:-20000}
PLATFORM=127.0.0.1:$ESTATE_BASE
declare -A ESTATE_PIDS=()
declare -A ESTATE_ADDRESS=()
ESTATE_NEXT_PORT=$((ESTATE_BASE + 1))
ESTATE_ROUTERS=()
failed=0

# check NAME COMMAND...: runs the command, prints whether it succeeded, and sets `failed` to 1 if it did not.
check() {
    local name=$1
    shift
    if "$@"; then echo "holds: $name"; else echo "FAILS: $name"; failed=1; fi
}

# estate_field FILE NAME: prints a number of a report of the load tool.
estate_field() { sed -n "s/^ *\"$2\": \([0-9.]*\),*$/\1/p" "$1"; }

# estate_stop: kills all started processes, including stopped ones, and waits for them.
estate_stop() {
    local name
    for name in "${!ESTATE_PIDS[@]}"; do
        kill -CONT "${ESTATE_PIDS[$name]}" 2>/dev/null
        kill -KILL "${ESTATE_PIDS[$name]}" 2>/dev/null
    done
    wait 2>/dev/null
    ESTATE_PIDS=()
}

# estate_start_process NAME PROGRAM FLAG...: starts a process and records its id.
estate_start_process() {
    local name=$1 program=$2
    shift 2
    "$ESTATE_BIN/$program" "$@" >>"$ESTATE_LOGS/$name.log" 2>&1 &
    ESTATE_PIDS[$name]=$!
}

# estate_next_port: sets ESTATE_PORT to the next unused port.
estate_next_port() {
    ESTATE_PORT=$ESTATE_NEXT_PORT
    ESTATE_NEXT_PORT=$((ESTATE_NEXT_PORT + 1))
}

# estate_platform_post PATH BODY: sends a POST request to the platform stand-in.
estate_platform_post() {
    curl -sS -X POST --data "$2" "http://$PLATFORM$1" >/dev/null
}

estate_start_platform() {
    estate_start_process platform cuminwinch-standin-platform --listen "$PLATFORM"
    estate_wait_http "$PLATFORM" /stats
}

# estate_wait_http ADDRESS PATH: waits until the page answers; returns 1 after 200 attempts.
estate_wait_http() {
    local tries
    for tries in $(seq 200); do
        curl -sf -o /dev/null "http://$1$2" && return 0
        sleep 0.05
    done
    echo "no answer from $1$2" >&2
    return 1
}

# estate_start_upstream ID DOMAIN SERVICE FLAG...: starts an upstream and adds it to the host list.
estate_start_upstream() {
    local id=$1 domain=$2 service=$3
    shift 3
    estate_next_port
    ESTATE_ADDRESS[$id]=127.0.0.1:$ESTATE_PORT
    estate_start_process "$id" cuminwinch-standin-upstream --id "$id" --listen "127.0.0.1:$ESTATE_PORT" "$@"
    estate_platform_post /hosts "{\"id\":\"$id\",\"kind\":\"upstream\",\"domain\":\"$domain\",\"service\":\"$service\",\"address\":\"127.0.0.1:$ESTATE_PORT\"}"
}

# estate_start_entry_host ID DOMAIN: starts a keeper and a router and adds the host to
# the host list.
estate_start_entry_host() {
    local id=$1 domain=$2
    estate_next_port; local keeper=$ESTATE_PORT
    estate_next_port; local rpc=$ESTATE_PORT
    estate_next_port; local callers=$ESTATE_PORT
    estate_next_port; local admin=$ESTATE_PORT
    ESTATE_ADDRESS[$id]=127.0.0.1:$keeper
    ESTATE_ADDRESS[$id-router]=127.0.0.1:$callers
    ESTATE_ADDRESS[$id-admin]=127.0.0.1:$admin
    ESTATE_ROUTERS+=("127.0.0.1:$callers")
    estate_start_process "$id-keeper" cuminwinch-keeper --host "$id" --domain "$domain" \
        --listen "127.0.0.1:$keeper" --rpc-port "$rpc" --platform "${ESTATE_KEEPER_PLATFORM:-$PLATFORM}"
    estate_start_process "$id-router" cuminwinch-router --host "$id" --domain "$domain" \
        --listen "127.0.0.1:$callers" --admin "127.0.0.1:$admin" \
        --keepers "127.0.0.1:$keeper${ESTATE_FALLBACK:+,$ESTATE_FALLBACK}" \
        --keeper-rpc "127.0.0.1:$rpc" --threads 1 ${ESTATE_ROUTER_FLAGS:-}
    estate_platform_post /hosts "{\"id\":\"$id\",\"kind\":\"entry\",\"domain\":\"$domain\",\"address\":\"127.0.0.1:$keeper\"}"
}

# estate_client ARGUMENT...: runs the operators' client against this cluster.
estate_client() {
    "$ESTATE_BIN/cuminwinch" --platform "$PLATFORM" "$@"
}

# estate_wait_ready SERVICE...: waits until each service has a key table and every router is ready; returns 1 if a
# router does not become ready.
estate_wait_ready() {
    local service host tries
    for service in "$@"; do
        for tries in $(seq 200); do
            estate_client owners "$service" >/dev/null 2>&1 && break
            sleep 0.05
        done
    done
    for host in "${!ESTATE_ADDRESS[@]}"; do
        case $host in
        *-admin) estate_wait_http "${ESTATE_ADDRESS[$host]}" /readyz || return 1 ;;
        esac
    done
    sleep 1
}

# estate_routers: prints the addresses of all routers, separated by commas.
estate_routers() {
    local IFS=,
    echo "${ESTATE_ROUTERS[*]}"
}

trap estate_stop EXIT
trap 'exit 130' INT TERM
