#!/usr/bin/env bash
# Measures one entry on two cores in comparison with direct calls of the
# endpoints. Ends with one line of JSON on standard output.
#
# usage: scripts/bench-entry.sh [flags of lovage-load bench]
#
# environment:
#   KEEP   if set, the directory with settings and logs is kept

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
source scripts/deployment.sh

readonly entry_cores=2

start_entry() { start "$1" env GOMAXPROCS=$entry_cores "$bin/lovage-entry" -config "$dir/$1.toml"; }

start_all -standins examples/bench.toml -entries 1
"$bin/lovage-load" bench -control "$CONTROL" -address "${CALLERS[0]}" -service echo "$@"
