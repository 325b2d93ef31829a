#!/usr/bin/env bash
# Measures the baseline policy and the full policy on real processes, alternating between both.
# Usage: bench/run_bench.sh BUILD_DIR full|quick [SCENARIO...]
# Writes BUILD_DIR/../bench/results.json and PNG plots beside it; prints medians and spread.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
mode=${2:-quick}
shift $(($# < 2 ? $# : 2))
bin="$build/bin"
out=build/bench
source misc/cell.sh
source bench/load_shapes.sh
source bench/scenarios.sh

scenarios=(steady slowed crest crest-slowed store-down rolling poison)
[ $# -gt 0 ] && scenarios=("$@")
sites=(luzon ashanti)
seeds=(1 2 3 4 5)
if [ "$mode" = quick ]; then
    sites=(luzon)
    seeds=(1)
fi

# Space-separated lists that restrict a run, for example LAGOONDECK_BENCH_SEEDS="2 3".
read -ra sites <<< "${LAGOONDECK_BENCH_SITES:-${sites[*]}}"
read -ra seeds <<< "${LAGOONDECK_BENCH_SEEDS:-${seeds[*]}}"

rm -rf "$out"
mkdir -p "$out"
work="$out/work"
trap stop_cell EXIT

# Runs one scenario with one policy on a newly started cell.
measure() {
    local seed=$1 scenario=$2 name="$site-$2-$policy-$1"
    rm -rf "$work"
    mkdir -p "$work"
    start_standins "$seed"
    for number in 0 1 2 3 4 5; do start_entry "$number"; done
    write_catalogue "$scenario"
    put_catalogue "$work"/catalogue/*.json
    for number in 0 1 2 3 4 5; do wait_entry_ready "$number"; done
    prepare "$scenario"
    write_plan "$scenario" > "$work/plan.json"
    "$bin/lagoondeck-load" run "$work/plan.json" --instances "$instances" --targets "$targets_control" \
        --seed "$seed" --output "$out/results.json" --timeline "$out/$name.timeline" \
        --distribution "$out/$name.distribution" \
        -l "scenario=$scenario" -l "policy=$policy" -l "site=$site" > "$work/result.json" 2> "$work/load.log" &
    local load=$!
    inject_faults "$scenario"
    local code=0
    wait "$load" || code=$?
    stop_cell
    [ "$code" -le 1 ] || { cat "$work/load.log" >&2; return 1; }
    echo "bench: $name: $("$bin/lagoondeck-load" line "$out/results.json")"
}

for seed in "${seeds[@]}"; do
    for site in "${sites[@]}"; do
        for scenario in "${scenarios[@]}"; do
            for policy in baseline full; do
                # A cell that fails to start skips its run; the table shows the number of runs.
                measure "$seed" "$scenario" || { echo "bench: NOT RUN: $site $scenario $policy $seed"; stop_cell; }
            done
        done
    done
done
"$bin/lagoondeck-load" report "$out/results.json" | tee "$out/report.txt"
bench/plot.sh "$out"
