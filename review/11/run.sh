#!/usr/bin/env bash
# A machine of the core loses its disk while the seeds of its settings are frozen; later another one is replaced.
# It needs the build of the deploy file and review/build-3.sh. It exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cherviltide ] && [ -x target/review-rig3 ] || { echo "build first: the build of deploy/system.toml, then review/build-3.sh" >&2; exit 2; }
exec target/review-rig3 lost-disk review/11/record.txt
