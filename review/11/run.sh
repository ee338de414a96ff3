#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the cut.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f app/target/boragegap.jar ] || [ ! -d target/review-3 ]; then
    echo "the build of the deploy file, or review/build-3.sh, has not run" >&2
    exit 2
fi
timeout 110 java -cp app/target/boragegap.jar:target/review-3 NamedInTurn \
    review/11/record.txt 2>/dev/null
code=$?
if [ "$code" -gt 1 ]; then
    exit 2
fi
exit "$code"
