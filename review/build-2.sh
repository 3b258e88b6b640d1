#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. Needs the JDK alone.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -Xlint:all -Werror -encoding UTF-8 -d target/review-2 review/src-2/*.java
