#!/usr/bin/env bash
# Case 3: all entries are killed while over 500 runs end on a worker.
exec "$(dirname "$0")/../standin/run_case.sh" many-ends "$(cd "$(dirname "$0")" && pwd)/record.txt"
