#!/usr/bin/env bash
# Builds the stand-ins of case 11 into build/review-3. Needs the libraries that the build of the deploy
# file has left in target/.
set -eu
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -DBOOST_ASIO_SEPARATE_COMPILATION -DBOOST_BEAST_SEPARATE_COMPILATION
    -ISource -ITests/Gateway -Ireview/standins-3)
libs=(target/libcw_plumbing.a target/libcw_decisions.a target/libcw_logging.a target/libcw_boost.a -lxxhash -lpthread)
g++ "${flags[@]}" -c Tests/Gateway/cw_platform_standin.cpp -o "$out/cw_platform_standin.o" &
store=$!
pids=()
for source in review/standins-3/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ "${flags[@]}" -c "$source" -o "$out/$name.o" &
    pids+=($!)
done
wait "$store"
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/standins-3/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ "$out/$name.o" "$out/cw_platform_standin.o" "${libs[@]}" -o "$out/$name"
done
