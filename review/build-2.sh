#!/bin/sh
# Builds the stand-ins and the scripts of the second review, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2
exec javac -cp app/target/boragegap.jar -d target/review-2 review/lab/*.java
