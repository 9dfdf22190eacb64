#!/usr/bin/env bash
# Measures the cost of the control plane per entry while no caller sends jobs,
# with real processes on this VM, as one dimension of the deployment grows.
# Prints one sample per line as JSON, then the slopes.
#
# usage: scripts/control.sh entries|domains|endpoints|changes
#
# environment:
#   CONTROL_SIZES    sizes to measure. entries: number in each of three failure
#                    domains (default "1 2 4 8"); domains: number, with 4
#                    entries each (default "2 4 8 11"); endpoints: number
#                    (default "48 192 768 1536"); changes: number per day
#                    (default "0 17280 43200 86400")
#   CONTROL_SECONDS  length of one measurement, in seconds (default 15)
#   CONTROL_RUNS     measurements of each size (default 2)

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
source scripts/deployment.sh

readonly against=${1:?usage: scripts/control.sh entries|domains|endpoints|changes}
readonly seconds=${CONTROL_SECONDS:-15}
readonly runs=${CONTROL_RUNS:-2}
readonly settle=8 # seconds until lists and leases have settled

stop_all() {
    local name
    for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
    for name in "${!pids[@]}"; do await "$name" || true; done
}

# standins EXECUTORS DOMAINS writes settings for a deployment of that size.
standins() {
    local domains
    domains=$(seq -s , -f '"domain-%g"' "$2")
    sed -e "s/^failure_domains = .*/failure_domains = [$domains]/" -e "s/^executors = .*/executors = $1/" -e "s/^default_executors = .*/default_executors = 0/" \
        -e "s|^services_file = .*|services_file = \"$PWD/examples/bench-services.toml\"|" \
        examples/control.toml >"$dir/standins.toml"
}

# change_often PER_DAY publishes that many changes per day until it is killed.
change_often() {
    local n=0 pause
    pause=$(awk -v n="$1" 'BEGIN { print 86400 / n }')
    while sleep "$pause"; do
        n=$((n + 1))
        "$bin/lovagectl" put-team -author control.sh -platform "$PLATFORM" -weight "$((n % 9 + 1))" team-1 || true
    done
}

# measure ENTRIES EXECUTORS DOMAINS CHANGES runs a deployment of that size and
# measures it CONTROL_RUNS times.
measure() {
    local joined run
    standins "$2" "$3"
    start_all -standins "$dir/standins.toml" -entries "$1"
    (($4 == 0)) || start changes change_often "$4"
    sleep "$settle"
    joined=$(IFS=,; echo "${ADMINS[*]}")
    for ((run = 0; run < runs; run++)); do
        "$bin/lovage-load" control -admins "$joined" -over "${seconds}s" -endpoints "$2" -changes "$4" |
            tee -a "$dir/samples.json"
    done
    stop_all
}

case $against in
entries) for n in ${CONTROL_SIZES:-1 2 4 8}; do measure "$n" 48 3 0; done ;;
domains) for n in ${CONTROL_SIZES:-2 4 8 11}; do measure 4 48 "$n" 0; done ;;
endpoints) for n in ${CONTROL_SIZES:-48 192 768 1536}; do measure 1 "$n" 3 0; done ;;
changes) for n in ${CONTROL_SIZES:-0 17280 43200 86400}; do measure 1 48 3 "$n"; done ;;
*) say "unknown dimension $against: use entries, domains, endpoints or changes"; exit 2 ;;
esac
case $against in
domains) size=entries ;;
changes) size=changes_per_day ;;
*) size=$against ;;
esac
"$bin/lovage-load" control -fit "$size" <"$dir/samples.json"
