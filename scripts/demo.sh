#!/usr/bin/env bash
# Runs a whole deployment on this VM for about 20 seconds: the stand-ins, three
# entries in each of three failure domains, and mixed jobs. Meanwhile one entry
# is killed, another is stopped gracefully, both start again, some connections
# go silent, and the configuration changes. Ends with one line of JSON on
# standard output; exits with an error if a promise was broken.
#
# usage: scripts/demo.sh [services.toml]
#
# environment:
#   DEMO_SECONDS   length of the arrivals, in seconds (default 20)
#   DEMO_LOAD      offered work as a share of what all slots can do (default 0.4)
#   DEMO_STANDINS  settings of the stand-ins (default examples/collections.toml)
#   DEMO_KEEP      if set, the directory with settings and logs is kept

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

readonly services=${1:-}
readonly seconds=${DEMO_SECONDS:-20}
readonly offered=${DEMO_LOAD:-0.4}
readonly standins=${DEMO_STANDINS:-examples/collections.toml}
readonly bin=$PWD/.bin
readonly stop_timeout=40 # seconds that a graceful stop may take

dir=$(mktemp -d "${TMPDIR:-/tmp}/lovage-demo.XXXXXX")
declare -A pids=()

say() { printf 'demo: %s\n' "$*" >&2; }

# Ends what this script has started, by pid, and removes the directory.
cleanup() {
    local status=$? name
    trap - EXIT
    for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
    for name in "${!pids[@]}"; do await "$name" || true; done
    if [[ -n ${DEMO_KEEP:-} ]]; then
        say "settings and logs are kept in $dir"
    else
        rm -rf "$dir"
    fi
    exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# start NAME COMMAND... runs a command in the background.
start() {
    local name=$1
    shift
    "$@" >>"$dir/$name.out" 2>&1 &
    pids[$name]=$!
}

start_entry() { start "$1" "$bin/lovage-entry" -config "$dir/$1.toml"; }

# await NAME waits for the end of a process and returns its exit code. One
# that does not end in time is killed.
await() {
    local name=$1 pid=${pids[$1]} status=0 waited=0 late=0
    { # bash reports killed jobs on standard error
        while kill -0 "$pid" && ((waited < stop_timeout * 10)); do
            sleep 0.1
            waited=$((waited + 1))
        done
        kill -KILL "$pid" && late=1
        wait "$pid" || status=$?
    } 2>/dev/null
    unset "pids[$name]"
    ((late == 0)) || say "$name did not stop in $stop_timeout s and was killed"
    return "$status"
}

show_output() {
    say "last output of $1:"
    tail -n 5 "$dir/$1.out" >&2 || true
}

start_all() {
    go build -o "$bin/" ./cmd/...
    local layout=(-dir "$dir" -standins "$standins")
    [[ -z $services ]] || layout+=(-services "$services")
    "$bin/lovage-load" layout "${layout[@]}" >/dev/null
    # shellcheck source=/dev/null
    source "$dir/layout.sh"
    start standin "$bin/lovage-standin" -config "$dir/standin.toml" -publish
    local entry
    for entry in "${ENTRIES[@]}"; do start_entry "$entry"; done
    if ! "$bin/lovage-load" ready -control "$CONTROL" -entries "${#ENTRIES[@]}"; then
        show_output standin
        show_output "${ENTRIES[0]}"
        exit 1
    fi
    say "${#ENTRIES[@]} entries are ready"
}

kill_entry() {
    say "killing $1"
    kill -KILL "${pids[$1]}"
    await "$1" || true
}

# stop_entry NAME stops an entry gracefully; it must exit with 0.
stop_entry() {
    local status=0
    say "stopping $1 gracefully"
    kill -TERM "${pids[$1]}"
    await "$1" || status=$?
    say "$1 exited with $status"
    if ((status != 0)); then
        show_output "$1"
        failed=1
    fi
}

silence_connections() {
    local acted
    acted=$("$bin/lovage-load" fault -control "$CONTROL" -kind silence_open -limit 12)
    say "made connections silent: $acted"
}

failed=0
start_all
"$bin/lovage-load" run -control "$CONTROL" -address "$BALANCER" -services "$SERVICES" \
    -duration "${seconds}s" -load "$offered" >"$dir/result.json" &
pids[load]=$!

step=$((seconds / 6))
sleep "$step"
kill_entry "${ENTRIES[1]}"
sleep "$step"
start_entry "${ENTRIES[1]}"
stop_entry "${ENTRIES[4]}"
start_entry "${ENTRIES[4]}"
sleep "$step"
silence_connections
sleep "$step"

await load || failed=1
cat "$dir/result.json"
exit "$failed"
