#!/usr/bin/env bash
# Checks that the names of the platform's protocols occur in platform/ and deploy/ only: platform_names.sh
set -u
cd "$(dirname "$0")/../.."
names='X-Cuminwinch-|/api/(grant|release|objects|ready)|holdS|configApplyS|maxHoldS|coldRemainingS|pathPrefix|maxAttempts|targetLatencyS|non_idempotent|currentRev|CUMINWINCH_BOOT'
found=$(git grep -nE "$names" -- Source Standins bench Examples Help)
if [ -n "$found" ]; then
    echo "FAILS: names of the platform occur outside platform/ and deploy/:"
    echo "$found"
    exit 1
fi
lines=$(git ls-files 'platform/*' | xargs cat | wc -l)
echo "holds: no name of the platform occurs outside platform/ and deploy/"
if [ "$lines" -gt 1200 ]; then
    echo "FAILS: platform/ has $lines lines; it should stay small"
    exit 1
fi
echo "holds: platform/ is small"
