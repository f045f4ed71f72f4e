#!/bin/sh
# Runs case 8; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-8 ] || exit 2
exec target/review-2/case-8 review/8
