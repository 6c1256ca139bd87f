#!/usr/bin/env bash
# Case 5: a worker is lost for good, and jobs that wait are not counted as pending.
# TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../standin/run_case.sh" pending-after-loss "$(cd "$(dirname "$0")" && pwd)/record.txt"
