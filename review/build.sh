#!/usr/bin/env bash
# Builds the stand-ins of the scripts with the JDK's compiler, into target/, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
"${JAVA_HOME:+$JAVA_HOME/bin/}javac" --release 17 -d target/review $(find review -name '*.java')
