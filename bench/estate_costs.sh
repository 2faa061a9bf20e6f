#!/usr/bin/env bash
# Measures control traffic, processor time and memory per keeper against the number of upstreams whose leases it
# renews: estate_costs.sh DIRECTORY-OF-PROGRAMS. One domain's ring of three keepers without requests, for four sizes.
set -u
here=$(cd "$(dirname "$0")" && pwd)
echo "upstreams_per_keeper,cpu_percent,control_bytes_per_s,store_bytes_per_s,resident_kb,store_reads_per_s"
for upstreams in 3 12 24 48; do
    (
        ESTATE_BIN=$1
        ESTATE_BASE=27000
        ESTATE_LOGS=$(mktemp -d)
        . "$here/../Tests/Estate/estate.sh"
        estate_start_platform
        estate_client apply "$here/../Examples/estate" >/dev/null
        for i in $(seq "$upstreams"); do estate_start_upstream "gallery-$i" hakata gallery; done
        for domain in hakata kokura; do
            for i in 1 2 3; do estate_start_entry_host "entry-$domain-$i" "$domain"; done
        done
        estate_wait_ready gallery
        sleep 4
        read_costs() {
            for i in 1 2 3; do
                local pid=${ESTATE_PIDS[entry-hakata-$i-keeper]}
                local status
                status=$(curl -s "http://${ESTATE_ADDRESS[entry-hakata-$i]}/v1/status")
                echo "$(awk '{print $14 + $15}' "/proc/$pid/stat")" \
                    "$(sed 's/.*"control_bytes":\([0-9]*\).*/\1/' <<<"$status")" \
                    "$(sed 's/.*"store_bytes":\([0-9]*\).*/\1/' <<<"$status")" \
                    "$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")"
            done | awk '{c += $1; b += $2; s += $3; m += $4} END {print c, b, s, m}'
        }
        store_reads() { curl -s "http://$PLATFORM/stats" | sed 's/.*"reads":\([0-9]*\).*/\1/'; }
        read -r cpu bytes store memory <<<"$(read_costs)"
        reads_before=$(store_reads)
        sleep 10
        read -r cpu2 bytes2 store2 memory2 <<<"$(read_costs)"
        reads_after=$(store_reads)
        # A clock tick is 10 ms, so the ticks of three keepers over 10 s, divided by 30, are percent of a core
        # per keeper.
        awk -v u="$upstreams" -v c=$((cpu2 - cpu)) -v b=$((bytes2 - bytes)) -v s=$((store2 - store)) \
            -v m="$memory2" -v r=$((reads_after - reads_before)) \
            'BEGIN {printf "%d,%.3f,%.0f,%.0f,%d,%.1f\n", u / 3, c / 30, b / 30, s / 30, m / 3, r / 10}'
    )
done
