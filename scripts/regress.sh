#!/usr/bin/env bash
# Plays the quick scores of the sites in force on the users' bench and compares
# each with the newest score of that site in the journal. Fails if a gate fails
# or a score has fallen by more than the bench's noise.
#
# usage: scripts/regress.sh [why]
#
# The users' files lie beside the repository; FLEET_KIT names another place. The
# bench writes entries to journal/, which are committed as they are. JOBS is the
# number of cores to use.

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

kit=${FLEET_KIT:-../given/kit/more/system}
bench=$kit/more/bench-d17393/bin/fleetbench
sites=(large/rsz-large grown/rsz-grown grown/karam-lots-grown)
noise=0.03 # a smaller change of a score is noise, as the bench's page says
why=${1:-regression run}

if [[ ! -x $bench ]]; then
    echo "no bench at $bench: lay the users' files beside the repository, or name their place in FLEET_KIT" >&2
    exit 2
fi

# last_score prints the newest score of a site in the journal, or nothing.
last_score() {
    "$bench" journal list | awk -v site="$1" '$3 == "score" && $4 == site { score = $5 } END { print score }'
}

failed=0
for path in "${sites[@]}"; do
    site=${path##*/}
    before=$(last_score "$site")
    output=$("$bench" score "$kit/$path.toml" --quick --jobs "${JOBS:-3}" --why "$why") || true
    now=$(awk '/^score on the standard days/ { print $NF }' <<<"$output")
    gate=$(grep -E '^GATE ' <<<"$output" || echo "no gate: the run did not finish")
    echo "$site: ${before:-no score before} before, ${now:-no score} now, $gate"
    if [[ $gate != "GATE passed" ]] || [[ -z $now ]]; then
        grep -vE '^(seen|built)' <<<"$output"
        failed=1
    elif [[ -n $before ]] && awk "BEGIN { exit !($before - $now > $noise) }"; then
        echo "$site: fell by more than $noise"
        failed=1
    fi
done
exit "$failed"
