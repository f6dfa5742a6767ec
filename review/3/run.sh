#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -d target/review-standins ] && [ -x target/runtime/bin/java ] || exit 2
timeout -k 2 118 target/runtime/bin/java -cp target/review-standins CrashingRequest "$here"
code=$?
[ $code -le 1 ] && exit $code
exit 2
