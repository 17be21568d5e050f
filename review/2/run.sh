#!/usr/bin/env bash
# Stops an entry while requests wait for a place at an engine. TROUBLE=0 leaves it running.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/azurelane ] && [ -x target/review/drainwait ] || exit 2
timeout 115 target/review/drainwait review/2
rc=$?
[ $rc -le 1 ] && exit $rc
exit 2
