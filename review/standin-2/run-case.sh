#!/usr/bin/env bash
# Runs a case: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
. review/standin-2/jdk.sh || exit 2
if [ ! -f "target/review-2/$1.class" ] || [ ! -x target/runtime/bin/java ]; then
  echo "not built: run ./run deploy and review/build-2.sh first" >&2
  exit 2
fi
exec "$JAVA_HOME/bin/java" -Xmx768m -cp target/review-2 Case "$1" "review/$2/record.txt"
