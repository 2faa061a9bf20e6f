#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into review/standins-2/bin. The gateways are those of the deploy
# file's build, target/bin/cuminwinch-gateway.
set -eu
cd "$(dirname "$0")/standins-2"
mkdir -p bin
for program in *.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "bin/${program%.cpp}" "$program" -pthread
done
