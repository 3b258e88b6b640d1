#!/bin/sh
# Builds the stand-ins of all cases. Needs the JDK that the deploy file's build uses, and nothing else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/src/*.java
