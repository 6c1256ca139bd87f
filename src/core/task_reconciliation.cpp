#include <algorithm>

#include "core/task_commitments.h"
#include "core/task_messages.h"
#include "core/task_owner.h"

namespace bramleygrade {

namespace {

/// A worker gets no task for this long after a failed start; doubles with each consecutive failure.
constexpr microseconds initialStartBackoff = second;
constexpr int maxStartBackoffDoublings = 6;

void recordStartFailure(worker_view &worker, timestamp now)
{
    const int doublings = std::min(worker.consecutiveStartFailures, maxStartBackoffDoublings);
    worker.startBackoffUntil = now + (initialStartBackoff << doublings);
    ++worker.consecutiveStartFailures;
}

void handleStartResult(entry_state &state, worker_view &worker, const std::string &key,
                       const worker_result &result, step_context &context)
{
    const auto found = worker.tasks.find(key);
    if (found == worker.tasks.end()) {
        return;
    }
    if (result.accepted) {
        worker.consecutiveStartFailures = 0;
        found->second.isConfirmed = true;
        found->second.confirmedAt = context.now;
        reportTask(state, worker, found->second, placement_result::running, context);
        return;
    }
    const bool isAnswerLost = result.reached && result.seen == nullptr;
    if (isAnswerLost) {
        worker.nextPollAt = context.now; // The next report shows whether the task runs.
        return;
    }
    recordStartFailure(worker, context.now);
    endTask(state, worker, key, placement_result::refused, context);
}

/// Commits the resources of a running task that a former owner of the shard started.
void adoptTask(entry_state &state, worker_view &worker, const worker_task &seen,
               const std::string &key, step_context &context)
{
    task_commitment commitment;
    commitment.committed = {seen.cpu_millis, seen.memory_mb, seen.accelerators};
    commitment.job = seen.job;
    commitment.task = seen.task;
    commitment.incarnation = seen.incarnation;
    commitment.service = seen.service;
    commitment.isCheckpointable = seen.checkpointable;
    commitment.isConfirmed = true;
    commitment.confirmedAt = context.now;
    commitResources(worker, key, std::move(commitment));
    reportTask(state, worker, worker.tasks.at(key), placement_result::running, context);
}

placement_result resultOf(task_phase phase)
{
    switch (phase) {
    case task_phase::running:
        return placement_result::running;
    case task_phase::finished:
        return placement_result::finished;
    case task_phase::failed:
        return placement_result::failed;
    case task_phase::stopped:
        return placement_result::stopped;
    case task_phase::checkpointed:
        return placement_result::checkpointed;
    }
    return placement_result::failed;
}

void reconcileReportedTask(entry_state &state, worker_view &worker, const worker_task &seen,
                           step_context &context)
{
    const std::string key = taskKeyOf(seen.job, seen.task, seen.incarnation);
    const auto known = worker.tasks.find(key);
    if (seen.phase == task_phase::running) {
        if (known == worker.tasks.end()) {
            adoptTask(state, worker, seen, key, context);
            return;
        }
        task_commitment &task = known->second;
        const bool isNewlyConfirmed = !task.isConfirmed;
        task.isConfirmed = true;
        task.confirmedAt = isNewlyConfirmed ? context.now : task.confirmedAt;
        task.usedCpuMillis = seen.used_cpu_millis;
        task.usedMemoryMb = seen.used_memory_mb;
        const bool hasUsageChanged = task.reportedCpuMillis != seen.used_cpu_millis;
        constexpr microseconds usageInterval = 30 * second;
        constexpr microseconds reminderInterval = 300 * second;
        const microseconds interval = hasUsageChanged ? usageInterval : reminderInterval;
        if (isNewlyConfirmed || context.now - task.reportedAt > interval) {
            task.reportedCpuMillis = seen.used_cpu_millis;
            reportTask(state, worker, task, placement_result::running, context);
        }
        return;
    }
    // An ended task is reported until the home has stored its end and orders the worker to forget
    // it.
    if (known != worker.tasks.end()) {
        endTask(state, worker, key, resultOf(seen.phase), context);
        return;
    }
    task_commitment ended;
    ended.job = seen.job;
    ended.task = seen.task;
    ended.incarnation = seen.incarnation;
    ended.service = seen.service;
    reportTask(state, worker, ended, resultOf(seen.phase), context);
}

/// Ends commitments for tasks that the worker does not list: the tasks were never started, or were
/// lost when the worker restarted.
void endUnlistedTasks(entry_state &state, worker_view &worker, const worker_result &result,
                      step_context &context)
{
    std::vector<std::string> unlisted;
    for (const auto &[key, task] : worker.tasks) {
        const bool isListed = std::any_of(
            result.seen->tasks.begin(), result.seen->tasks.end(), [&key = key](const auto &seen) {
                return taskKeyOf(seen->job, seen->task, seen->incarnation) == key;
            });
        const timestamp settledAt =
            task.isConfirmed ? task.confirmedAt : task.startBy + 2 * clockOffsetBound;
        if (!isListed && !task.isHeld && result.asked_at > settledAt) {
            unlisted.push_back(key);
        }
    }
    for (const std::string &key : unlisted) {
        endTask(state, worker, key, placement_result::absent, context);
    }
}

} // namespace

void handleTaskCallResult(entry_state &state, worker_view &worker, const worker_result &result,
                          step_context &context)
{
    if (result.order == nullptr) {
        return;
    }
    const task_order &order = *result.order;
    const std::string key = taskKeyOf(order.job, order.task, order.incarnation);
    if (result.kind == worker_call_kind::start) {
        // A worker that has restarted may reach the known version with this start.
        worker.reportVersion = 0;
        handleStartResult(state, worker, key, result, context);
    } else if (result.accepted && result.kind == worker_call_kind::forget) {
        worker.endedTaskKeys.erase(key);
    } else if (result.accepted) {
        worker.nextPollAt = context.now; // The next report shows the end of the task.
        if (result.seen != nullptr && result.asked_at >= worker.lastReportRequestedAt) {
            worker.lastReportRequestedAt = result.asked_at;
            reconcileTasks(state, worker, result, context);
        }
    }
}

void reconcileTasks(entry_state &state, worker_view &worker, const worker_result &result,
                    step_context &context)
{
    if (result.seen->is_unchanged) {
        return;
    }
    worker.reportVersion = result.seen->version;
    worker.endedTaskKeys.clear();
    for (const auto &seen : result.seen->tasks) {
        if (seen->phase != task_phase::running) {
            worker.endedTaskKeys.insert(taskKeyOf(seen->job, seen->task, seen->incarnation));
        }
    }
    // Ended tasks come first, so that the resources they free are available to adopted tasks.
    for (const bool isRunning : {false, true}) {
        for (const auto &seen : result.seen->tasks) {
            if ((seen->phase == task_phase::running) == isRunning) {
                reconcileReportedTask(state, worker, *seen, context);
            }
        }
    }
    endUnlistedTasks(state, worker, result, context);
}

void expireTasks(entry_state &state, step_context &context)
{
    for (auto item = state.endedPlacements.begin(); item != state.endedPlacements.end();) {
        item = context.now >= item->second ? state.endedPlacements.erase(item) : std::next(item);
    }
    for (auto &[name, worker] : state.pool.workers) {
        const bool isUnreachable = areLeasesExpired(state, worker, context.now)
            && context.now - worker.lastReportRequestedAt > taskLeaseDuration;
        std::vector<std::string> ended;
        for (const auto &[key, task] : worker.tasks) {
            if (isUnreachable || (task.isHeld && context.now >= task.holdUntil)) {
                ended.push_back(key);
            }
        }
        for (const std::string &key : ended) {
            endTask(state, worker, key, placement_result::absent, context);
        }
    }
}

void endAllTasks(entry_state &state, worker_view &worker, step_context &context)
{
    while (!worker.tasks.empty()) {
        endTask(state, worker, worker.tasks.begin()->first, placement_result::absent, context);
    }
}

} // namespace bramleygrade
