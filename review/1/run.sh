#!/usr/bin/env bash
# Case 1: a worker that drains is cut off and runs on.
# TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../standin/run_case.sh" drain-and-cut "$(cd "$(dirname "$0")" && pwd)/record.txt"
