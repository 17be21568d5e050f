#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 leaves the change of the configuration out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/azurelane ] && [ -x target/review/headersize ] || exit 2
timeout 115 target/review/headersize review/5
rc=$?
[ $rc -le 1 ] && exit $rc
exit 2
