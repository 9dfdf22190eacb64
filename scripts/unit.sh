#!/usr/bin/env bash
# Runs the tests of the given packages with the given flags.
#
# usage: scripts/unit.sh [flags of go test] packages...
#
# The Go runtime itself has crashed under the race detector (KNOWN-RED.txt). If
# it does and no test has failed, the script reports it and runs the tests once
# more. Tests that KNOWN-RED.txt names under "passed over" are not run, but
# printed.

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

output=$(mktemp)
trap 'rm -f "$output"' EXIT

# runtime_died reports whether the output shows a crash of the runtime and no
# failed test.
runtime_died() {
    grep -qE 'ThreadSanitizer: CHECK failed|runtime\.\(\*timer\)\.maybeRunChan' "$output" &&
        ! grep -qE -- '--- FAIL|DATA RACE|panic:' "$output"
}

passed_over=$(sed -n 's/^  passed over: \(Test[A-Za-z0-9_]*\)$/\1/p' KNOWN-RED.txt | paste -sd'|')
if [[ -n $passed_over ]]; then
    echo "passed over (KNOWN-RED.txt): ${passed_over//|/ }"
    set -- -skip "^($passed_over)\$" "$@"
fi

if go test "$@" 2>&1 | tee "$output"; then exit 0; fi
runtime_died || exit 1
echo "the Go runtime crashed under the race detector (KNOWN-RED.txt): running the tests once more"
go test "$@"
