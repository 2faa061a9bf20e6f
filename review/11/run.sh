#!/usr/bin/env bash
# Case 11: two gateways, a service that is divided by key and whose instances are replaced one after the other. Those that leave
# spoil the token in their answers to releases. TROUBLE=0: they don't. Exit code: 1 broken, 0 held, 2 could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
gateway=$root/target/bin/cuminwinch-gateway
world=$root/build/review-3/token_world
[ -x "$gateway" ] && [ -x "$world" ] || exit 2
work=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT
used=$(awk 'NR > 1 { split($2, part, ":"); print part[2] }' /proc/net/tcp | while read -r hex; do echo $((16#$hex)); done)
base=0
for try in $(seq 0 11); do
    base=$((10000 + (RANDOM + try) % 10 * 1000))
    echo "$used" | awk -v first="$base" '$1 >= first && $1 < first + 1000 { found = 1 } END { exit found }' && break
    base=0
done
[ "$base" -ne 0 ] || exit 2
"$world" "$base" $((base + 910)) $((base + 911)) $((base + 920)) $((base + 921)) "${TROUBLE:-1}" "$here/record.txt" \
    >"$work/world" 2>&1 &
world_pid=$!
pids+=("$world_pid")
for _ in $(seq 100); do grep -q "store is up" "$work/world" && break; sleep 0.1; done
for i in 1 2; do
    cat >"$work/$i.json" <<SETTINGS
{"host": "front-$i", "domain": "z", "listen": "127.0.0.1:$((base + 900 + i * 10))",
 "admin": "127.0.0.1:$((base + 901 + i * 10))", "peer_port": $((base + 902 + i * 10)), "store": "127.0.0.1:$base",
 "stop_grace_s": 6, "config_bound_s": 2, "longest_lease_s": 10, "retry_share": 0.2, "retry_slack": 60,
 "processor_share": 0.2, "link_mbps": 1000, "memory_mb": 260}
SETTINGS
    (cd "$root" && exec "$gateway" --settings "$work/$i.json" >"$work/$i.log" 2>&1) &
    pids+=("$!")
done
wait "$world_pid"
code=$?
{
    echo "-- from the gateways' logs: stewards, tasks that ended, and one of the last refusals"
    grep -hE "steward takes over|ended with an exception" "$work"/[12].log | cut -c1-220 | head -12
    grep -hc "ended with an exception" "$work"/[12].log
    grep -h "Refused" "$work"/[12].log | tail -1
    cat "$work/world"
} >>"$here/record.txt"
exit "$code"
