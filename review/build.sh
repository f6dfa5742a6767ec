#!/usr/bin/env bash
# Compiles the stand-ins that the scripts of this folder start. Needs the build of deploy/system.toml and a JDK 21 or newer.
set -eu
cd "$(dirname "$0")/.."
find_javac() {
  for home in "${JAVA_HOME:-}" /usr/lib/jvm/* /usr/java/* /opt/java/* "$HOME"/.sdkman/candidates/java/*; do
    [ -n "$home" ] && [ -x "$home/bin/javac" ] || continue
    major=$("$home/bin/javac" -version 2>&1 | sed -n 's/^javac \([0-9]*\).*/\1/p')
    [ "${major:-0}" -ge 21 ] && echo "$home/bin/javac" && return 0
  done
  command -v javac
}
rm -rf target/review-standins
mkdir -p target/review-standins
"$(find_javac)" --release 21 -d target/review-standins review/standin/*.java
