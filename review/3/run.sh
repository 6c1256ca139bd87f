#!/usr/bin/env bash
# Case 3: all entries are killed while over 500 runs end on a worker.
# TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../standin/run_case.sh" many-ends "$(cd "$(dirname "$0")" && pwd)/record.txt"
