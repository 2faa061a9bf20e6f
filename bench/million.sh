#!/usr/bin/env bash
# Sends a million requests under faults and checks them against the upstreams' journals:
# million.sh DIRECTORY-OF-PROGRAMS [ROUNDS]. Each round sends 100,000 requests in 25 s during one temporary fault.
# Upstreams are frozen rather than killed, since a killed one loses its journal; only the last round kills one.
set -u
here=$(cd "$(dirname "$0")" && pwd)
ESTATE_BIN=$1
rounds=${2:-10}
ESTATE_BASE=${ESTATE_BASE:-24600}
. "$here/../Tests/Estate/estate.sh"
results=$(mktemp -d)

# freeze NAME: stops a process for 3 s.
freeze() {
    kill -STOP "${ESTATE_PIDS[$1]}"
    sleep 3
    kill -CONT "${ESTATE_PIDS[$1]}"
}

store_outage() {
    estate_platform_post /control '{"up":false}'
    sleep 5
    estate_platform_post /control '{"up":true}'
}

# inject_fault ROUND: injects the fault of the round; all but the drain end after a few seconds.
inject_fault() {
    case $(($1 % 5)) in
    0) freeze gallery-hakata-1 ;;
    1) freeze entry-kokura-1-keeper ;;
    2) store_outage ;;
    3) curl -s -X POST "http://${ESTATE_ADDRESS[gallery-kurume-2]}/drain" >/dev/null ;;
    4) freeze gallery-tenjin-1; freeze gallery-hakata-2 ;;
    esac
}

estate_start_platform
estate_client apply "$here/../Examples/estate" >/dev/null
for domain in hakata kokura kurume tenjin; do
    for i in 1 2 3; do estate_start_upstream "gallery-$domain-$i" "$domain" gallery --slots 32 --work-ms 1; done
    for i in 1 2; do estate_start_entry_host "entry-$domain-$i" "$domain"; done
done
estate_wait_ready gallery || exit 1
echo "round,requests,answered,refused,unknown,no_answer,wrong,false_did_not_run,doubled,two_owner,p99_us,away_max_ms,code"
for round in $(seq "$rounds"); do
    "$ESTATE_BIN/cuminwinch-load" --targets "$(estate_routers)" --platform "$PLATFORM" --prefix /gallery/ \
        --rate 4000 --seconds 25 --keys 5000 --zipf-percent 80 --seed "$round" >"$results/load" 2>/dev/null &
    load_pid=$!
    sleep 5
    [ "$round" -lt "$rounds" ] || kill -KILL "${ESTATE_PIDS[gallery-kokura-3]}"
    inject_fault "$round"
    wait "$load_pid"
    code=$?
    printf '%s' "$round"
    for name in requests answered did_not_run unknown no_answer wrong_answer false_did_not_run doubled \
        two_owner_moments p99_us away_max_ms; do
        printf ',%s' "$(estate_field "$results/load" "$name")"
    done
    echo ",$code"
done
rm -rf "$results" "$ESTATE_LOGS"
