#!/usr/bin/env bash
# Measures what control costs one entry while no caller sends jobs, with real
# processes on this VM, against the number of entries or of endpoints. Prints
# one sample a line as JSON, then the slopes.
#
# usage: scripts/control.sh entries|endpoints
#
# environment:
#   CONTROL_SIZES    sizes: entries in each of the three failure domains
#                    (default "1 2 4 8"), or executors of the one pool
#                    (default "48 192 768 1536")
#   CONTROL_SECONDS  time of one measurement, in seconds (default 15)
#   CONTROL_RUNS     measurements of each size (default 2)

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
source scripts/deployment.sh

readonly against=${1:?usage: scripts/control.sh entries|endpoints}
readonly seconds=${CONTROL_SECONDS:-15}
readonly runs=${CONTROL_RUNS:-2}
readonly settle=8 # seconds until lists and leases have settled

stop_all() {
    local name
    for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
    for name in "${!pids[@]}"; do await "$name" || true; done
}

# standins EXECUTORS writes settings with that many executors.
standins() {
    sed -e "s/^executors = .*/executors = $1/" -e "s/^default_executors = .*/default_executors = 0/" \
        -e "s|^services_file = .*|services_file = \"$PWD/examples/bench-services.toml\"|" \
        examples/control.toml >"$dir/standins.toml"
}

# measure ENTRIES EXECUTORS
measure() {
    local joined run
    standins "$2"
    start_all -standins "$dir/standins.toml" -entries "$1"
    sleep "$settle"
    joined=$(IFS=,; echo "${ADMINS[*]}")
    for ((run = 0; run < runs; run++)); do
        "$bin/lovage-load" control -admins "$joined" -over "${seconds}s" -endpoints "$2" |
            tee -a "$dir/samples.json"
    done
    stop_all
}

case $against in
entries) for n in ${CONTROL_SIZES:-1 2 4 8}; do measure "$n" 48; done ;;
endpoints) for n in ${CONTROL_SIZES:-48 192 768 1536}; do measure 1 "$n"; done ;;
*) say "measure against entries or endpoints"; exit 2 ;;
esac
"$bin/lovage-load" control -fit "$against" <"$dir/samples.json"
