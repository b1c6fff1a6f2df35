#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 to 10, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp target/hickorydrift.jar review/standin-2/src/review/*.java
