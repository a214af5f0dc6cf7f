#!/bin/sh
# Plays the same days with the same seeds on two commits, and compares what came of them.
# Usage: src/build/compare.sh BENCH SITES BEFORE AFTER [SEEDS [PATTERN]]
#   BENCH    the users' bench program
#   SITES    the folder of the site files
#   BEFORE   a commit
#   AFTER    another commit
#   SEEDS    seeds in quotes, "1 2" by default
#   PATTERN  only deployments whose site file matches it; all by default
# The deployments and days stand in docs/results/compared.tsv. Processor time isn't counted, so that a day mostly
# repeats; what is kept is to be played with it. Both commits are built in clones beside the working copy. Prints a
# line for each day, the sums of each deployment, what kinds of request met, and the prices that changed most. The
# journal's entries of the clones are copied into journal/. Exit code 1 if a rule broke on AFTER, 2 if the call is wrong.
set -eu
cd "$(dirname "$0")/../.."
here=$(pwd)
if [ $# -lt 4 ] || [ ! -x "$1" ] || [ ! -d "$2" ]; then
    sed -n '3,9s/^# //p' "$0" >&2
    exit 2
fi
bench=$(realpath "$1")
sites=$(realpath "$2")
seeds=${5:-1 2}
pattern=${6:-.}
work=$(dirname "$here")/compare-$$
results=target/compare
rm -rf "$results"
mkdir -p "$work" "$results"
trap 'rm -rf "$work"' EXIT

for side in before after; do
    commit=$3
    [ $side = before ] || commit=$4
    git clone -q "$here" "$work/$side"
    git -C "$work/$side" checkout -q "$(git rev-parse "$commit^{commit}")"
done

# play SIDE SITE DAY SEED OPTIONS: one day; the report goes into a file of its own.
play() {
    why="Comparison of $before_name with $after_name, $1, processor not counted"
    # shellcheck disable=SC2086
    (cd "$work/$1" && "$bench" run "$sites/$2" "$3" --seed "$4" --no-cpu $5 --why "$why") \
        >"$results/$(basename "$2" .toml).$3.$4.$1" 2>&1 || true
}

before_name=$(git rev-parse --short "$3")
after_name=$(git rev-parse --short "$4")
while IFS="$(printf '\t')" read -r site days options; do
    case $site in '#'* | '') continue ;; esac
    echo "$site" | grep -q -e "$pattern" || continue
    for day in $days; do
        for seed in $seeds; do
            play before "$site" "$day" "$seed" "$options"
            play after "$site" "$day" "$seed" "$options"
        done
    done
    awk -f src/build/compare.awk "$results/$(basename "$site" .toml)."*
done <docs/results/compared.tsv

for side in before after; do
    git -C "$work/$side" status --porcelain journal | awk '{ print $2 }' | while read -r entry; do
        mkdir -p "$(dirname "$entry")"
        cp -rn "$work/$side/$entry" "$(dirname "$entry")/"
    done
done
! grep -lqE '^(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|CONFIG|ROUTE|DRAIN|ORDER|RECOVER|ONE|LIMIT) at ' "$results"/*.after
