#!/bin/sh
# Plays the standard days of the users' deployments and compares each score with the one that was reached.
# Usage: src/build/regression.sh BENCH SITES [JOBS]
#   BENCH  the users' bench program
#   SITES  the folder of the site files
#   JOBS   processors to use; half of the machine's by default
# The deployments stand in docs/results/held.tsv: site file, score reached, and how far it may fall. Prints a line for
# each, with the mean worth of its days with trouble. Exit code 1 if a gate failed or a score fell further, 2 if the
# call is wrong.
set -eu
cd "$(dirname "$0")/../.."
held=docs/results/held.tsv
if [ $# -lt 2 ] || [ ! -x "$1" ] || [ ! -d "$2" ]; then
    sed -n '3,6s/^# //p' "$0" >&2
    exit 2
fi
bench=$1
sites=$2
jobs=${3:-$(($(nproc) / 2))}
mkdir -p target/regression
failed=0
while IFS="$(printf '\t')" read -r site reached fall; do
    case $site in '#'* | '') continue ;; esac
    log=target/regression/$(basename "$site" .toml).log
    # A gate that failed is told by the log, whatever the exit code of the bench.
    "$bench" score "$sites/$site" --jobs "$jobs" --why "Regression: what was reached holds" >"$log" 2>&1 || true
    score=$(sed -n 's/^score on the standard days of .*: \([0-9.]*\)$/\1/p' "$log")
    mean=$(awk '$1 ~ /^(trouble|scale)-/ && $4 ~ /^[0-9.]+$/ { sum += $4; days++ }
        END { if (days) printf "%.3f", sum / days }' "$log")
    gate=$(grep -o 'GATE [a-z]*' "$log" | tail -n 1 || true)
    verdict=$(awk -v score="${score:-0}" -v reached="$reached" -v fall="$fall" -v gate="$gate" \
        'BEGIN { print (gate == "GATE passed" && score >= reached - fall) ? "held" : "NOT HELD" }')
    printf '%s\t%s\tscore %s\treached %s\ttrouble %s\t%s\t%s\n' \
        "$verdict" "$site" "${score:-none}" "$reached" "${mean:-none}" "${gate:-no gate}" "$log"
    [ "$verdict" = held ] || failed=1
done <"$held"
exit $failed
