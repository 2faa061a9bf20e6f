#!/usr/bin/env bash
# Checks that an order with an idempotency key runs once when it is sent several times through different routers,
# concurrently or later: idempotency.sh DIRECTORY-OF-PROGRAMS
set -u
here=$(cd "$(dirname "$0")" && pwd)
ESTATE_BIN=$1
ESTATE_BASE=${ESTATE_BASE:-25400}
. "$here/../Estate/estate.sh"
work=$(mktemp -d)

# order KEY IDEMPOTENCY-KEY ROUTER: sends one order and prints the answer.
order() {
    curl -s -m 5 -X POST -H "Idempotency-Key: $2" --data order "http://$3/booking/$1/deposit"
}

# runs KEY: prints the number of committed runs of a key in the journals of all upstreams.
runs() {
    local id
    for id in "${!ESTATE_ADDRESS[@]}"; do
        case $id in
        booking-*) curl -s "http://${ESTATE_ADDRESS[$id]}/journal" ;;
        esac
    done | grep -o "\"/booking/$1/deposit\",[0-9]*,[0-9]*,true" | wc -l
}

estate_start_platform
estate_client apply "$here/../../Examples/estate" >/dev/null
for domain in hakata kokura; do
    for i in 1 2; do estate_start_upstream "booking-$domain-$i" "$domain" booking --slots 8 --work-ms 30; done
    for i in 1 2; do estate_start_entry_host "entry-$domain-$i" "$domain"; done
done
estate_wait_ready booking || exit 1
for n in $(seq 10); do
    order "later$n" "key-later$n" "${ESTATE_ROUTERS[0]}" >"$work/first"
    order "later$n" "key-later$n" "${ESTATE_ROUTERS[$((n % 4))]}" >"$work/second"
    check "order $n sent again later gets the first answer" cmp -s "$work/first" "$work/second"
    check "order $n sent again later ran once" [ "$(runs "later$n")" -eq 1 ]
done
for n in $(seq 10); do
    senders=()
    for router in "${ESTATE_ROUTERS[@]}"; do
        order "once$n" "key-once$n" "$router" >"$work/answer-${router##*:}" &
        senders+=($!)
    done
    wait "${senders[@]}"
    check "order $n sent at once through four routers gets one answer" \
        [ "$(cat "$work"/answer-* | tr '}' '\n' | sort -u | grep -c request_id)" -eq 1 ]
    check "order $n sent at once through four routers ran once" [ "$(runs "once$n")" -eq 1 ]
done
rm -rf "$work" "$ESTATE_LOGS"
exit $failed
