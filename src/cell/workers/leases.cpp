#include <algorithm>

#include "cell/ends/crashes.h"
#include "cell/interference/scheduler_interference.h"
#include "cell/workers/worker_list.h"
#include "cell/workers/worker_lives.h"

namespace bramleygrade::cell {

namespace {

/// As `predecessorLeaseExpiry`, for a worker of which another life may have carried out the orders
/// of an earlier scheduler.
timestamp strayPredecessorLeaseExpiry(const scheduler &cell)
{
    if (cell.predecessorsOverAt == distantFuture) {
        return distantFuture;
    }
    const lease_limits &limits = cell.settings.lease;
    return strayLeaseExpiry(limits, cell.predecessorsOverAt + limits.orderDelay)
        + cell.settings.predecessorGrace;
}

/// Returns the local time after which every lease has expired that an earlier scheduler granted to
/// the worker, which has not been fenced.
timestamp predecessorLeaseExpiryOf(const scheduler &cell, const worker_life &life)
{
    if (mayCarryOutFormerOrders(life)) {
        return strayPredecessorLeaseExpiry(cell);
    }
    return life.foreignLeaseEnd == distantPast ? predecessorLeaseExpiry(cell)
                                               : longestPredecessorLeaseExpiry(cell);
}

/// Returns the local time after which every lease on the worker has expired, but those of lives
/// that nothing has shown.
timestamp leaseExpiry(const scheduler &cell, const worker_life &life)
{
    return life.fenced ? life.leasesExpiredAt
                       : std::max(life.leasesExpiredAt, predecessorLeaseExpiryOf(cell, life));
}

/// Returns the local time after which the run cannot exist on the silent worker, whichever of its
/// lives has carried out the start, also one that nothing has shown. `distantFuture` if that is not
/// known yet.
timestamp runExpiry(const scheduler &cell, const worker_life &life, const task_state &task)
{
    const timestamp expiry = leaseExpiry(cell, life);
    const bool isStray = task.strayStartAt != distantPast;
    if (!isStray && task.confirmedAt != distantPast) {
        return expiry;
    }
    if (!isStray) {
        return distantFuture; // the outcome of the start order is yet to come
    }
    const lease_limits &limits = cell.settings.lease;
    const microseconds delay =
        mayCarryOutFormerOrders(life) ? limits.orderDelay : limits.unseenOrderDelay;
    const timestamp lastOrderAt = std::max(task.strayStartAt, life.unansweredAt);
    return std::max(expiry, strayLeaseExpiry(limits, lastOrderAt + delay));
}

/// Returns how long ago something was, in milliseconds; "-": never.
std::string formatAge(timestamp at, timestamp now)
{
    return at == distantPast ? "-" : std::to_string((now - at) / millisecond);
}

/// Logs a run that can no longer exist, and what was known of its start.
void logRunLost(const worker_state &worker, const task_id &id, const task_state &task,
                timestamp now, orders &out)
{
    out.events.push_back({"run_lost", id.job,
                          "task=" + formatTaskNumber(id) + " worker=" + worker.entry.id
                              + " attempt=" + std::to_string(task.attempt)
                              + " born=" + std::to_string(worker.life.born)
                              + " started_ms_ago=" + formatAge(task.startedAt, now)
                              + " confirmed_ms_ago=" + formatAge(task.confirmedAt, now)
                              + " unanswered_ms_ago=" + formatAge(task.strayStartAt, now)});
}

/// Releases runs that can no longer exist on the silent worker.
void releaseRuns(scheduler &cell, worker_state &worker, const std::set<task_id> &runs,
                 timestamp now, orders &out)
{
    for (const task_id &id : runs) {
        const auto [job, task] = breakGangOf(cell, id);
        if (task == nullptr) {
            continue;
        }
        logRunLost(worker, id, *task, now, out);
        worker.life.lostRuns[id] = suspectedRun(cell, *job, *task);
        const std::string trialLife = task->trialLife;
        releaseRun(cell, id, *job, *task);
        task->trialLife = trialLife; // the worker may have crashed
    }
    worker.life.reconciled = true;
    cell.needsPlacement = true;
    out.events.push_back({"worker_runs_lost", "",
                          "worker=" + worker.entry.id + " runs=" + std::to_string(runs.size())
                              + " held=" + std::to_string(worker.life.runs.size())
                              + " silent_ms=" + formatAge(worker.life.answeredAt, now)});
}

} // namespace

timestamp predecessorLeaseExpiry(const scheduler &cell)
{
    if (cell.predecessorsOverAt == distantFuture) {
        return distantFuture;
    }
    return latestLeaseExpiry(cell.settings.lease, cell.predecessorsOverAt)
        + cell.settings.predecessorGrace;
}

timestamp longestPredecessorLeaseExpiry(const scheduler &cell)
{
    if (cell.predecessorsOverAt == distantFuture) {
        return distantFuture;
    }
    return strayLeaseExpiry(cell.settings.lease, cell.predecessorsOverAt)
        + cell.settings.predecessorGrace;
}

void noteForeignLeases(scheduler &cell, worker_state &worker, timestamp end)
{
    worker.life.leasesExpiredAt = std::max(worker.life.leasesExpiredAt, end);
    worker.life.foreignLeaseEnd = end;
    if (worker.listRow) {
        recordChange(cell, workerRowChange(*worker.listRow), false);
    }
}

void endForeignLeases(scheduler &cell, worker_state &worker, timestamp now)
{
    if (worker.life.foreignLeaseEnd == distantPast || now <= worker.life.foreignLeaseEnd) {
        return;
    }
    worker.life.foreignLeaseEnd = distantPast;
    if (worker.listRow) {
        recordChange(cell, workerRowChange(*worker.listRow), false);
    }
}

std::int64_t grantLease(const scheduler &cell, worker_state &worker, timestamp now)
{
    const lease_limits &limits = cell.settings.lease;
    const timestamp grantedFrom = std::min(now, cell.confirmedAt);
    worker.life.leasesExpiredAt =
        std::max(worker.life.leasesExpiredAt, latestLeaseExpiry(limits, grantedFrom));
    return workerClock(worker, now) + limits.longest - (now - grantedFrom);
}

void releaseAllRuns(scheduler &cell, worker_state &worker, timestamp now, orders &out)
{
    releaseRuns(cell, worker, std::set<task_id>(worker.life.runs), now, out);
    worker.life.runs.clear();
    worker.life.used = {};
    worker.life.usedByLasting = {};
    clearPresence(worker.images);
}

void releaseExpiredRuns(scheduler &cell, worker_state &worker, timestamp now, orders &out)
{
    const auto isOver = [&](timestamp expiry) {
        // A successor may have renewed the leases unless the leadership was confirmed since.
        const bool isExpired = std::min(now, cell.confirmedAt) > expiry;
        const bool isProved = cell.noSuccessorAt > expiry;
        cell.awaitsProof = cell.awaitsProof || (isExpired && !isProved);
        return isExpired && isProved;
    };
    std::set<task_id> expired;
    for (const task_id &id : worker.life.runs) {
        job_state *job = findJob(cell, id.job);
        const task_state *task = job == nullptr ? nullptr : findTask(*job, id);
        if (isOver(task == nullptr ? leaseExpiry(cell, worker.life)
                                   : runExpiry(cell, worker.life, *task))) {
            expired.insert(id);
        }
    }
    const bool isReconciled = worker.life.reconciled || isOver(leaseExpiry(cell, worker.life));
    if (expired.empty() && isReconciled == worker.life.reconciled) {
        return;
    }
    ++cell.counters.lostWorkers;
    cell.hasUnknownCrash = cell.hasUnknownCrash || !worker.life.reconciled;
    if (expired.size() == worker.life.runs.size()) {
        releaseAllRuns(cell, worker, now, out);
    } else {
        releaseRuns(cell, worker, expired, now, out);
    }
}

} // namespace bramleygrade::cell
