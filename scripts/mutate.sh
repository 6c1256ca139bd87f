#!/usr/bin/env bash
# Shows that the tests can fail: breaks one rule of the core at a time, in a copy of the tree, and runs
# histories and units. Prints a line for each mutation; exit code 1 where one survives.
#
# mutate.sh [HISTORIES] [PATTERN]: how many histories each mutation gets (default 400, from seed 1), and
# which mutations, by name (default all).
set -u
cd "$(dirname "$0")/.."
count=${1:-400}
pattern=${2:-.}
copy=$(mktemp -d)
git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$copy"
cmake -S "$copy" -B "$copy/build" -G Ninja > /dev/null
survivors=0
units="authority_test request_home_test documents_test task_owner_test worker_pool_test cell_view_test"

mutate() { # NAME FILE FROM TO
    local name=$1 file=$copy/src/core/$2 from=$3 to=$4
    echo "$name" | grep -qE "$pattern" || return 0
    cp "$file" "$copy/original"
    FROM=$from TO=$to perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$file"
    if cmp -s "$file" "$copy/original"; then
        echo "$name: NOT APPLIED, mend the mutation"
        survivors=$((survivors + 1))
        return
    fi
    if ! cmake --build "$copy/build" --target histories $units > "$copy/log" 2>&1; then
        echo "$name: does not compile, mend the mutation"
        survivors=$((survivors + 1))
    else
        local part unit failed found per=$(((count + 7) / 8))
        for part in 0 1 2 3 4 5 6 7; do
            "$copy/build/histories" --first $((1 + part * per)) --count $per \
                > "$copy/out.$part" 2>&1 &
        done
        wait 2> /dev/null
        found=$(cat "$copy"/out.? | grep -cE '^seed|invariant broken')
        failed=""
        for unit in $units; do
            "$copy/build/$unit" > /dev/null 2>&1 || failed="$failed $unit"
        done
        if [ "$found" -gt 0 ]; then
            echo "$name: caught by histories ($found findings) and units (${failed:- none}): $(cat "$copy"/out.? \
                | grep -hE '^seed|invariant broken' | head -n 1 | cut -c 1-110)"
        elif [ -n "$failed" ]; then
            echo "$name: caught by units ($failed ), not by $count histories"
        else
            echo "$name: SURVIVED $count histories and the units"
            survivors=$((survivors + 1))
        fi
    fi
    cp "$copy/original" "$file"
}

mutate "a claimant does not wait" authority.cpp \
    'mustWait ? now + lengthenedByClockError(leaseDuration)' \
    '(mustWait && now < 0) ? now'
mutate "promises are given while a claim is unsettled" authority.cpp \
    'found->second.unsettledClaims > 0 || ' ''
mutate "orders to start have no limit in time" task_owner.cpp \
    'order.start_by = commitment.startBy;' 'order.start_by = commitment.startBy + 60 * second;'
mutate "a home vouches for every id" request_home.cpp \
    'issued <= authorityStart + futureTolerance + clockOffsetBound' 'issued + 1000 * second <= authorityStart'
mutate "repeats do not find the first attempt" request_home.cpp \
    'if (known != state.remembered.end()) {' 'if (known != state.remembered.end() && now < 0) {'
mutate "repeated forwards are not dropped" request_admission.cpp \
    'if (context.now >= eraseAt || !flow.taken.insert(key).second) {' \
    'flow.taken.insert(key); if (context.now >= eraseAt) {'
mutate "not run is said after a lost attempt" request_answers.cpp \
    'outcome.outcome = outcome::may_have_run;' 'outcome.outcome = outcome::not_run;'
mutate "stale documents are used" documents.cpp \
    'return state.isLoaded && now < state.freshUntil;' 'return state.isLoaded && now != 0;'
mutate "a partial reading is taken for the whole" documents.cpp \
    'if (!isComplete && !coversChanges(state, head, rows)) {' \
    'if (!isComplete && !coversChanges(state, head, rows) && askedAt < 0) {'
mutate "leaving workers get work" worker_pool.cpp \
    'return worker.hasReportedLeaving || worker.info.state == instance_state::leaving;' \
    'return worker.hasReportedLeaving && worker.info.slots < 0;'
mutate "a new owner commits before it has asked the workers" worker_pool.cpp \
    'return worker.lastReportRequestedAt >= since + clockOffsetBound;' 'return since != 0 || worker.lastReportRequestedAt > 0;'
mutate "ended placements are forgotten" task_owner.cpp \
    '&& state.endedPlacements.count(key) == 0' ''
mutate "a new home does not ask what runs" job_home.cpp \
    'home.unansweredRacks = state.cell.listedRacks;' 'home.phase = home_phase::ready; return;'
mutate "a drain does not wait for requests" decision_core.cpp \
    '&& state.requests.requests.empty() && state.requests.attempts.empty();' ';'
rm -rf "$copy"
exit $((survivors > 0))
