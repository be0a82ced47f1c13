#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/woodworks ] && [ -x target/review-2/leftout ] || { echo "build first: the deploy file's build, review/build-2.sh" >&2; exit 2; }
exec target/review-2/leftout review/7/record.txt
