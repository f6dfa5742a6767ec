#!/usr/bin/env bash
# Compiles the stand-ins of the third review into target/review-3. They use the JDK only.
set -eu
cd "$(dirname "$0")/.."
major() { "$1/bin/java" -version 2>&1 | sed -n 's/^[^ ]* version "\([0-9]*\).*/\1/p'; }
for home in "${JAVA_HOME:-}" /usr/lib/jvm/* /usr/java/* /opt/java/*; do
  [ -n "$home" ] && [ -x "$home/bin/javac" ] || continue
  [ "$(major "$home")" -ge 21 ] 2>/dev/null || continue
  mkdir -p target/review-3
  "$home/bin/javac" -nowarn --release 21 -d target/review-3 review/standin-3/*.java
  exit 0
done
echo "no JDK 21 or newer was found" >&2
exit 1
