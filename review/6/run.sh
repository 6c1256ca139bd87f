#!/usr/bin/env bash
# An entry of another writer in the list of workers, of a service with a long name.
# Exit code: 0 the rules held, 1 one was broken, 2 could not run. TROUBLE=0: the same without that
# entry.
case_folder=$(cd "$(dirname "$0")" && pwd)
entries=5
# shellcheck source=/dev/null
. "$case_folder/../standin-2/cell.sh"
bytes=0
if [ "${TROUBLE:-1}" != 0 ]; then
    bytes=${SERVICE_BYTES:-60000}
fi
run_scenario batch 1 500 "" "" "$bytes"
