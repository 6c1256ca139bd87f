#!/usr/bin/env bash
# Case 4: a worker is lost for good, and a gang that fitted before waits.
# TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../standin/run_case.sh" gang-without-room "$(cd "$(dirname "$0")" && pwd)/record.txt"
