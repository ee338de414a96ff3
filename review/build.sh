#!/bin/sh
# Compiles the stand-ins of the review. The project's own stand-ins, of the store and of the
# minions, are part of the binary that the build of the deploy file makes.
set -e
cd "$(dirname "$0")/.."
test -f app/target/boragegap.jar || mvn -B -q -DskipTests package
mkdir -p target/review
javac -d target/review -cp app/target/boragegap.jar review/Deployment.java review/[123]/*.java
