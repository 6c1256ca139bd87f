#!/usr/bin/env bash
# Shows that the histories can fail: breaks one rule of the core at a time, in a copy of the tree, and
# runs histories until one is broken. Prints a line for each mutation; exit code 1 where one survives.
#
# mutate.sh [HISTORIES]: how many histories each mutation gets (default 400, from seed 1).
set -u
cd "$(dirname "$0")/.."
count=${1:-400}
copy=$(mktemp -d)
git ls-files -z | xargs -0 cp --parents -t "$copy"
cmake -S "$copy" -B "$copy/build" -G Ninja > /dev/null
survivors=0

mutate() { # NAME FILE FROM TO
    local name=$1 file=$copy/src/core/$2 from=$3 to=$4
    cp "$file" "$copy/original"
    FROM=$from TO=$to perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$file"
    if cmp -s "$file" "$copy/original"; then
        echo "$name: NOT APPLIED, mend the mutation"
        survivors=$((survivors + 1))
        return
    fi
    if ! cmake --build "$copy/build" --target histories > "$copy/log" 2>&1; then
        echo "$name: does not compile, mend the mutation"
        survivors=$((survivors + 1))
    else
        local part per=$(((count + 7) / 8)) found
        for part in 0 1 2 3 4 5 6 7; do
            "$copy/build/histories" --first $((1 + part * per)) --count $per \
                > "$copy/out.$part" 2>&1 &
        done
        wait
        found=$(cat "$copy"/out.? | grep -cE '^seed|invariant broken')
        if [ "$found" -gt 0 ]; then
            echo "$name: caught, $found findings, as: $(cat "$copy"/out.? \
                | grep -hE '^seed|invariant broken' | head -n 1 | cut -c 1-110)"
        else
            echo "$name: SURVIVED $count histories"
            survivors=$((survivors + 1))
        fi
    fi
    cp "$copy/original" "$file"
}

mutate "a claimant does not wait" authority.cpp \
    'mustWait ? now + lengthenedByClockError(authoritySpan) : now' 'now'
mutate "promises are given while a claim is unsettled" authority.cpp \
    'found->second.unsettledClaims > 0 || ' ''
mutate "authority is not checked before a request leaves" request_routing.cpp \
    '    timestamp limit = std::min({request.startBy' \
    '    (void)self; return now + 30 * second; timestamp limit = std::min({request.startBy'
mutate "a home vouches for every id" request_home.cpp \
    'issued <= vouchFrom + futureTolerance + clockOffsetBound' 'issued < 0'
mutate "repeats do not find the first attempt" request_home.cpp \
    'if (known != state.remembered.end()) {' 'if (known != state.remembered.end() && now < 0) {'
mutate "repeated forwards are not dropped" requests.cpp \
    'if (context.now >= forgetAt || !flow.taken.insert(key).second) {' \
    'flow.taken.insert(key); if (context.now >= forgetAt) {'
mutate "not run is said after a lost attempt" request_answers.cpp \
    'outcome.outcome = outcome::may_have_run;' 'outcome.outcome = outcome::not_run;'
mutate "stale documents are used" documents.cpp \
    'return state.isLoaded && now < state.freshUntil;' 'return state.isLoaded;'
mutate "a partial reading is taken for the whole" documents.cpp \
    'if (!isComplete && !coversChanges(state, head, rows)) {' 'if (false) {'
mutate "leaving workers get work" worker_pool.cpp \
    'return worker.saysLeaving || worker.info.state == instance_state::leaving;' \
    'return worker.saysLeaving \&\& worker.info.slots < 0;'
mutate "a new owner commits before it has asked the workers" worker_pool.cpp \
    'return worker.seenAt >= since + clockOffsetBound;' 'return since != 0 || worker.seenAt > 0;'
mutate "ended placements are forgotten" task_owner.cpp \
    'state.endedPlacements[key] = startBy;' '(void)key;'
mutate "a new home does not ask what runs" job_home.cpp \
    'home.missing = state.cell.listedRacks;' 'home.phase = home_phase::ready; return;'
mutate "a drain does not wait for requests" decision_core.cpp \
    '&& state.requests.requests.empty() && state.requests.attempts.empty();' ';'
rm -rf "$copy"
exit $((survivors > 0))
