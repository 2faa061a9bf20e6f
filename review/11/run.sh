#!/usr/bin/env bash
# One gateway with the descriptors of a small machine of the Nordclair deployment, 28 instances that are replaced as in a
# release, and callers. TROUBLE=0 leaves the release out. Exit code: 1 broken, 0 held, 2 could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
gateway=$root/target/bin/cuminwinch-gateway
world=$root/build/review-3/release_world
[ -x "$gateway" ] && [ -x "$world" ] || exit 2
work=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT
# The first thousand ports from a random one on in which nobody listens.
used=$(awk 'NR > 1 { split($2, part, ":"); print part[2] }' /proc/net/tcp | while read -r hex; do echo $((16#$hex)); done)
base=0
for try in $(seq 0 11); do
    base=$((10000 + (RANDOM + try) % 10 * 1000))
    echo "$used" | awk -v first="$base" '$1 >= first && $1 < first + 1000 { found = 1 } END { exit found }' && break
    base=0
done
[ "$base" -ne 0 ] || exit 2
listen=$((base + 900)) admin=$((base + 901)) peer=$((base + 902))
cat >"$work/boot.json" <<SETTINGS
{"host": "front-1", "domain": "z", "listen": "127.0.0.1:$listen", "admin": "127.0.0.1:$admin", "peer_port": $peer,
 "store": "127.0.0.1:$base", "stop_grace_s": 6, "config_bound_s": 2.5, "longest_lease_s": 10, "retry_share": 0.2,
 "retry_slack": 192, "processor_share": 0.075, "link_mbps": 10, "memory_mb": 120}
SETTINGS
"$world" "$base" "$listen" "$admin" "${TROUBLE:-1}" "$here/record.txt" >"$work/world" 2>&1 &
world_pid=$!
pids+=("$world_pid")
for _ in $(seq 100); do grep -q "store is up" "$work/world" && break; sleep 0.1; done
(cd "$root" && ulimit -n 3075 && exec "$gateway" --settings "$work/boot.json" >"$work/log" 2>&1) &
gateway_pid=$!
pids+=("$gateway_pid")
(
    while sleep 5; do
        n=$(ls "/proc/$gateway_pid/fd" 2>/dev/null | wc -l)
        waiting=$(awk -v p="$(printf ':%04X' "$listen")" '$4 == "08"' /proc/net/tcp | wc -l)
        echo "descriptors of the gateway $n of 3075, connections in CLOSE_WAIT $waiting" >>"$work/fds"
    done
) &
pids+=($!)
wait "$world_pid"
code=$?
{
    echo "-- descriptors of the gateway, every 5 s"
    cat "$work/fds"
    echo "-- reasons in the gateway's log that name open files"
    grep -c "open files" "$work/log"
    grep -m 2 "open files" "$work/log"
    cat "$work/world"
} >>"$here/record.txt"
exit "$code"
