#include <algorithm>
#include <optional>

#include "cell/ends/crashes.h"
#include "cell/interference/scheduler_interference.h"
#include "cell/workers/worker_list.h"

namespace bramleygrade::cell {

namespace {

/// A lease on which runs depend is renewed at least this often before it ends, so that runs survive
/// when the worker is silent for a while.
constexpr int renewalsPerLease = 5;
/// Polls under way, at most, of workers that have never answered, beside the first poll of each,
/// and the pause of those that must wait for their turn.
constexpr std::size_t maxOpenProbes = 64;
constexpr microseconds probeRetryInterval = 250 * millisecond;
/// Duration of a long poll of a worker whose newest starts may still crash it.
constexpr microseconds openStartPollWait = 200 * millisecond;

/// Returns how long the worker may hold a poll.
microseconds pollWaitOf(const scheduler &cell, const worker_state &worker, timestamp now)
{
    microseconds wait = cell.settings.pollWait;
    if (!worker.life.runs.empty()) {
        wait = std::min(wait, cell.settings.lease.longest / renewalsPerLease);
    }
    return hasOpenStarts(cell, worker, now) ? std::min(wait, openStartPollWait) : wait;
}

/// Returns the acknowledgement that the next poll carries. The worker may have restarted since its
/// newest answer and use the same numbers again, so that nothing is acknowledged twice, nor after a
/// poll without an answer.
std::int64_t nextAcknowledgement(const worker_life &life)
{
    return life.unansweredPolls == 0 && life.acknowledgedEnd > life.deliveredAcknowledgement
        ? life.acknowledgedEnd
        : 0;
}

void orderPoll(scheduler &cell, worker_state &worker, timestamp now, bool fence, orders &out)
{
    poll_order poll;
    poll.worker = worker.entry.id;
    poll.fencingToken = fencingToken(cell, worker);
    poll.acknowledgedEnd = nextAcknowledgement(worker.life);
    poll.connectedBefore = poll.acknowledgedEnd == 0 ? distantFuture : worker.life.askedAt;
    poll.fence = fence;
    poll.life = worker.life.number;
    // Leases are not renewed while polls go unanswered, so that they expire and the runs can be
    // restarted elsewhere.
    if (worker.life.clock != 0 && worker.life.unansweredPolls == 0) {
        poll.leaseUntil = grantLease(cell, worker, now);
    }
    // Neither a fence nor the first poll may wait, and a worker with unacknowledged ends answers at
    // once anyway.
    if (!fence && worker.life.fenced && worker.life.unansweredPolls == 0
        && worker.life.unstoredEnds.empty()) {
        poll.wait = pollWaitOf(cell, worker, now);
    }
    (fence ? worker.life.fenceInFlight : worker.life.pollInFlight) = true;
    out.polls.push_back(poll);
}

/// Whether the worker has never answered, and has been polled without an answer.
bool isProbed(const worker_state &worker)
{
    return !worker.listRow && worker.life.unansweredPolls > 0;
}

std::size_t countOpenProbes(const scheduler &cell)
{
    return static_cast<std::size_t>(
        std::count_if(cell.workers.begin(), cell.workers.end(), [](const auto &entry) {
            return isProbed(entry.second) && entry.second.life.pollInFlight;
        }));
}

void pollWorkers(scheduler &cell, timestamp now, orders &out)
{
    cell.awaitsProof = false;
    std::optional<std::size_t> openProbes; // counted when needed
    for (auto it = cell.workers.begin(); it != cell.workers.end();) {
        worker_state &worker = it->second;
        const bool noPollInFlight = !worker.life.pollInFlight && !worker.life.fenceInFlight;
        endForeignLeases(cell, worker, now);
        const bool mayHaveRuns = !worker.life.runs.empty() || !worker.life.reconciled;
        // Neither a refused connection nor a missing registry entry proves that the worker has
        // left: it may be cut off and run on, also while it drains.
        if (worker.life.unansweredPolls > 0 && mayHaveRuns) {
            releaseExpiredRuns(cell, worker, now, out);
        }
        if (noPollInFlight && !worker.listed && worker.life.runs.empty() && worker.life.reconciled
            && !mayHaveCrashed(worker, now)
            && !(cell.teams.hasCaps && mayHoldUnknownRuns(worker, now))) {
            removeFromList(cell, worker);
            it = cell.workers.erase(it);
            continue;
        }
        if (worker.life.needsFence && !worker.life.fenceInFlight
            && (worker.life.unansweredPolls == 0 || now >= worker.life.nextPollAt)) {
            worker.life.fenceNumber = ++cell.fencesIssued;
            orderPoll(cell, worker, now, true, out);
        } else if (noPollInFlight && now >= worker.life.nextPollAt) {
            if (isProbed(worker) && !openProbes) {
                openProbes = countOpenProbes(cell);
            }
            if (isProbed(worker) && *openProbes >= maxOpenProbes) {
                worker.life.nextPollAt = now + probeRetryInterval;
            } else {
                openProbes = isProbed(worker) ? *openProbes + 1 : openProbes;
                orderPoll(cell, worker, now, false, out);
            }
        }
        ++it;
    }
}

} // namespace

void decide(scheduler &cell, timestamp now, orders &out)
{
    pollWorkers(cell, now, out);
    checkRuns(cell, now, out);
    evaluateInterference(cell, now, out);
    placeWaiting(cell, now, out);
}

timestamp nextDeadline(const scheduler &cell)
{
    timestamp next = cell.nextCheckAt;
    for (const auto &[id, worker] : cell.workers) {
        if (!worker.life.pollInFlight && !worker.life.fenceInFlight) {
            next = std::min(next, worker.life.nextPollAt);
        }
    }
    return next;
}

} // namespace bramleygrade::cell
