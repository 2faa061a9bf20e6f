#!/usr/bin/env bash
# Repeats all measurements that docs/CAPACITY.md is generated from; the machine must be otherwise idle:
# measure.sh DIRECTORY-OF-PROGRAMS
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/results"
"$1/cw_slopes" >"$here/results/slopes.csv"
"$1/cw_spread_compare" >"$here/results/spread.csv"
"$here/estate_costs.sh" "$1" 2>/dev/null >"$here/results/estate_costs.csv"
"$here/baseline.sh" "$1" 5 3 32 2>/dev/null >"$here/results/baseline.csv"
