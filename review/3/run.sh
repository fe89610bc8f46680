#!/usr/bin/env bash
# Case 3: clients leave while answers of the store are lost, and cancel their jobs. 1: broken, 0: held, 2: could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] || exit 2
exec target/review-harness cancel review/3/record.txt
