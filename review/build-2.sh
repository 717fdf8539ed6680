#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review; needs the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/rig-2/*.java
