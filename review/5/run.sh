#!/usr/bin/env bash
# Runs the case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 runs it without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
if [ ! -x review/.bin/rig ] || [ ! -x target/lovage-fleet ]; then
    echo "build first: the deploy file's build, and review/build.sh"
    exit 2
fi
timeout --signal=KILL 118 review/.bin/rig pending "$here"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
