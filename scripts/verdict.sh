#!/usr/bin/env bash
# Compares the outcomes reported to callers with the workers' ledgers: verdict.sh VERDICTS LEDGER.
# Checks that no id ran twice, that a request reported as "done" ran once and one reported as "not-run"
# did not run, that no task ran in two places at the same time, that no worker was committed beyond its
# resources, and that no leaving worker ran late requests. Exit code 1 if a check fails.
exec awk '
    FNR == NR { told[$1] = $2; next }
    $1 == "request" { ran[$2]++ }
    $1 == "worker" && $4 > 0 { print "overcommitted: " $2; bad++ }
    $1 == "worker" && $6 > 0 { print "work after leaving: " $2; bad++ }
    $1 == "task" {
        key = $2 "/" $3; n = ++runs[key]
        from[key, n] = $6; to[key, n] = $7 == 0 ? 9e18 : $7; on[key, n] = $5
    }
    END {
        for (id in ran) if (ran[id] > 1) { print "ran " ran[id] " times: " id; bad++ }
        for (id in told) {
            if (told[id] == "done" && ran[id] != 1) { print "done but ran " ran[id] + 0 ": " id; bad++ }
            if (told[id] == "not-run" && ran[id] > 0) { print "not run but ran: " id; bad++ }
            counts[told[id]]++
        }
        for (key in runs) for (i = 1; i <= runs[key]; i++) for (j = i + 1; j <= runs[key]; j++)
            if (from[key, i] < to[key, j] && from[key, j] < to[key, i]) {
                print "two places: " key " on " on[key, i] " and " on[key, j]; bad++
            }
        for (outcome in counts) printf "%s %d  ", outcome, counts[outcome]
        printf "violations %d\n", bad + 0
        exit bad > 0
    }' "$1" "$2"
