#!/usr/bin/env bash
# Guards against the loss of all upstreams through a request that crashes each one that runs it: the request is sent
# repeatedly through all routers, concurrently with the load of other callers: crash.sh DIRECTORY-OF-PROGRAMS
set -u
here=$(cd "$(dirname "$0")" && pwd)
ESTATE_BIN=$1
ESTATE_BASE=${ESTATE_BASE:-25200}
. "$here/../Estate/estate.sh"
work=$(mktemp -d)

# exited SERVICE: prints the number of the service's upstreams that have exited.
exited() {
    local count=0 name
    for name in "${!ESTATE_PIDS[@]}"; do
        case $name in
        "$1"-*) kill -0 "${ESTATE_PIDS[$name]}" 2>/dev/null || count=$((count + 1)) ;;
        esac
    done
    echo "$count"
}

# send PATH ROUTER: prints status and outcome of one POST.
send() {
    curl -s -m 5 -o "$work/body" -D "$work/head" -X POST --data order "http://$2$1"
    sed -n 's/^HTTP\/1.1 \([0-9]*\).*/\1/p; s/^Cuminwinch-Outcome: \(.*\)\r$/\1/p' "$work/head" | paste -sd' '
}

estate_start_platform
estate_client apply "$here/../../Examples/estate" >/dev/null
for domain in hakata kokura; do
    for i in 1 2 3 4; do estate_start_upstream "gallery-$domain-$i" "$domain" gallery --slots 8 --crash-word poison; done
    for i in 1 2 3; do
        estate_start_upstream "archive-$domain-$i" "$domain" archive --slots 8 --keyed false --crash-word poison
    done
    for i in 1 2; do estate_start_entry_host "entry-$domain-$i" "$domain"; done
done
estate_wait_ready gallery || exit 1
# Each key is requested every 20 ms, so that the measured time is the unavailability of the key and not the interval
# between its callers.
"$ESTATE_BIN/cuminwinch-load" --targets "$(estate_routers)" --platform "$PLATFORM" --prefix /gallery/ --rate 1200 \
    --seconds 12 --keys 24 --zipf-percent 0 >"$work/load" &
load=$!
sleep 1
for try in $(seq 240); do
    send /gallery/k1/poison "${ESTATE_ROUTERS[$((try % 4))]}" >>"$work/answers"
    sleep 0.02
done
wait "$load"
check "the load of the other callers found no wrong outcome" [ $? -eq 0 ]
field() { estate_field "$work/load" "$1"; }
sort "$work/answers" | uniq -c
check "at most 3 gallery upstreams crashed in 240 tries through 4 routers ($(exited gallery))" \
    [ "$(exited gallery)" -le 3 ]
check "the request was then refused as not run" [ "$(tail -1 "$work/answers")" = "503 did-not-run" ]
check "the refusal states a retry-after time" grep -qi '^retry-after' "$work/head"
check "other requests for its key are answered" [ "$(send /gallery/k1/x "${ESTATE_ROUTERS[0]}")" = "200 answered" ]
check "no key of other callers was unavailable for more than 1 s at a time ($(field away_max_ms) ms)" \
    [ "$(field away_max_ms)" -le 1000 ]
for try in $(seq 12); do
    send /archive/poison "${ESTATE_ROUTERS[$((try % 4))]}" >>"$work/pool"
    sleep 0.1
done
sort "$work/pool" | uniq -c
check "at most 3 archive upstreams crashed in 12 tries ($(exited archive))" [ "$(exited archive)" -le 3 ]
check "the crashes by a read that the router retries are bounded, too" [ "$(
    for try in $(seq 6); do curl -s -m 5 -o /dev/null "http://${ESTATE_ROUTERS[$((try % 4))]}/archive/other-poison"; done
    exited archive
)" -le 6 ]
estate_client timeline | grep -E 'request-crashed' | tail -3
rm -rf "$work" "$ESTATE_LOGS"
exit $failed
