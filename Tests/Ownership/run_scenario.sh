#!/usr/bin/env bash
# Runs one scenario and compares its output with the golden file: run_scenario.sh PROGRAM SCRIPT.
# With CUMINWINCH_UPDATE_GOLDEN=1 the golden file is overwritten.
set -u
golden=${2%.lua}.golden
out=$("$1" "$2" 2>&1)
code=$?
if [ "${CUMINWINCH_UPDATE_GOLDEN:-0}" = 1 ]; then
    printf '%s\n' "$out" >"$golden"
fi
diff -u "$golden" <(printf '%s\n' "$out") || exit 1
exit $code
