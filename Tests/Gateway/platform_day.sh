#!/usr/bin/env bash
# Runs three gateways on a simulated platform and injects one fault: platform_day.sh DIRECTORY-OF-PROGRAMS FAULT BASE-PORT
# Faults: calm (none), kill-all, stop-each, and those of cw_platform_day (store-down, crash, drain, drain-after-outage, lost-answers, forgotten).
set -u
bin=$1 fault=$2 base=$3
work=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}" ${day:-}; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT

# start_gateway NUMBER: starts a gateway with its own ports; its log goes to a file.
start_gateway() {
    local port=$((base + 20 + $1 * 5))
    cat >"$work/$1.json" <<SETTINGS
{"host": "h$1", "domain": "z", "listen": "127.0.0.1:$port", "admin": "127.0.0.1:$((port + 1))",
 "peer_port": $((port + 2)), "store": "127.0.0.1:$base", "stop_grace_s": 6}
SETTINGS
    "$bin/cuminwinch-gateway" --settings "$work/$1.json" >>"$work/$1.log" 2>&1 &
    pids[$1]=$!
}

seconds=8
[ "$fault" = drain-after-outage ] && seconds=11
"$bin/cw_platform_day" "$base" "$seconds" "$fault" $((base + 20)) $((base + 25)) $((base + 30)) >"$work/day" &
day=$!
for try in $(seq 100); do grep -q "store is up" "$work/day" && break; sleep 0.05; done
for i in 0 1 2; do start_gateway "$i"; done
case $fault in
kill-all)
    sleep 6
    kill -KILL "${pids[@]}"
    sleep 0.3
    for i in 0 1 2; do start_gateway "$i"; done
    ;;
stop-each)
    sleep 5
    for i in 0 1 2; do
        kill -TERM "${pids[$i]}"
        wait "${pids[$i]}" || echo "FAILS: gateway $i ended with $?" >>"$work/day"
        start_gateway "$i"
        sleep 0.7
    done
    ;;
esac
wait "$day"
code=$?
cat "$work/day"
grep -q FAILS "$work/day" && code=1
if [ "$code" -ne 0 ]; then
    for log in "$work"/*.log; do echo "-- $log"; grep -vE 'Answered' "$log" | tail -30; done
fi
exit "$code"
