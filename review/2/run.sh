#!/bin/sh
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/build/standin ] && [ -x target/agatepost ] || { echo "build first: deploy file, review/build.sh"; exit 2; }
exec review/build/standin burst_of_users target/agatepost review/2 "${TROUBLE:-1}"
