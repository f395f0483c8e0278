#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run. Build first: the deploy file's command, and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../../.." || exit 2
[ -x target/release/daisyyard ] && [ -x target/review/standin ] || exit 2
folder=$(mktemp -d) || exit 2
finish() {
    # The stand-in ends the gateways; these are left only if it was interrupted.
    [ -f "$folder/pids" ] && xargs kill -9 <"$folder/pids" 2>/dev/null
    rm -rf "$folder"
}
trap finish EXIT
trap 'kill "$standin" 2>/dev/null; exit 2' INT TERM
target/review/standin dark "$folder" "$here/record.txt" &
standin=$!
wait "$standin"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
