#include "cell/workers/worker_state.h"

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
    return worker.life.clock + (now - worker.life.clockReadAt);
}

bool isClockOfOtherLife(const worker_life &life, std::int64_t clock, timestamp readAt)
{
    if (clock == 0 || life.clockReadAt == distantPast) {
        return false;
    }
    const lease_limits limits;
    const auto elapsed = static_cast<double>(readAt - life.clockReadAt);
    const double rateError = elapsed < 0 ? limits.clockRateError : -limits.clockRateError;
    const std::int64_t earliest = life.clock
        + static_cast<std::int64_t>(elapsed * (1.0 + rateError)) - limits.clockReadingMargin;
    return clock < (elapsed < 0 ? earliest : std::max(earliest, life.clock));
}

timestamp latestLeaseExpiry(const lease_limits &limits, timestamp grantedFrom)
{
    const double longestLocalDuration =
        static_cast<double>(limits.longest) * (1.0 + 1.5 * limits.clockRateError);
    return grantedFrom + static_cast<microseconds>(longestLocalDuration)
        + limits.clockReadingMargin;
}

timestamp strayLeaseExpiry(const lease_limits &limits, timestamp carriedOutBy)
{
    lease_limits longest = limits;
    longest.longest = limits.workerLimit;
    return latestLeaseExpiry(longest, carriedOutBy);
}

bool areDifferentLives(std::int64_t oneBorn, std::int64_t otherBorn)
{
    return oneBorn != 0 && otherBorn != 0 && oneBorn != otherBorn;
}

bool describesOtherLife(const worker_entry &entry, const worker_life &life)
{
    return areDifferentLives(entry.born, life.born);
}

bool isUsable(const worker_state &worker, timestamp now)
{
    return worker.listed && worker.recorded && worker.life.fenced && !worker.entry.draining
        && !describesOtherLife(worker.entry, worker.life) && !worker.life.needsFence
        && worker.life.unansweredPolls == 0 && worker.life.unexpectedRuns == 0
        && now >= worker.life.avoidedUntil && now >= worker.life.fullUntil;
}

resources freeCapacity(const worker_state &worker)
{
    return worker.entry.capacity - worker.life.used;
}

void addRun(worker_state &worker, const task_id &task, const step_spec &step)
{
    if (!worker.life.runs.insert(task).second) {
        return;
    }
    worker.life.used = worker.life.used + reservedDemand(step);
    if (step.longRunning) {
        worker.life.usedByLasting = worker.life.usedByLasting + reservedDemand(step);
    }
}

void removeRun(worker_state &worker, const task_id &task, const step_spec &step)
{
    if (worker.life.runs.erase(task) == 0) {
        return;
    }
    worker.life.used = worker.life.used - reservedDemand(step);
    if (step.longRunning) {
        worker.life.usedByLasting = worker.life.usedByLasting - reservedDemand(step);
    }
}

void recordOutcome(worker_state &worker, bool succeeded, timestamp now)
{
    if (succeeded) {
        worker.life.failureScore *= successDecay;
        return;
    }
    worker.life.failureScore = std::min(worker.life.failureScore + 1.0, maxFailureScore);
    if (worker.life.failureScore >= avoidanceThreshold) {
        worker.life.avoidedUntil = now + avoidanceDuration;
    }
}

void recordCapacityRefusal(worker_state &worker, timestamp now)
{
    if (now < worker.life.fullUntil) {
        return; // another start of the same round
    }
    worker.life.fullUntil =
        now + (capacityRefusalPause << std::min(worker.life.capacityRefusals, maxPauseDoublings));
    ++worker.life.capacityRefusals;
}

bool runsAtListedAddress(const worker_state &worker)
{
    return worker.life.address == worker.entry.address;
}

void changeEntry(worker_state &worker, const worker_entry &entry, timestamp now)
{
    if (worker.entry.address != entry.address) {
        worker.addressSince = now;
    }
    if (!(worker.entry.capacity == entry.capacity)) {
        worker.life.capacityRefusals = 0;
        worker.life.fullUntil = distantPast;
    }
    if (!worker.life.reconciled) {
        resources &largest = worker.life.largestCapacity;
        largest = {std::max(largest.cpuMilli, entry.capacity.cpuMilli),
                   std::max(largest.memoryMb, entry.capacity.memoryMb),
                   std::max(largest.accelerators, entry.capacity.accelerators)};
    }
    worker.entry = entry;
}

void acknowledgeStored(worker_state &worker, std::uint64_t stored)
{
    while (!worker.life.unstoredEnds.empty()
           && worker.life.unstoredEnds.begin()->second <= stored) {
        worker.life.acknowledgedEnd = worker.life.unstoredEnds.begin()->first;
        worker.life.unstoredEnds.erase(worker.life.unstoredEnds.begin());
    }
}

} // namespace bramleygrade::cell
