#include "cell/worker_state.h"

#include <algorithm>

namespace bramleygrade::cell {

namespace {

/// Failures in a row after which a worker is left alone for a while.
constexpr double avoidedScore = 3.0;
constexpr double highestScore = 4.0;
/// A quarter of the score is forgiven by each success.
constexpr double forgivenBySuccess = 0.25;
/// Time without new work for a worker that fails what it starts (the users' contact time).
constexpr microseconds avoidedFor = 3 * second;

} // namespace

std::int64_t workerClock(const worker_state &worker, timestamp now)
{
    return worker.clock + (now - worker.clock_read_at);
}

timestamp leaseOverBy(const lease_terms &terms, timestamp orderedAt)
{
    const double stretched =
        static_cast<double>(terms.longest) * (1.0 + 1.5 * terms.clock_rate_error);
    return orderedAt + static_cast<microseconds>(stretched) + terms.reading_slack;
}

bool isUsable(const worker_state &worker, timestamp now)
{
    return worker.listed && worker.recorded && worker.fenced && !worker.entry.draining
        && !worker.fence_wanted && worker.unanswered_looks == 0 && worker.strangers == 0
        && now >= worker.avoided_until;
}

resources freeRoom(const worker_state &worker)
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

void noteOutcome(worker_state &worker, bool succeeded, timestamp now)
{
    if (succeeded) {
        worker.failure_score *= forgivenBySuccess;
        return;
    }
    worker.failure_score = std::min(worker.failure_score + 1.0, highestScore);
    if (worker.failure_score >= avoidedScore) {
        worker.avoided_until = now + avoidedFor;
    }
}

void acknowledgeStored(worker_state &worker, std::uint64_t stored)
{
    while (!worker.unstored_ends.empty() && worker.unstored_ends.begin()->second <= stored) {
        worker.acknowledged_end = worker.unstored_ends.begin()->first;
        worker.unstored_ends.erase(worker.unstored_ends.begin());
    }
}

} // namespace bramleygrade::cell
