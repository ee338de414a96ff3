#!/bin/sh
# Compiles the stand-ins of the second review. The project's own stand-in of the store is part of the
# binary that the build of the deploy file makes.
set -e
cd "$(dirname "$0")/.."
test -f app/target/boragegap.jar || mvn -B -q -DskipTests package
mkdir -p target/review-2
javac -cp app/target/boragegap.jar -d target/review-2 review/4/*.java
