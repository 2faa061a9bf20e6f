#!/usr/bin/env bash
# Checks that a router streams large request and answer bodies completely and in bounded memory, and that all routers
# agree on the owner of a key: streams.sh DIRECTORY-OF-PROGRAMS
set -u
here=$(cd "$(dirname "$0")" && pwd)
ESTATE_BIN=$1
ESTATE_BASE=${ESTATE_BASE:-25000}
. "$here/../Estate/estate.sh"
work=$(mktemp -d)

estate_start_platform
estate_client apply "$here/../../Examples/estate" >/dev/null
for i in 1 2; do estate_start_upstream "gallery-hakata-$i" hakata gallery; done
estate_start_upstream archive-hakata-1 hakata archive --keyed false
for i in 1 2; do estate_start_entry_host "entry-hakata-$i" hakata; done
estate_wait_ready gallery || exit 1
router=${ESTATE_ROUTERS[0]}

head -c 1500000 /dev/zero >"$work/body"
curl -sS -X POST --data-binary @"$work/body" "http://$router/archive/raw" >"$work/answer"
check "a large request arrives whole" grep -q '"received":1500000' "$work/answer"
curl -sS -X POST -H 'Transfer-Encoding: chunked' --data-binary @"$work/body" "http://$router/gallery/k/x" >"$work/answer"
check "a chunked request arrives whole" grep -q '"received":1500000' "$work/answer"
curl -sS -X POST --data-binary small "http://$router/gallery/k/x" >"$work/answer"
check "a small request arrives whole" grep -q '"received":5' "$work/answer"
curl -sS "http://$router/archive/raw?size=20000000" >"$work/answer"
check "a large answer arrives whole" [ "$(stat -c %s "$work/answer")" -eq 20000000 ]
curl -sS -D "$work/head" -o /dev/null "http://$router/archive/raw?size=20000000"
check "a large answer states its length" grep -qi '^content-length: 20000000' "$work/head"
curl -sS "http://$router/archive/raw?size=200000" >"$work/answer"
check "an answer that is held arrives whole" [ "$(stat -c %s "$work/answer")" -eq 200000 ]
curl -sS -I "http://$router/gallery/k/x" >"$work/answer"
check "a HEAD request is answered without a body" grep -q '^HTTP/1.1 200' "$work/answer"
for key in a b c d e f; do
    for address in "${ESTATE_ROUTERS[@]}"; do
        curl -sS "http://$address/gallery/$key/x" | sed -n 's/.*"upstream":"\([^"]*\)".*/\1/p'
    done | sort -u >"$work/owners"
    check "key $key has the same owner through every router" [ "$(wc -l <"$work/owners")" -eq 1 ]
done
curl -sS -i "http://$router/unknown/k" >"$work/answer"
check "an unknown path is refused as not run" grep -qi '^cuminwinch-outcome: did-not-run' "$work/answer"
memory=$(awk '/VmHWM/ {print $2}' "/proc/${ESTATE_PIDS[entry-hakata-1-router]}/status")
check "the router's memory stayed under 64 MB ($memory kB)" [ "$memory" -lt 65536 ]
rm -rf "$work" "$ESTATE_LOGS"
exit $failed
