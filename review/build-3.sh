#!/usr/bin/env bash
# Builds the stand-ins that the cases of the third review start, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/rig-3/*.cpp; do
    name=$(basename "$source" .cpp)
    if [ "$name" != rig ]; then
        g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/$name" "$source" review/rig-3/rig.cpp &
    fi
done
wait
