#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out, and the stand-in reads it.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/daisyyard ] && [ -x target/review/standin-2 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review/standin-2 poison review/7
