#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lovagegate ] && [ -x target/review/case-3 ] || exit 2
timeout 118 target/review/case-3 "${TROUBLE:-1}" review/3/record.txt
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
