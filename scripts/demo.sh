#!/usr/bin/env bash
# Runs a whole deployment on this VM for about 20 seconds: the stand-ins, three
# entries in each of three failure domains, and mixed jobs. Meanwhile one entry
# is killed, another is stopped gracefully, both start again, some connections
# hang, and the configuration changes. Ends with one line of JSON on
# standard output; exits with an error if a guarantee was violated.
#
# usage: scripts/demo.sh [services.toml]
#
# environment:
#   DEMO_SECONDS   length of the arrivals, in seconds (default 20)
#   DEMO_LOAD      offered load as a share of the capacity of all slots (default 0.2)
#   DEMO_STANDINS  settings of the stand-ins (default examples/collections.toml)
#   KEEP           if set, the directory with settings and logs is kept

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
source scripts/deployment.sh

readonly services=${1:-}
readonly seconds=${DEMO_SECONDS:-20}
readonly offered=${DEMO_LOAD:-0.2}
readonly standins=${DEMO_STANDINS:-examples/collections.toml}

kill_entry() {
    signal_entry KILL "$1"
    await "$1" || true
}

# stop_entry NAME stops an entry gracefully; it must exit with 0.
stop_entry() {
    local status=0
    signal_entry TERM "$1"
    await "$1" || status=$?
    say "$1 exited with $status"
    if ((status != 0)); then
        show_output "$1"
        failed=1
    fi
}

# Adds a service to the services file, publishes it, and reports how long the
# change takes to be in force at all entries.
publish_change() {
    local published version
    { cat "$SERVICES" && printf '\n[[service]]\nname = "demo-added-%s"\n' "$$"; } >"$dir/changed.toml"
    if ! published=$("$bin/lovagectl" publish -author demo -platform "$PLATFORM" -json "$dir/changed.toml"); then
        say "the change was not published"
        failed=1
        return
    fi
    version=$(sed -nE 's/.*"version": ([0-9]+).*/\1/p' <<<"$published")
    say "published version $version of the configuration"
    "$bin/lovage-load" in-force -admins "$(join_by , "${ADMINS[@]}")" -version "$version" >&2 ||
        say "version $version was not confirmed in force at all entries"
}

failed=0
layout=(-standins "$standins" -entries 3)
[[ -z $services ]] || layout+=(-services "$services")
start_all "${layout[@]}"
start_load "$seconds" "$offered"

step=$((seconds / 6))
sleep "$step"
kill_entry "${ENTRIES[1]}"
sleep "$step"
start_entry "${ENTRIES[1]}"
stop_entry "${ENTRIES[4]}"
start_entry "${ENTRIES[4]}"
sleep "$step"
fault -kind silence_open -rack "${DOMAINS[0]}-r0"
publish_change
sleep "$step"

await load || failed=1
cat "$dir/result.json"
exit "$failed"
