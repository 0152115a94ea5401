#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
for source in rig deployment; do
    c++ "${flags[@]}" -c "review/rig/$source.cpp" -o "target/review/$source.o"
done
for number in 6 7 8 9 10; do
    [ -f "review/$number/case.cpp" ] || continue
    c++ "${flags[@]}" "review/$number/case.cpp" target/review/rig.o target/review/deployment.o -o "target/review/case-$number"
done
