#!/usr/bin/env bash
# Runs a whole deployment on this VM until it is interrupted, and prints the
# addresses for callers and operators.
#
# usage: scripts/up.sh [services.toml]
#
# environment:
#   UP_ENTRIES   entries in each failure domain (default 1)
#   UP_STANDINS  settings of the stand-ins (default examples/collections.toml)
#   KEEP         if set, the directory with settings and logs is kept

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
source scripts/deployment.sh

layout=(-standins "${UP_STANDINS:-examples/collections.toml}" -entries "${UP_ENTRIES:-1}")
[[ -z ${1:-} ]] || layout+=(-services "$1")
start_all "${layout[@]}"

cat <<TEXT
export CALLERS=http://$BALANCER     # callers, through the balancer
export ADMIN=http://${ADMINS[0]}       # administration of ${ENTRIES[0]}
export PLATFORM=$PLATFORM    # platform stand-in
export CONTROL=http://$CONTROL     # faults and counts of the stand-ins
settings and logs: $dir
Interrupt with Ctrl-C to stop everything.
TEXT
while true; do sleep 1; done
