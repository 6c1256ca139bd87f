#!/usr/bin/env bash
# Case 2: a job is cancelled while one of its workers is cut off.
# TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../standin/run_case.sh" cancel-and-cut "$(cd "$(dirname "$0")" && pwd)/record.txt"
