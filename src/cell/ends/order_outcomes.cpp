#include <algorithm>

#include "cell/ends/crashes.h"
#include "cell/interference/scheduler_interference.h"
#include "cell/workers/worker_lives.h"

namespace bramleygrade::cell {

namespace {

/// Time without new tasks for a worker that refused a start; equals the registry lag in the users'
/// rules.
constexpr microseconds refusalPause = 800 * millisecond;

/// Logs a start that another life of the worker has carried out, or may carry out.
void logDoubtfulStart(const worker_state &worker, const task_state &task, const start_order &order,
                      order_outcome outcome, std::int64_t workerClock, orders &out)
{
    const bool isOfOtherLife = isClockOfOtherLife(worker.life, workerClock, task.startedAt);
    if (outcome != order_outcome::unanswered && !isOfOtherLife) {
        return;
    }
    out.events.push_back(
        {isOfOtherLife ? "start_answered_by_other_life" : "start_unanswered", order.task.job,
         "worker=" + order.worker + " attempt=" + std::to_string(order.attempt) + " token="
             + std::to_string(order.fencingToken) + " born=" + std::to_string(worker.life.born)
             + " listed_born=" + std::to_string(worker.entry.born)
             + " clock_ms=" + std::to_string(workerClock / millisecond)
             + " known_clock_ms=" + std::to_string(worker.life.clock / millisecond)});
}

/// Applies a start that the worker has refused, and releases its run.
void applyRefusal(scheduler &cell, worker_state &worker, job_state &job, task_state &task,
                  const start_order &order, order_outcome outcome, timestamp now, orders &out)
{
    ++cell.counters.refusedStarts;
    out.events.push_back(
        {"start_refused", order.task.job,
         "worker=" + order.worker + " outcome=" + std::to_string(static_cast<int>(outcome))});
    if (outcome == order_outcome::refused_incarnation) {
        onOtherIncarnation(cell, worker, now, out);
        if (task.phase == run_phase::none) {
            return; // released with all runs of the worker
        }
    }
    step_state &step = ensureOccurrence(job, order.task.occurrence)
                           .steps[static_cast<std::size_t>(order.task.step)];
    if (outcome == order_outcome::refused_ticket) {
        step.advice[order.worker].validUntil = distantPast;
    } else if (outcome == order_outcome::refused_stale) {
        task.endedAttempt = std::max(task.endedAttempt, order.attempt);
        task.endReportedAt = now;
        step.gangBroken = step.gangBroken || step.gangAttempt == order.attempt;
    } else if (outcome == order_outcome::refused_fence) {
        if (order.fencingToken == fencingToken(cell, worker)) {
            out.events.push_back({"superseded", "", "worker=" + order.worker});
        }
    } else if (outcome == order_outcome::refused_capacity) {
        recordCapacityRefusal(worker, now);
        worker.life.nextPollAt = std::min(worker.life.nextPollAt, now);
    } else {
        worker.life.avoidedUntil = now + refusalPause;
        worker.life.nextPollAt = std::min(worker.life.nextPollAt, now);
    }
    releaseRun(cell, order.task, job, task);
}

} // namespace

void onStopOutcome(scheduler &cell, const stop_order &order, order_outcome outcome, timestamp now)
{
    job_state *job = findJob(cell, order.task.job);
    task_state *task = job == nullptr ? nullptr : findTask(*job, order.task);
    if (task == nullptr || task->phase != run_phase::stopping || task->worker != order.worker
        || task->attempt != order.attempt) {
        return;
    }
    if (outcome == order_outcome::accepted && task->confirmedAt == distantPast) {
        task->confirmedAt = now;
        // A later life knows of no stop, and may carry the start out.
        task->strayStartAt = std::max(task->strayStartAt, now);
    }
}

bool isAwaited(scheduler &cell, const start_order &order)
{
    job_state *job = findJob(cell, order.task.job);
    const task_state *task = job == nullptr ? nullptr : findTask(*job, order.task);
    const auto worker = cell.workers.find(order.worker);
    return task != nullptr && worker != cell.workers.end() && task->worker == order.worker
        && task->attempt == order.attempt && task->phase == run_phase::starting
        && order.life == worker->second.life.number && !mayCarryOutFormerOrders(worker->second.life)
        && !describesOtherLife(worker->second.entry, worker->second.life);
}

void onStartOutcome(scheduler &cell, const start_order &order, order_outcome outcome, timestamp now,
                    orders &out, std::int64_t workerClock)
{
    job_state *job = findJob(cell, order.task.job);
    task_state *task = job == nullptr ? nullptr : findTask(*job, order.task);
    const auto worker = cell.workers.find(order.worker);
    if (task != nullptr && worker != cell.workers.end()) {
        logDoubtfulStart(worker->second, *task, order, outcome, workerClock, out);
    }
    if (job != nullptr && outcome == order_outcome::accepted) {
        noteBegin(*job);
    }
    const bool isCurrent = task != nullptr && worker != cell.workers.end()
        && task->worker == order.worker && task->attempt == order.attempt
        && task->phase != run_phase::none;
    const bool isOfOtherLife =
        isCurrent && isClockOfOtherLife(worker->second.life, workerClock, task->startedAt);
    if (isCurrent && (outcome == order_outcome::unanswered || isOfOtherLife)) {
        task->strayStartAt = now;
    }
    if (worker != cell.workers.end() && outcome == order_outcome::unanswered) {
        worker->second.life.unansweredAt = now;
    }
    if (!isCurrent || order.life != worker->second.life.number) {
        if (job != nullptr) {
            recordBegin(cell, *job); // the run has ended or is lost
        }
        return;
    }
    if (isOfOtherLife) {
        noteRestart(cell, worker->second, now);
    }
    if (outcome == order_outcome::accepted && isOfOtherLife) {
        task->phase = task->phase == run_phase::starting ? run_phase::unconfirmed : task->phase;
        return;
    }
    if (outcome == order_outcome::accepted) {
        worker->second.life.capacityRefusals = 0;
        if (task->phase == run_phase::starting) {
            task->phase = run_phase::running;
        }
        task->confirmedAt = now;
        task->progressAt = now;
        if (!mayCarryOutFormerOrders(worker->second.life)) {
            task->strayStartAt = distantPast; // the known life has the run
        }
        recordAlive(cell, worker->second, task->startedAt);
        noteRunConfirmed(cell, worker->second, order.task);
        return;
    }
    if (outcome == order_outcome::unanswered) {
        ++cell.counters.unansweredOrders;
        task->phase = task->phase == run_phase::starting ? run_phase::unconfirmed : task->phase;
        worker->second.life.needsFence = true;
        return;
    }
    if (task->phase == run_phase::running) {
        return; // a report has confirmed the run in the meantime
    }
    applyRefusal(cell, worker->second, *job, *task, order, outcome, now, out);
}

} // namespace bramleygrade::cell
