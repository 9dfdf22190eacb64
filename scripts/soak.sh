#!/usr/bin/env bash
# Runs a whole deployment on this VM for about 25 seconds under many faults at
# once: an entry that is paused past its leases, another that is killed, lost
# replies and broken connections, an outage of the platform, and endpoints
# that crash, pause, fail every task or hang. Ends with the same line of
# JSON as the demo; exits with an error if a guarantee was violated.
#
# usage: scripts/soak.sh [services.toml]
#
# environment:
#   SOAK_LOAD      offered load as a share of the capacity of all slots (default 0.2)
#   KEEP           if set, the directory with settings and logs is kept

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
source scripts/deployment.sh

readonly seconds=24

layout=(-standins examples/collections.toml -entries 3)
[[ -z ${1:-} ]] || layout+=(-services "$1")
start_all "${layout[@]}"
readonly paused=${ENTRIES[2]} killed=${ENTRIES[7]}
start_load "$seconds" "${SOAK_LOAD:-0.2}"

sleep 2
signal_entry STOP "$paused"
fault -target balancer -lose-reply-share 0.05 -break-share 0.05
sleep 2
fault -kind lose_reply -rack "${DOMAINS[1]}-r0"
fault -kind break_after_read -rack "${DOMAINS[2]}-r1"
sleep 3
fault -target platform -down
fault -kind clear
fault -kind crash -worker "${DOMAINS[0]}-w03"
fault -kind fail_fast -worker "${DOMAINS[0]}-w04"
fault -kind pause -worker "${DOMAINS[0]}-w05"
fault -kind straggle -factor 10 -worker "${DOMAINS[1]}-w01"
sleep 6
signal_entry CONT "$paused"
sleep 3
fault -target platform
fault -kind clear
fault -kind silence_open -failure-domain "${DOMAINS[2]}"
signal_entry KILL "$killed"
await "$killed" || true

failed=0
await load || failed=1
cat "$dir/result.json"
exit "$failed"
