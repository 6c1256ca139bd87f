#!/usr/bin/env bash
# A job of 1,000 overdue occurrences of two steps, of which the second one can never run.
# Exit code: 0 the rules held, 1 one was broken, 2 could not run. TROUBLE=0: the same without that
# job.
case_folder=$(cd "$(dirname "$0")" && pwd)
entries=5
# shellcheck source=/dev/null
. "$case_folder/../standin-2/cell.sh"
step=""
job=""
if [ "${TROUBLE:-1}" != 0 ]; then
    step='},{"count":1,"cpu":64000,"memMb":64,"estimateMs":500,"after":[0]'
    start=$((($(date +%s) - 60000) * 1000))
    job=",\"repeatCount\":${OCCURRENCES:-1000},\"intervalMs\":60000,\"startAtMs\":$start"
fi
run_scenario batch 8 500 "$step" "$job" 0 30
