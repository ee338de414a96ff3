#!/bin/bash
# Builds the stand-ins of the third review, after the build of the deploy file. The project's own
# stand-ins, which the cases use too, are in the jar of that build. Cases 10 and 12 use the
# deployment and the client of case 9.
set -e
cd "$(dirname "$0")/.."
if [ ! -f app/target/boragegap.jar ]; then
    mvn -o -q -DskipTests package
fi
mkdir -p target/review-3
javac -cp app/target/boragegap.jar -d target/review-3 \
    review/9/*.java review/10/*.java review/11/*.java review/12/*.java
