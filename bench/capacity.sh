#!/usr/bin/env bash
# Generates docs/CAPACITY.md from the measurements in bench/results: capacity.sh >docs/CAPACITY.md
# `bench/measure.sh DIRECTORY-OF-PROGRAMS` repeats the measurements.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
rows=$here/results
fits=$(awk -f "$here/fit.awk" "$rows/slopes.csv")

fit_base() { awk -F, -v n="$1" '$1 == n {print $3}' <<<"$fits"; }
fit_slope() { awk -F, -v n="$1" '$1 == n {print $4}' <<<"$fits"; }
evaluate() { awk "BEGIN {printf \"${2:-%.1f}\", $1}"; }
# fit_cost COLUMN: base and slope of one column of estate_costs.csv as a linear function of upstreams per keeper.
fit_cost() {
    awk -F, -v c="$1" 'NR > 1 {n++; sx += $1; sy += $c; sxx += $1 * $1; sxy += $1 * $c}
        END {b = (n * sxy - sx * sy) / (n * sxx - sx * sx); print (sy - b * sx) / n, b}' "$rows/estate_costs.csv"
}
read -r cpu_base cpu_per <<<"$(fit_cost 2)"
read -r control_bytes_base control_bytes_per <<<"$(fit_cost 3)"
read -r mem_base mem_per <<<"$(fit_cost 5)"
rate() { awk -F, -v p="$1" -v c="$2" 'NR > 1 && $1 == p {n++; s += $c} END {print s / n}' "$rows/baseline.csv"; }
router_rate=$(rate router 3)
spread() { awk -F, -v w="$1" -v h="$2" -v l="$3" -v c="$4" '$1 == w && $2 == h && $3 == l {print $c}' "$rows/spread.csv"; }

nodes=4700 domains=17 requests=12000000 changes=11000
slices_per_upstream=8
ask=$(fit_base ask); promise=$(fit_base promise)
asks_per_s=$(evaluate "1000 / 100" %.0f)
change_rate=$(evaluate "$changes / 86400" %.3f)
services=102 # six services a firm, one firm a domain

# budget_verdict VALUE BUDGET: whether the value is within the budget, or by what factor it exceeds it.
budget_verdict() { awk -v v="$1" -v b="$2" 'BEGIN {if (v <= b) print "fits"; else printf "**%.1f times over**", v / b}'; }

cat <<EOF
# Capacity

The design at the users' two-year size: $nodes nodes, 3.4 billion keys, 12 M requests/s, $domains failure domains, $changes changes of
configuration a day. This page is written by \`bench/capacity.sh\` from the rows in \`bench/results/\`, which \`bench/measure.sh\` measures
anew. Nothing here is a target; a row that does not fit says by what factor, and which mechanism will carry it.

Measured on one machine of six cores over loopback. Bytes are payload with HTTP headers, without TCP and IP. Every slope is a
least-squares fit over at least four sizes; its largest relative error stands beside it.

## Measured slopes

| slope | unit | base | per item | points | largest error |
| --- | --- | --- | --- | --- | --- |
EOF
awk -F, 'NR > 1 {printf "| %s | %s | %s | %s | %s | %s%% |\n", $1, $2, $3, $4, $5, $6}' <<<"$fits"
cat <<EOF

\`table-*\` are per slice, \`keeper-*\` and \`renewal*\` per upstream that a keeper renews, \`config-*\` per service, \`load-report*\` per slice in
the report, \`plan\` per slice of a service (it really grows with slices times upstreams, hence its error). \`table-parse\`, \`table-change\` and \`plan\` are work per change, not per second.

Real keepers in an estate (rings of three, two deputies, \`bench/estate_costs.sh\`):

| upstreams renewed | processor, % of a core | control bytes/s sent and answered | store bytes/s | resident KB |
| --- | --- | --- | --- | --- |
EOF
awk -F, 'NR > 1 {printf "| %s | %s | %s | %s | %s |\n", $1, $2, $3, $4, $5}' "$rows/estate_costs.csv"
cat <<EOF

Fit: $(evaluate "$cpu_base" %.2f)% + $(evaluate "$cpu_per" %.3f)% an upstream; $(evaluate "$control_bytes_base" %.0f) B/s + $(evaluate "$control_bytes_per" %.0f) B/s an upstream;
$(evaluate "$mem_base / 1024" %.1f) MB + $(evaluate "$mem_per" %.0f) KB an upstream.

Router (\`bench/baseline.sh\`, one traffic thread, 32 connections, same upstream, alternating rounds): $(evaluate "$router_rate" %.0f) requests/s,
p50 $(evaluate "$(rate router 4)" %.0f) us, p99 $(evaluate "$(rate router 5)" %.0f) us; bare proxy $(evaluate "$(rate bare 3)" %.0f) requests/s, p50 $(evaluate "$(rate bare 4)" %.0f) us, p99 $(evaluate "$(rate bare 5)" %.0f) us.
Ratio of rates $(evaluate "$router_rate / $(rate bare 3)" %.2f) (target at least 0.8), of p99 $(evaluate "$(rate router 5) / $(rate bare 5)" %.2f) (target at most 1.25).

## Three splits

How the $nodes nodes divide into entry hosts and upstreams is not given. Assumed: one router and one keeper on each entry host,
$slices_per_upstream slices an upstream, six services for the hosts of one failure domain, each host serving one firm, and entry hosts in
rings of three.

| per node | mechanism (file) | 10% entry hosts | 30% | 50% | budget |
| --- | --- | --- | --- | --- | --- |
EOF
entry_counts="470 1410 2350"
# print_row NAME MECHANISM BUDGET FORMAT FORMULA: prints one row; in the formula E, U and P stand for entry hosts,
# upstreams, and upstreams per entry host.
print_row() {
    local name=$1 mechanism=$2 budget=$3 format=$4 formula=$5 entry upstreams value cells=""
    for entry in $entry_counts; do
        upstreams=$((nodes - entry))
        value=$(awk -v E="$entry" -v U="$upstreams" -v P="$(evaluate "$upstreams / $entry" %.6f)" "BEGIN {print $formula}")
        cells+=" $(evaluate "$value" "$format")"
        [ "$budget" = - ] || cells+=" $(budget_verdict "$value" "$budget")"
        cells+=" |"
    done
    echo "| $name | $mechanism |$cells $budget |"
}
print_row "upstreams renewed per keeper" "rendezvous hashing (cw_membership)" - %.1f "P"
print_row "requests/s per router" "" - %.0f "$requests / E"
print_row "cores per router, traffic" "cw_proxy_session" - %.2f "$requests / E / $router_rate"
print_row "control processor, %" "cw_keeper_core" 2.5 %.2f "$cpu_base + $cpu_per * P"
print_row "control memory, MB" "cw_keeper_context" 256 %.1f "$mem_base / 1024 + $mem_per * P / 1024 + 2 * $(fit_base table-memory) / 1e6 + 2 * $(fit_slope table-memory) * 8 * U / $services / 1e6"
print_row "renewals and promises, B/s" "cw_lease_keeper, cw_membership, rings of three" 4096 %.0f "$control_bytes_base + $control_bytes_per * P"
print_row "one ring a domain, promises, B/s" "as today, all-to-all" 4096 %.0f "$asks_per_s * (E / $domains - 1) * ($ask + $promise)"
print_row "load reports with hot keys, B/s" "cw_balancer, to every keeper of the firm" 4096 %.0f "(E / $domains - 1) * 4 * ($(fit_base load-report) + $(fit_slope load-report) * 8 * U / $services) / 5"
print_row "configuration, B/s, changed part only" "cw_version_distributor, fanout 6, cw_make_config_delta" 4096 %.0f "$change_rate * 7 * ($(fit_base config-delta) + $services * $(fit_slope config-delta))"
print_row "configuration, B/s, whole bundles (the way before)" "cw_make_config_bundle" 4096 %.0f "$change_rate * 7 * ($(fit_base config-bytes) + $services * $(fit_slope config-bytes))"
print_row "table change, bytes to each keeper" "whole table by watch (cw_keeper_io)" - %.0f "$(fit_base table-stored) + $(fit_slope table-stored) * 8 * U / $services"
cat <<EOF

| the store carries | mechanism (file) | 10% entry hosts | 30% | 50% | budget |
| --- | --- | --- | --- | --- | --- |
EOF
print_row "waiting watches, tables and rings as today" "one a key and keeper (cw_keeper_core::watched_keys)" 2000 %.0f "E * (4 + 2)"
print_row "waiting watches on configurations" "two a domain (cw_version_distributor)" 2000 %.0f "2 * $domains"
print_row "waiting watches, all by relay" "to be built: tables on cw_version_distributor" 2000 %.0f "2 * $domains * (1 + 4 + 2)"
print_row "reads/s in a store-less tenure" "none while peers promise (cw_tenure)" 2000 %.0f "0"
print_row "reads/s, one keeper lost in every ring" "ring reads every 90 ms (cw_membership)" 2000 %.0f "E * 2 / 3 * 11"
print_row "writes/s, ordinary day" "joins touch four tables, drains, losses" 300 %.2f "(430 + 19) * 2 * 6 / 86400"
print_row "writes/s, a domain's keepers start at once" "joins and touches over 10 s, retried on conflict" 300 %.0f "E / $domains * (1 + 4) / 10"
cat <<EOF

## Keys, slices, hot keys

3.4 billion keys keep no state: a key is a position on a 64-bit ring. A lookup takes $(evaluate "$(fit_base table-lookup)" %.0f) ns in a small table and
$(awk -F, '$1 == "table-lookup" && $2 == 80000 {print $4}' "$rows/slopes.csv") ns among 80,000 slices, hashing included. A table of the store's megabyte holds
$(evaluate "1000000 / $(fit_slope table-stored)" %.0f) slices, or $(evaluate "1000000 / $(fit_slope table-stored) / $slices_per_upstream" %.0f) upstreams a service; beyond that a table needs chunks (not built).

The hottest 340 keys: each traffic thread counts keys in 128 counters a service (\`cw_heavy_hitters\`, Space-Saving), the planner makes a hot key a
slice of one value, and a load report names up to 12 of them beside the rates of all slices ($(evaluate "$(fit_base load-report) + 328 * $(fit_slope load-report)" %.0f) B for a table of 328 slices).
At 340 keys in 3 minutes over $domains domains a domain sees 20 changes in that time, one table write each 9 s. A move takes at least the
5 s between two reports; \`cw_imbalance_test\` settles ten upstreams under Zipf load within 10 s, and after all hot keys have changed within two
minutes. The table is kept below 16 slices an owner.

## Configuration within 13 s

$changes changes a day are $change_rate a second. Spreading one version to all hosts (\`bench/cw_spread_compare\`; the tree is the product's
\`cw_version_distributor\`, the others are models; 10 ms a hop, 2.5 KB a change; a round is a hop):

| way | hosts | lost | messages | bytes | rounds | most messages by one host | hosts not reached |
| --- | --- | --- | --- | --- | --- | --- | --- |
EOF
awk -F, 'NR > 1 {printf "| %s | %s | %s | %s | %s | %s | %s | %s |\n", $1, $2, $3, $4 + $5, $6, $7, $8, $9}' "$rows/spread.csv"
cat <<EOF

The star needs one host that sends $(spread star 4700 none 8) messages, or as many watches. Gossip sends $(evaluate "$(spread gossip 4700 none 4) / $(spread tree 4700 none 4)" %.0f) times the
tree's messages. The ring with pointers over 2^h names (after Harvey and Munro, "Deterministic SkipNet") has the least messages, but takes
$(spread ring 4700 none 7) rounds to the tree's $(spread tree 4700 none 7) and in this model knows at once which neighbours are lost; its absolute bounds on pointers buy nothing
here, since each host knows the list of its domain anyway. So the idea was not taken. With 10% of the hosts lost the tree takes $(spread tree 4700 10% 7) rounds, of which
most is the patience of 150 ms with silent parents. At 100 ms a hop between regions and three trips a fetch, $(spread tree 4700 none 7) rounds are
$(evaluate "$(spread tree 4700 none 7) * 0.3" %.1f) s, and with 10% lost $(evaluate "$(spread tree 4700 none 7) * 0.3 + 0.15 * 4" %.1f) s, within 13 s.

## A key within 1 s of a loss

| part | ms | source |
| --- | --- | --- |
| last grant to detection | 0-50 (refused), 180 (silent); runs beside the lapse | cw_timings |
| lapse of the lease after the last grant | at most 455 | cw_timings: lease and drift |
| holds of the ring's members | beside the lapse | cw_upstream_failover |
| table write, watch, grant, routes | about 10 | time line of the demo |
| with a keeper of the ring lost as well | 710 more | cw_timings::settle_time |

The size of the estate enters only through the table's size: parsing and writing a table of 8 x 41 slices takes
$(evaluate "$(fit_base table-change) + $(fit_slope table-change) * 328" %.0f) us and is far from the budget.

## Bad days

| event | what grows | carried by |
| --- | --- | --- |
| a rack: up to a ring's three entry hosts and some upstreams | the ring's leases lapse; \`release\` services move after about 0.9 s, \`hold\` services wait for a new keeper | deputies; a new ring member |
| a domain | its slices of \`release\` services in one write a service | cw_domain_failover |
| regions apart for minutes | nothing, while rings lie within a domain; routers refuse what lies beyond | cw_tenure |
| the store back after an outage | each watch is asked again after 100 ms: $(evaluate "470 * 6 / 0.1" %.0f) reads/s at 470 hosts, **over** | fewer watches by relay, to be built; pauses up to 1 s were tried and taken back, since hand-overs begin before all routers hear of tables again (128 ms of refusals at the store's return) |
| a request that crashes upstreams | 60 B to each keeper of the firm, three times a crash: $(evaluate "470 * 3 * 60 / 1000" %.0f) KB from one host at 470 | cw_crash_broadcaster |

## What today's code does not carry, in order

1. **Bytes of renewals** beyond one upstream a keeper: $(evaluate "$control_bytes_per" %.0f) B/s an upstream. Next: renewal carried on the answers of ordinary traffic, which
   every owner of a used key sends anyway, and one exchange per 300 ms with a longer lease where a refused connection or a new incarnation
   proves the end.
2. **One ring a domain.** Rings of three by rendezvous over the domain's hosts, each with a share of its upstreams.
3. **Watches and whole tables.** Tables as topics of cw_version_distributor, and changes as moves rather than whole tables.
4. **Load reports to everyone.** Sums per domain by its first host, then among first hosts; with a front for each upstream
   (docs/ROUTING.md) only its front reports.
5. **Connections and slots of an upstream over hundreds of routers.** A front for each upstream (docs/ROUTING.md).
6. **Tables in chunks.**
EOF
