#!/usr/bin/env bash
# Sends many changes of a large configuration. TROUBLE=0 sends two.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/azurelane ] && [ -x target/review/manychanges ] || exit 2
timeout 118 target/review/manychanges review/1
rc=$?
[ $rc -le 1 ] && exit $rc
exit 2
