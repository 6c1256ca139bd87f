#!/usr/bin/env bash
# Runs the soak with several seeds at a time: run_seeds.sh PRODUCT SOAK FOLDER SECONDS SEED... Prints one
# line a seed, and what was found. Exit code: 0 if all promises held.
set -u
product=$1
soak=$2
folder=$3
length=$4
shift 4
pids=""
for seed in "$@"; do
    "$(dirname "$0")/run.sh" "$product" "$soak" "$seed" "$length" "$folder/$seed" &
    pids="$pids $!"
done
status=0
for pid in $pids; do
    wait "$pid" || status=1
done
for seed in "$@"; do
    grep "check: " "$folder/$seed/record.txt" | sed "s/^ */seed $seed: /"
done
exit "$status"
