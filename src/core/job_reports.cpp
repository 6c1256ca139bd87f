#include <algorithm>

#include "core/job_home.h"
#include "core/job_placement.h"
#include "core/task_messages.h"
#include "core/usage_estimate.h"

namespace bramleygrade {

namespace {

/// The job fails once one of its tasks has failed this often.
constexpr int maxTaskFailures = 5;
constexpr microseconds initialRetryDelay = 200 * millisecond;
constexpr int maxRetryDoublings = 6;

job_task *findJobTask(entry_state &state, const std::string &service, const std::string &id,
                      int task)
{
    const auto job = state.jobs.jobs.find(service + "/" + id);
    const bool isKnown = job != state.jobs.jobs.end() && task >= 0
        && task < static_cast<int>(job->second.tasks.size());
    return isKnown ? &job->second.tasks[static_cast<std::size_t>(task)] : nullptr;
}

void sendStopTask(entry_state &state, const task_report &report, step_context &context)
{
    stop_task stop;
    stop.service = report.service;
    stop.job = report.job;
    stop.task = report.task;
    stop.incarnation = report.incarnation;
    stop.shard = report.shard;
    sendToOwner(state, report.shard, std::move(stop), context);
}

bool isTerminal(placement_result result)
{
    return result != placement_result::running && result != placement_result::held;
}

/// Adds the finished task to the job's row. The worker keeps reporting the task until the row is
/// stored.
void recordFinishedTask(job_view &job, int task)
{
    job_task &ended = job.tasks[static_cast<std::size_t>(task)];
    if (ended.phase == job_task_phase::ended) {
        return;
    }
    ended.phase = job_task_phase::ended;
    job.row.finished_tasks.push_back(task);
    job.isRowOutdated = true;
    const bool areAllTasksEnded =
        std::all_of(job.tasks.begin(), job.tasks.end(),
                    [](const job_task &other) { return other.phase == job_task_phase::ended; });
    if (areAllTasksEnded && job.row.phase == job_phase::accepted) {
        job.row.phase = job_phase::finished;
    }
}

void scheduleRetry(job_view &job, job_task &task, placement_result result, timestamp now)
{
    task.phase = job_task_phase::waiting;
    if (result == placement_result::failed) {
        ++task.failures;
        const int doublings = std::min(task.failures, maxRetryDoublings);
        task.notBefore = now + (initialRetryDelay << doublings);
        if (task.failures >= maxTaskFailures && job.row.phase == job_phase::accepted) {
            job.row.phase = job_phase::failed;
            job.isRowOutdated = true;
        }
    } else if (result == placement_result::refused) {
        task.notBefore = now + (job.row.specification->urgent ? 50 : 100) * millisecond;
    }
}

/// Stops an orphaned task: one that is reported for a job or task that this home does not know.
void stopOrphanedTask(entry_state &state, const task_report &report, step_context &context)
{
    const auto home = state.jobs.homes.find(jobHomeOf(report.service));
    const bool isReady = home != state.jobs.homes.end() && home->second.phase == home_phase::ready;
    if (isReady && report.result != placement_result::refused
        && report.result != placement_result::absent) {
        sendStopTask(state, report, context);
    }
}

void handleTaskRunning(entry_state &state, job_view &job, job_task &task, const task_report &report,
                       step_context &context)
{
    const bool isWanted = job.row.phase == job_phase::accepted;
    task.phase = job_task_phase::running;
    task.shard = report.shard;
    task.worker = report.worker;
    task.lastReportAt = context.now;
    task.committed = {report.committed_cpu_millis, report.committed_memory_mb, report.accelerators};
    updateUsageEstimate(state.jobs.usage[report.service], *job.row.specification, report);
    if (!isWanted) {
        sendStopTask(state, report, context);
    }
}

} // namespace

void handleFoundTasks(entry_state &state, const found_tasks &found, step_context &context)
{
    const auto home = state.jobs.homes.find(found.home_shard);
    if (home == state.jobs.homes.end() || home->second.phase != home_phase::discovering
        || home->second.discoveryNumber != found.number
        || home->second.unansweredRacks.erase(found.shard) == 0) {
        return;
    }
    for (const auto &report : found.tasks) {
        job_task *task = findJobTask(state, report->service, report->job, report->task);
        if (task != nullptr && task->phase != job_task_phase::ended) {
            task->incarnation = std::max(task->incarnation, report->incarnation);
            handleTaskRunning(state, state.jobs.jobs.at(report->service + "/" + report->job), *task,
                              *report, context);
        }
    }
    if (home->second.unansweredRacks.empty()) {
        home->second.phase = home_phase::ready;
    }
}

void handleTaskReport(entry_state &state, const std::string &from, const task_report &report,
                      step_context &context)
{
    updateShardLoad(state, from, report);
    const auto home = state.jobs.homes.find(jobHomeOf(report.service));
    const bool isReady = home != state.jobs.homes.end() && home->second.phase == home_phase::ready;
    if (!isReady) {
        return; // Recovery queries running tasks, and the worker's owner repeats its reports.
    }
    job_task *task = findJobTask(state, report.service, report.job, report.task);
    if (task == nullptr) {
        stopOrphanedTask(state, report, context);
        return;
    }
    job_view &job = state.jobs.jobs.at(report.service + "/" + report.job);
    if (report.incarnation != task->incarnation || task->phase == job_task_phase::ended) {
        const bool isStillRunning = report.result == placement_result::running;
        const bool isEndStored = !job.isRowOutdated && isTerminal(report.result);
        if (isStillRunning || isEndStored) {
            sendStopTask(state, report, context);
        }
        return;
    }
    if (report.result == placement_result::running) {
        handleTaskRunning(state, job, *task, report, context);
    } else if (report.result == placement_result::held) {
        handleTaskHeld(state, job, *task, report, context);
    } else if (report.result == placement_result::finished) {
        recordFinishedTask(job, report.task);
    } else if (task->phase != job_task_phase::waiting) {
        handleGangPlacementFailure(state, job, *task, report, context);
        scheduleRetry(job, *task, report.result, context.now);
        sendStopTask(state, report, context);
    } else if (report.result != placement_result::refused) {
        sendStopTask(state, report, context); // The task ended before; lets the worker forget it.
    }
}

} // namespace bramleygrade
