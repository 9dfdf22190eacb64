#!/usr/bin/env bash
# Runs the scenarios and the fault tests, and writes docs/FAULTS.md.

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

results=$(mktemp)
page=$(mktemp)
trap 'rm -f "$results" "$page"' EXIT
go test -count=1 -json -run '^(TestScenarios|TestFaultsAlone|TestFaultPairs)$' ./scenario >"$results" || true
status=0
go run ./scenario/faultpage <"$results" >"$page" || status=$?
cat "$page" >docs/FAULTS.md
exit "$status"
