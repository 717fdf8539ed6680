#!/bin/bash
# Builds the stand-ins and the cases of the review. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -Xlint:-serial -Xlint:-try -d target/review review/rig/*.java
