#!/usr/bin/env bash
# Case 7: after a drill of the store an instance is granted its old keys under a fence below that of the instance which
# had them meanwhile. TROUBLE=0: no cut, no drill, no kill.
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../gateways-2.sh"
[ -x "$standins/drill_day" ] && [ -x "$root/target/bin/cuminwinch-gateway" ] || cannot_run "build first"
choose_ports 80
: >"$work/kill"
"$standins/drill_day" "$base" $((base + 60)) "${TROUBLE:-1}" "$folder/record.txt" "$work/kill" \
    $((base + 10)) $((base + 20)) $((base + 30)) >"$work/day" 2>&1 &
day=$!
pids+=("$day")
for try in $(seq 100); do grep -q "store is up" "$work/day" && break; sleep 0.05; done
start_all() {
    fronts=()
    for i in 1 2 3; do
        start_gateway "front-z$i-1" "z$i" $((base + 10 * i))
        fronts+=("$started")
    done
}
start_all
killed=
while kill -0 "$day" 2>/dev/null; do
    if [ -z "$killed" ] && [ -s "$work/kill" ]; then
        killed=yes
        disown "${fronts[@]}"
        kill -KILL "${fronts[@]}"
        # The platform starts them again after a short delay.
        sleep 1
        start_all
    fi
    sleep 0.02
done
wait "$day"
code=$?
tail -5 "$folder/record.txt"
if [ -n "${KEEP_LOGS:-}" ]; then cp "$work"/*.log "$KEEP_LOGS"; fi
[ "$code" -le 1 ] || code=2
exit "$code"
