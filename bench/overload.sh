#!/usr/bin/env bash
# Measures goodput and latencies at several shares of capacity, with adaptive concurrency limits and with fixed ones
# (each router assumes that all slots are its own, and retries naively within the retry budget):
# overload.sh DIRECTORY-OF-PROGRAMS [SECONDS]
set -u
here=$(cd "$(dirname "$0")" && pwd)
ESTATE_BIN=$1
seconds=${2:-5}
ESTATE_BASE=${ESTATE_BASE:-24400}
ESTATE_LOGS=$(mktemp -d)
. "$here/../Tests/Estate/estate.sh"
results=$(mktemp -d)
# Requests/s of four upstreams with three slots each and 10 ms per request.
capacity=1200

field() { estate_field "$results/load" "$1"; }
retries() {
    for host in hakata-1 hakata-2 kokura-1 kokura-2; do
        curl -s "http://${ESTATE_ADDRESS[entry-$host-admin]}/metrics"
    done | awk '/^cuminwinch_retries_total/ { sum += $2 } END { print sum }'
}

echo "limits,share,offered_per_s,goodput_per_s,p50_us,p99_us,p999_us,refused,unknown,retries_percent,false_did_not_run,doubled"
for limits in fixed adaptive; do
    ESTATE_ROUTERS=()
    ESTATE_ADDRESS=()
    ESTATE_ROUTER_FLAGS="--limits $limits"
    estate_start_platform
    estate_client apply "$here/../Examples/estate" >/dev/null
    for domain in hakata kokura; do
        for i in 1 2; do estate_start_upstream "gallery-$domain-$i" "$domain" gallery --slots 3 --work-ms 10; done
        for i in 1 2; do estate_start_entry_host "entry-$domain-$i" "$domain"; done
    done
    estate_wait_ready gallery || exit 1
    sleep 1
    for share in 50 90 120 300; do
        before=$(retries)
        rate=$((capacity * share / 100))
        "$ESTATE_BIN/cuminwinch-load" --targets "$(estate_routers)" --platform "$PLATFORM" --prefix /gallery/ \
            --rate "$rate" --seconds "$seconds" --keys 4000 --zipf-percent 0 >"$results/load"
        percent=$(awk -v a="$before" -v b="$(retries)" -v n="$((rate * seconds))" 'BEGIN { printf "%.1f", 100 * (b - a) / n }')
        echo "$limits,$share%,$rate,$(field goodput),$(field p50_us),$(field p99_us),$(field p999_us),$(field did_not_run),$(field unknown),$percent,$(field false_did_not_run),$(field doubled)"
    done
    estate_stop
done
rm -rf "$results" "$ESTATE_LOGS"
