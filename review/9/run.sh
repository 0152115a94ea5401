#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-9 ] && [ -x target/src/apps/crocuslaned/crocuslaned ] || exit 2
exec target/review/case-9 review/9/record.txt
