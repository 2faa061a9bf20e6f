#!/usr/bin/env bash
# Mutation tests: builds each mutant of mutations.txt in a temporary directory and shows which schedule catches it.
# usage: run_mutations.sh [SCHEDULES [NAME...]]; the exit code is 1 if a mutant is not caught.
set -u
top=$(cd "$(dirname "$0")/../.." && pwd)
schedules=${1:-1200}
shift || true
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
flags="-std=c++20 -O1 -I$work/Source -I$work/Standins -I$work/Tests/Ownership -I$work/Tests/Gateway"
cp -r "$top/Source" "$top/Standins" "$top/Tests" "$work"
decisions=$(sed -n '/add_library(cw_decisions/,/)/p' "$top/CMakeLists.txt" | grep -o 'Source/cw_[a-z_]*\.cpp')
ownership="Standins/cw_lease_holder.cpp Tests/Ownership/cw_load_source.cpp Tests/Ownership/cw_ownership_bench.cpp \
Tests/Ownership/cw_ownership_bench_faults.cpp Tests/Ownership/cw_ownership_bench_load.cpp \
Tests/Ownership/cw_random_schedule.cpp Tests/Ownership/cw_random_schedule_main.cpp"
steward="Tests/Gateway/cw_ownership_simulation.cpp Tests/Gateway/cw_steward_schedule.cpp Tests/Gateway/cw_steward_schedule_main.cpp"
mkdir "$work/objects" "$work/ownership" "$work/steward"
cd "$work" || exit 1

# compile FOLDER SOURCE...: compiles the sources in parallel.
compile() {
    local folder=$1
    shift
    printf '%s\n' "$@" | xargs -P "$(nproc)" -I{} sh -c "\${CXX:-g++} $flags -c {} -o $folder/\$(basename {} .cpp).o"
}
# shellcheck disable=SC2086
compile objects $decisions && compile ownership $ownership && compile steward $steward || exit 1

# first_failing_seed BINARY: runs all kinds of schedules in parallel shards; prints the lowest failing seed, if any.
first_failing_seed() {
    local shards shard kind program
    shards=$(nproc)
    for kind in ownership steward restores stale-stewards late-senders drills; do
        case $kind in
        ownership | steward) program=("$1.$kind") ;;
        *) program=("$1.steward" "--$kind") ;;
        esac
        for shard in $(seq 0 $((shards - 1))); do
            "${program[@]}" $((1 + shard * (schedules / shards))) $((schedules / shards)) |
                sed "s/^seed/$kind seed/" >"$work/out.$kind.$shard" &
        done
    done
    wait
    cat "$work"/out.* | grep '^[a-z-]* seed' | sort -t' ' -k3 -n | head -1
}

# link NAME: links the programs of both kinds of schedules.
link() {
    ${CXX:-g++} objects/*.o ownership/*.o -lxxhash -o "$1.ownership" &&
        ${CXX:-g++} objects/*.o steward/*.o -lxxhash -o "$1.steward"
}

link unchanged || exit 1
found=$(first_failing_seed ./unchanged)
if [ -n "$found" ]; then
    echo "the unchanged code fails: $found"
    exit 1
fi
missed=0
total=0
while IFS= read -r line; do
    case $line in '' | '#'*) continue ;; esac
    name=${line%% | *}; rest=${line#* | }
    file=${rest%% | *}; rest=${rest#* | }
    old=${rest%% | *}; new=${rest#* | }
    if [ $# -gt 0 ] && ! printf '%s\n' "$@" | grep -qx "$name"; then continue; fi
    total=$((total + 1))
    text=$(cat "$top/$file"; printf x)
    changed=${text/"$old"/"$new"}
    if [ "$text" = "$changed" ]; then
        echo "$name: the text to replace is not in $file"
        missed=$((missed + 1))
        continue
    fi
    printf %s "${changed%x}" >"$work/$file"
    object=$(ls */"$(basename "$file" .cpp).o")
    cp "$object" saved.o
    if ${CXX:-g++} $flags -c "$file" -o "$object" && link mutant; then
        found=$(first_failing_seed ./mutant)
        if [ -n "$found" ]; then
            echo "$name: caught by $found"
        else
            echo "$name: NOT CAUGHT by $schedules schedules"
            missed=$((missed + 1))
        fi
    else
        echo "$name: does not compile"
        missed=$((missed + 1))
    fi
    cp saved.o "$object"
    cp "$top/$file" "$work/$file"
done <"$top/Tests/Mutations/mutations.txt"
echo "mutations $total, not caught $missed"
[ "$missed" -eq 0 ]
