#!/usr/bin/env bash
# Case 3: a machine that takes jobs freezes for 4 s, and its clients cancel at another one. 1: broken, 0: held, 2: could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] || exit 2
# TROUBLE=0 plays the same without the disruption. The harness reads it.
export TROUBLE="${TROUBLE:-1}"
exec target/review-harness frozen review/3/record.txt
