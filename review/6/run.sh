#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and of review/build-2.sh.
cd "$(dirname "$0")" || exit 2
program=../../target/review-2/release/stand-ins-2
[ -x "$program" ] && [ -x ../../target/release/finchquay ] || exit 2
"$program" apart-gang . &
driver=$!
trap 'kill -KILL "$driver" $(ps -o pid= --ppid "$driver") 2>/dev/null; exit 2' INT TERM
wait "$driver"
