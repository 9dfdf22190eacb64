# Functions shared by the scripts that run a deployment on this VM. Sourced,
# after cd to the root of the repository.

readonly bin=$PWD/.bin
readonly stop_timeout=40 # seconds that a graceful stop may take

dir=$(mktemp -d "${TMPDIR:-/tmp}/lovage.XXXXXX")
declare -A pids=()

say() { printf '%s: %s\n' "${0##*/}" "$*" >&2; }

# Stops the processes that were started here, by process ID, and removes the
# directory unless KEEP is set.
cleanup() {
    local status=$? name
    trap - EXIT
    for name in "${!pids[@]}"; do
        kill -TERM "${pids[$name]}" 2>/dev/null || true
        kill -CONT "${pids[$name]}" 2>/dev/null || true
    done
    for name in "${!pids[@]}"; do await "$name" || true; done
    if [[ -n ${KEEP:-} ]]; then
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

# start_all LAYOUT_FLAGS... builds the programs, writes settings with free ports,
# starts all processes and waits until all entries are ready.
start_all() {
    local entry
    go build -o "$bin/" ./cmd/...
    "$bin/lovage-load" layout -dir "$dir" "$@" >/dev/null
    # shellcheck source=/dev/null
    source "$dir/layout.sh"
    "$bin/lovagectl" check "$SERVICES" >&2
    start standin "$bin/lovage-standin" -config "$dir/standin.toml" -publish
    for entry in "${ENTRIES[@]}"; do start_entry "$entry"; done
    if ! "$bin/lovage-load" ready -control "$CONTROL" -entries "${#ENTRIES[@]}"; then
        show_output standin
        show_output "${ENTRIES[0]}"
        exit 1
    fi
    say "${#ENTRIES[@]} entries are ready"
}

# start_load SECONDS LOAD runs mixed jobs in the background. Progress goes to
# standard error, the result to result.json in the directory.
start_load() {
    "$bin/lovage-load" run -control "$CONTROL" -address "$BALANCER" -services "$SERVICES" \
        -admins "$(join_by , "${ADMINS[@]}")" -duration "${1}s" -load "$2" >"$dir/result.json" &
    pids[load]=$!
}

join_by() {
    local IFS=$1
    shift
    printf '%s' "$*"
}

# fault FLAGS... injects a fault into the stand-ins and prints what it affects.
fault() {
    say "fault $*: $("$bin/lovage-load" fault -control "$CONTROL" -platform "${PLATFORM#http://}" "$@")"
}

# signal_entry SIGNAL NAME sends a signal to an entry.
signal_entry() {
    say "SIG$1 to $2"
    kill "-$1" "${pids[$2]}"
}
