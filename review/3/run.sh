#!/bin/bash
# Runs case 3. Exit codes: 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
FINCHQUAY_RUN=$(sed -n 's/^run *= *"\(.*\)" *$/\1/p' deploy/service.toml)
export FINCHQUAY_RUN
[ -x target/review/release/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/release/standin 3 review/3
