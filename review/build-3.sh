#!/bin/bash
# Builds the stand-ins of the third review, after the build of the deploy file. The project's own
# stand-ins, which the cases use too, are in the jar of that build.
set -e
cd "$(dirname "$0")/.."
if [ ! -f app/target/boragegap.jar ]; then
    mvn -o -q -DskipTests package
fi
mkdir -p review/standins-3/target
javac -cp app/target/boragegap.jar -d review/standins-3/target review/standins-3/*.java
