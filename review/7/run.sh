#!/usr/bin/env bash
# A job of 100,000 occurrences of eight tasks that are all due at one moment, some seconds after its
# acceptance.
# Exit code: 0 the rules held, 1 one was broken, 2 could not run. TROUBLE=0: the same without that
# job.
case_folder=$(cd "$(dirname "$0")" && pwd)
entries=5
# shellcheck source=/dev/null
. "$case_folder/../standin-2/cell.sh"
step=""
job=""
if [ "${TROUBLE:-1}" != 0 ]; then
    due=$((($(date +%s) + 10) * 1000))
    job=",\"repeatCount\":${OCCURRENCES:-100000},\"startAtMs\":$due"
fi
run_scenario batch 8 500 "$step" "$job"
