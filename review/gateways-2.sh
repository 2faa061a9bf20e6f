# Functions of the scripts of the second review; sourced with `folder` set to the case's folder.
root=$(cd "$folder/../.." && pwd)
standins=$root/review/standins-2/bin
work=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do
        disown "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT

# The stand-ins hold both ends of many connections.
ulimit -Sn "$(ulimit -Hn)"

cannot_run() {
    echo "cannot run: $1"
    exit 2
}

# is_free FIRST LAST: true if nothing listens on these ports of the loopback address.
is_free() {
    local port
    for ((port = $1; port <= $2; ++port)); do
        (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && return 1
    done
    return 0
}

# choose_ports COUNT: sets `base` to the first of so many free ports, below those that are given out for connections.
choose_ports() {
    local try
    for try in $(seq 20); do
        base=$((12000 + RANDOM % 18000))
        is_free "$base" $((base + $1)) && return
    done
    cannot_run "no free ports"
}

# start_gateway NAME ZONE PORT: starts a gateway with the settings that the platform fills into deploy/settings.json for
# a machine of the small sites (4,100 descriptors). Sets `started` to its process id.
start_gateway() {
    cat >"$work/$1.json" <<SETTINGS
{
    "host": "$1",
    "domain": "$2",
    "listen": "127.0.0.1:$3",
    "admin": "127.0.0.1:$(($3 + 1))",
    "metrics_port": $(($3 + 3)),
    "peer_port": $(($3 + 2)),
    "store": "127.0.0.1:$base",
    "stop_grace_s": 6,
    "config_bound_s": 2,
    "evacuation_bound_s": null,
    "cold_overage": null,
    "cold_slack": null,
    "longest_lease_s": 10,
    "retry_share": 0.2,
    "retry_slack": 64,
    "processor_share": 0.2,
    "link_mbps": 1000.0,
    "memory_mb": 260
}
SETTINGS
    (
        ulimit -n 4100
        cd "$root" && exec target/bin/cuminwinch-gateway --settings "$work/$1.json" >"$work/$1.log" 2>&1
    ) &
    started=$!
    pids+=("$started")
}
