#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later into target/review-2. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
. review/standin-2/jdk.sh
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -d target/review-2 review/standin-2/*.java
