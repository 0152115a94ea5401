#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
RIG_FOLDER=$(mktemp -d) || exit 2
export RIG_FOLDER RIG_RECORD="$case_folder/record.txt"
timeout 118 target/review-3/chunks
status=$?
rm -rf "$RIG_FOLDER"
[ "$status" -le 1 ] && exit "$status"
exit 2
