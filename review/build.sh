#!/bin/sh
# Builds the stand-ins of the scripts, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -cp target/hickorydrift.jar -d target/review review/standin/*.java review/*/*.java
