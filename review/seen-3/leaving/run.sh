#!/bin/sh
# Plays "leaving" of review/standin-3, which review/build-3.sh builds.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/release/daisyyard ] && [ -x target/review-3/standin ] || exit 2
ulimit -n 4096 2>/dev/null
# TROUBLE=0 plays the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review-3/standin leaving review/seen-3/leaving
