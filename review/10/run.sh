#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/egretpitch-node ] && [ -x target/review-standin-2 ] || exit 2
exec target/review-standin-2 -case crashes -dir review/10
