#!/usr/bin/env bash
# Runs the case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/cherviltide ] || exit 2
exec target/review-2 highest review/10
