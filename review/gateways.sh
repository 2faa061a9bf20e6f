# Functions of the scripts: gateways on loopback ports with the settings of a small deployment, started with the
# command of deploy/system.toml. To be sourced with `top` set to the root of the project.

work=$(mktemp -d)
declare -A gateway_pids
stand_in=

# Ends all processes that the script started.
finish() {
    for pid in "${gateway_pids[@]}" $stand_in; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT

is_free() { ! (exec 9<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# find_ports COUNT: sets `base` so that the ports from base to base + COUNT - 1 are free.
find_ports() {
    local try port
    for try in $(seq 50); do
        base=$((20000 + RANDOM % 9000))
        for ((port = base; port < base + $1; ++port)); do is_free "$port" || continue 2; done
        return 0
    done
    exit 2
}

front_port() { echo $((base + 1 + $1 * 4)); }
ready_port() { echo $((base + 2 + $1 * 4)); }

# start_gateway NUMBER: the settings are deploy/settings.json with the values of a machine filled in.
start_gateway() {
    sed -e "s/{{node|json}}/\"h$1\"/" -e "s/{{zone|json}}/\"z1\"/" \
        -e "s/{{listen.front|json}}/\"127.0.0.1:$(front_port "$1")\"/" \
        -e "s/{{listen.ready|json}}/\"127.0.0.1:$(ready_port "$1")\"/" \
        -e "s/\"metrics_port\": 9464/\"metrics_port\": $((base + 4 + $1 * 4))/" \
        -e "s/{{internalPortRange.0|json}}/$((base + 3 + $1 * 4))/" \
        -e "s/{{platform.address|json}}/\"127.0.0.1:$base\"/" \
        -e "s/{{bounds.graceS|json}}/6/" -e "s/{{bounds.maxHoldS|json}}/10/" \
        -e "s/{{bounds.retryBudgetRatio|json}}/0.2/" -e "s/{{bounds.retryBudgetSlack|json}}/64/" \
        -e "s/{{limits.cpuShare|json}}/0.2/" -e "s/{{limits.linkMbps|json}}/1000.0/" \
        "$top/deploy/settings.json" >"$work/$1.json"
    (cd "$top" && exec target/bin/cuminwinch-gateway --settings "$work/$1.json") >>"$work/$1.log" 2>&1 &
    gateway_pids[$1]=$!
}
