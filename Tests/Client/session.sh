#!/usr/bin/env bash
# Runs a sequence of client commands and compares the output with a golden file: session.sh DIRECTORY-OF-PROGRAMS.
# With CUMINWINCH_UPDATE_GOLDEN=1 the golden file is rewritten.
set -u
here=$(cd "$(dirname "$0")" && pwd)
ESTATE_BIN=$1
ESTATE_BASE=${ESTATE_BASE:-21000}
ESTATE_LOGS=$(mktemp -d)
. "$here/../Estate/estate.sh"
folder=$(mktemp -d)
cp "$here/../../Examples/estate/"*.toml "$folder"

# step ARGUMENT...: runs the client and prints its arguments, output and exit code.
step() {
    echo "\$ cuminwinch $*" | sed "s|$folder|FOLDER|g"
    estate_client "$@" 2>&1 | sed -E "s|$folder|FOLDER|g; s/[0-9]{4}-[0-9-]+T[0-9:.]+Z/TIME/g; s/127\.0\.0\.1:[0-9]+/ADDRESS/g; s/took [0-9]+ ms/took N ms/"
    echo "exit ${PIPESTATUS[0]}"
}

session() {
    estate_start_platform
    step status
    step validate "$folder"
    step plan "$folder"
    step apply "$folder" --author ana
    step apply "$folder" --author ana
    step history
    echo "# ana and boris both start from version 1"
    sed -i 's/churn_budget = 6/churn_budget = 5/' "$folder/hayashida.toml"
    step plan "$folder" --json
    step apply "$folder" --author ana --base 1
    sed -i 's/churn_budget = 5/churn_budget = 4/' "$folder/hayashida.toml"
    step apply "$folder" --author boris --base 1
    step history
    echo "# a mistake in each file is reported, and nothing changes"
    sed -i 's/slots = 3/slots = 0/' "$folder/hayashida.toml"
    sed -i 's/^firm = "balkanski"$/firm = "balkansky"/' "$folder/balkanski.toml"
    step apply "$folder"
    step history
    echo "# the platform is down"
    estate_platform_post /control '{"up":false}'
    step history
    estate_platform_post /control '{"up":true}'
    echo "# a reply is lost after the write took effect"
    cp "$here/../../Examples/estate/"*.toml "$folder"
    estate_platform_post /control '{"lost_reply_share":1.0}'
    step apply "$folder" --author ana
    estate_platform_post /control '{"lost_reply_share":0.0}'
    step history
    step explain gallery spring
    step nonsense
    step explain gallery
}

# Runs in this shell: a subshell would not inherit the trap, and its process ids would be unknown here.
out=$(mktemp)
session >"$out"
estate_stop
golden=$here/session.golden
if [ "${CUMINWINCH_UPDATE_GOLDEN:-0}" = 1 ]; then
    cp "$out" "$golden"
fi
diff -u "$golden" "$out"
code=$?
rm -rf "$folder" "$ESTATE_LOGS" "$out"
exit $code
