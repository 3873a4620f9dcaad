#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. Run it after the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
"${JAVA_HOME:+$JAVA_HOME/bin/}javac" -d target/review review/stand-ins/*.java review/*/*Case.java
