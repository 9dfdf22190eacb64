#!/usr/bin/env bash
# Runs the benchmarks of decisions and of one entry on two cores, and ends with
# one line of JSON. decision_ns is the median of five runs.

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

go test ./dispatch/... ./entry/observe -run '^$' -bench . -benchmem -count=1
runs=$(go test ./dispatch -run '^$' -bench '^BenchmarkDecision$' -benchmem -count=5)
echo "$runs"
decision=$(awk '/^BenchmarkDecision/ { print $3, $7 }' <<<"$runs" | sort -n | sed -n 3p)
read -r ns allocs <<<"$decision"
entry=$(./scripts/bench-entry.sh | tail -n 1)
echo "{\"decision_ns\":$ns,\"decision_allocs\":$allocs,${entry#\{}"
