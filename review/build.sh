#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cpp; do
    g++ -std=c++20 -O2 -pthread "$source" -o "bin/$(basename "$source" .cpp)"
done
