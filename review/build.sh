#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build/. Needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p review/build
for scenario in review/[1-5]/scenario.cpp; do
    number=$(basename "$(dirname "$scenario")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread review/standin/standin.cpp "$scenario" \
        -o "review/build/scenario-$number" &
done
for job in $(jobs -p); do
    wait "$job"
done
