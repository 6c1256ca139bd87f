#include "cell/worker_state.h"

#include <algorithm>

namespace bramleygrade::cell {

namespace {

/// Failure score from which a worker gets no new tasks: three failures in a row.
constexpr double avoidanceThreshold = 3.0;
constexpr double maxFailureScore = 4.0;
/// Factor applied to the failure score by each success.
constexpr double successDecay = 0.25;
/// Time without new tasks for a worker with repeated failures; equals the contact time in
/// the users' rules.
constexpr microseconds avoidanceDuration = 3 * second;
/// Pause after the first start that a worker refused for lack of capacity; equals the registry lag
/// in the users' rules. It doubles up to the given number of times.
constexpr microseconds capacityRefusalPause = 800 * millisecond;
constexpr int maxPauseDoublings = 2;

} // namespace

std::int64_t workerClock(const worker_state &worker, timestamp now)
{
    return worker.clock + (now - worker.clockReadAt);
}

timestamp latestLeaseExpiry(const lease_limits &limits, timestamp grantedFrom)
{
    const double longestLocalDuration =
        static_cast<double>(limits.longest) * (1.0 + 1.5 * limits.clockRateError);
    return grantedFrom + static_cast<microseconds>(longestLocalDuration)
        + limits.clockReadingMargin;
}

bool isUsable(const worker_state &worker, timestamp now)
{
    return worker.listed && worker.recorded && worker.fenced && !worker.entry.draining
        && !worker.needsFence && worker.unansweredPolls == 0 && worker.unexpectedRuns == 0
        && now >= worker.avoidedUntil && now >= worker.fullUntil;
}

resources freeCapacity(const worker_state &worker)
{
    return worker.entry.capacity - worker.used;
}

void addRun(worker_state &worker, const task_id &task, const resources &demand)
{
    if (worker.runs.insert(task).second) {
        worker.used = worker.used + demand;
    }
}

void removeRun(worker_state &worker, const task_id &task, const resources &demand)
{
    if (worker.runs.erase(task) > 0) {
        worker.used = worker.used - demand;
    }
}

void recordOutcome(worker_state &worker, bool succeeded, timestamp now)
{
    if (succeeded) {
        worker.failureScore *= successDecay;
        return;
    }
    worker.failureScore = std::min(worker.failureScore + 1.0, maxFailureScore);
    if (worker.failureScore >= avoidanceThreshold) {
        worker.avoidedUntil = now + avoidanceDuration;
    }
}

void recordCapacityRefusal(worker_state &worker, timestamp now)
{
    if (now < worker.fullUntil) {
        return; // another start of the same round
    }
    worker.fullUntil =
        now + (capacityRefusalPause << std::min(worker.capacityRefusals, maxPauseDoublings));
    ++worker.capacityRefusals;
}

void changeEntry(worker_state &worker, const worker_entry &entry)
{
    if (!(worker.entry.capacity == entry.capacity)) {
        worker.capacityRefusals = 0;
        worker.fullUntil = distantPast;
    }
    worker.entry = entry;
}

void acknowledgeStored(worker_state &worker, std::uint64_t stored)
{
    while (!worker.unstoredEnds.empty() && worker.unstoredEnds.begin()->second <= stored) {
        worker.acknowledgedEnd = worker.unstoredEnds.begin()->first;
        worker.unstoredEnds.erase(worker.unstoredEnds.begin());
    }
}

} // namespace bramleygrade::cell
