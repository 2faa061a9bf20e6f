#!/usr/bin/env bash
# Compares the router with a bare pass-through proxy in alternating rounds. Each has one traffic thread and an
# upstream of the same capacity: baseline.sh DIRECTORY-OF-PROGRAMS [ROUNDS [SECONDS [CONNECTIONS]]]
set -u
here=$(cd "$(dirname "$0")" && pwd)
ESTATE_BIN=$1
rounds=${2:-5}
seconds=${3:-3}
connections=${4:-32}
ESTATE_BASE=24000
ESTATE_LOGS=$(mktemp -d)
. "$here/../Tests/Estate/estate.sh"
folder=$(mktemp -d)
sed 's/slots = 3/slots = 1000/' "$here/../Examples/estate/hayashida.toml" >"$folder/hayashida.toml"
estate_start_platform
estate_client apply "$folder" >/dev/null
estate_start_upstream gallery-1 hakata gallery --slots 1000 --work-ms 0
estate_start_upstream plain-1 hakata archive --slots 1000 --work-ms 0 --keyed false
estate_start_entry_host entry-1 hakata
estate_wait_ready gallery
estate_next_port
bare=127.0.0.1:$ESTATE_PORT
estate_start_process bare cw_bare_proxy "$bare" "${ESTATE_ADDRESS[plain-1]}"
sleep 0.5
echo "proxy,round,requests_per_second,p50_us,p99_us,failed"
for round in $(seq "$rounds"); do
    echo "bare,$round,$("$ESTATE_BIN/cw_closed_loop" "$bare" /archive/k/x "$connections" "$seconds")"
    echo "router,$round,$("$ESTATE_BIN/cw_closed_loop" "${ESTATE_ROUTERS[0]}" /gallery/k/x "$connections" "$seconds")"
done
rm -rf "$folder" "$ESTATE_LOGS"
