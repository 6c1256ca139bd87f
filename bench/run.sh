#!/usr/bin/env bash
# Runs the benchmarks of the scheduler and the baselines, prints all results, and writes them to $OUT as
# JSON and plots.
set -eu
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
OUT=${OUT:-$BUILD/bench}
mkdir -p "$OUT"
cmake -S . -B "$BUILD" -G Ninja > /dev/null
cmake --build "$BUILD" --target outcomes decision_cost > /dev/null
"$BUILD/outcomes" --json "$OUT/outcomes.json" --page "$OUT/outcomes.html" | tee "$OUT/outcomes.txt"
"$BUILD/decision_cost" --benchmark_out="$OUT/decision_cost.json" --benchmark_out_format=json
echo "written to $OUT"
