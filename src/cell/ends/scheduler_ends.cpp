#include <algorithm>

#include "cell/ends/crashes.h"
#include "cell/ends/finished_runs.h"
#include "cell/interference/scheduler_interference.h"
#include "cell/jobs/open_occurrences.h"

namespace bramleygrade::cell {

namespace {

/// A run has stalled after this time plus a tenth of its estimate without progress.
constexpr microseconds stallTimeout = 2'500 * millisecond;
/// Pause before a stop is ordered again while the run's end has not been reported.
constexpr microseconds stopRetryInterval = 700 * millisecond;
/// An incomplete gang is stopped after the gang timeout over this divisor.
constexpr int gangTimeoutDivisor = 2;
/// Pause before it is checked again whether an ended job has runs that keep it from being erased.
constexpr microseconds expiryRetryInterval = 1 * second;
constexpr microseconds checkInterval = 200 * millisecond;
constexpr microseconds objectiveUpdateInterval = 1 * second;

void markDone(scheduler &cell, job_state &job, const reported_end &end, timestamp now, orders &out)
{
    occurrence_state &occurrence = ensureOccurrence(job, end.task.occurrence);
    step_state &step = occurrence.steps[static_cast<std::size_t>(end.task.step)];
    const bool gang = stepOf(job, end.task.step).gang;
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        task_state &task = step.tasks[index];
        if (task.done || (!gang && static_cast<int>(index) != end.task.index)) {
            continue;
        }
        task.done = true;
        ++step.doneCount;
        if (!gang && task.phase != run_phase::none) {
            stopRun(cell, end.task, task, now, out); // another run of a task that is done
        }
    }
    if (step.doneCount < static_cast<int>(step.tasks.size())) {
        return;
    }
    recordRunTime(cell.runTimes[job.spec.queue], stepOf(job, end.task.step).estimate,
                  step.longestRun, step.longestSoundRun);
    markRunnable(cell, job);
    if (++occurrence.stepsDone < static_cast<int>(occurrence.steps.size())) {
        return;
    }
    occurrence.completed = true;
    if (++job.occurrencesCompleted == std::max(job.spec.occurrences, 1)) {
        finishJob(cell, job, job_phase::completed, now, out);
    }
}

void markFailed(scheduler &cell, worker_state &worker, job_state &job, task_state &task,
                const reported_end &end, timestamp now, orders &out)
{
    const step_spec &spec = stepOf(job, end.task.step);
    step_state &step =
        ensureOccurrence(job, end.task.occurrence).steps[static_cast<std::size_t>(end.task.step)];
    task.failedAttempts.insert(end.attempt);
    task.failedOn.insert(worker.entry.id);
    step.gangFailedAttempts.insert(end.attempt);
    const std::size_t failures =
        spec.gang ? step.gangFailedAttempts.size() : task.failedAttempts.size();
    out.events.push_back({"run_failed", end.task.job,
                          "worker=" + worker.entry.id + " attempt=" + std::to_string(end.attempt)
                              + " failures=" + std::to_string(failures)});
    if (!spec.longRunning && static_cast<int>(failures) >= job.policy.maxAttempts) {
        finishJob(cell, job, job_phase::failed, now, out);
    }
}

/// Returns the number of the newest change, with which the job's state is fully stored; 0 if it is
/// stored already.
std::uint64_t pendingChange(const scheduler &cell, const std::string &job)
{
    const bool isPending = cell.unstored.count(job) > 0 || cell.inWrite.count(job) > 0;
    return isPending ? cell.changeNumber : 0;
}

/// Applies a reported end to its task and job. Returns the number of the change that stores the
/// effect; 0 if nothing has to be stored.
std::uint64_t applyOutcome(scheduler &cell, worker_state &worker, job_state &job, task_state &task,
                           const reported_end &end, timestamp now, orders &out)
{
    const bool isLongRunning = stepOf(job, end.task.step).longRunning;
    if (task.done || job.finalPhase || isLongRunning) {
        return pendingChange(cell, job.spec.id);
    }
    if (end.how == end_kind::done) {
        const std::uint64_t change = recordChange(cell, job.spec.id, false);
        markDone(cell, job, end, now, out);
        return change;
    }
    if (end.how == end_kind::failed) {
        const std::uint64_t change = recordChange(cell, job.spec.id, false);
        markFailed(cell, worker, job, task, end, now, out);
        return change;
    }
    return 0;
}

void countEnd(scheduler &cell, const reported_end &end)
{
    switch (end.how) {
    case end_kind::done:
        ++cell.counters.endsDone;
        break;
    case end_kind::failed:
        ++cell.counters.endsFailed;
        break;
    default:
        ++cell.counters.endsOther;
    }
}

void recordCheckpoint(scheduler &cell, job_state &job, const reported_end &end, task_state &task)
{
    if (!isKeptCheckpoint(cell, end.checkpoint)) {
        return;
    }
    task.checkpoint = end.checkpoint;
    if (stepOf(job, end.task.step).gang) {
        for (task_state &member : ensureOccurrence(job, end.task.occurrence)
                                      .steps[static_cast<std::size_t>(end.task.step)]
                                      .tasks) {
            member.checkpoint = end.checkpoint;
        }
    }
}

bool isGangIncomplete(const step_state &step)
{
    const auto active = std::count_if(step.tasks.begin(), step.tasks.end(), [](const auto &task) {
        return task.phase != run_phase::none;
    });
    return active > 0 && active < static_cast<std::ptrdiff_t>(step.tasks.size());
}

void stopGang(scheduler &cell, task_id id, step_state &step, timestamp now, orders &out)
{
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        task_state &task = step.tasks[index];
        if (task.phase != run_phase::none && task.phase != run_phase::stopping) {
            id.index = static_cast<int>(index);
            stopRun(cell, id, task, now, out);
        }
    }
    step.gangBroken = true;
}

void checkGang(scheduler &cell, const job_state &job, const task_id &id, step_state &step,
               timestamp now, orders &out)
{
    if (!isGangIncomplete(step) || step.doneCount > 0) {
        return;
    }
    const microseconds limit = cell.settings.gangTimeout / gangTimeoutDivisor;
    const bool hasRunsToStop =
        std::any_of(step.tasks.begin(), step.tasks.end(), [](const auto &task) {
            return task.phase != run_phase::none && task.phase != run_phase::stopping;
        });
    if (!hasRunsToStop) {
        return;
    }
    if (step.gangBroken || now > step.gangStartedAt + limit) {
        out.events.push_back({"gang_incomplete", job.spec.id, "step=" + std::to_string(id.step)});
        stopGang(cell, id, step, now, out);
    }
}

void checkRun(scheduler &cell, const job_state &job, const task_id &id, task_state &task,
              timestamp now, orders &out)
{
    if (task.phase == run_phase::none) {
        return;
    }
    const step_spec &spec = stepOf(job, id.step);
    const auto worker = cell.workers.find(task.worker);
    // A silent worker gets no order: it answers first, or its leases end.
    if (worker == cell.workers.end() || worker->second.life.unansweredPolls > 0) {
        return;
    }
    const bool isUnwanted = task.phase == run_phase::stopping
        || (job.finalPhase && now > job.finalAt + stopRetryInterval);
    if (isUnwanted) {
        if (now > task.orderedAt + stopRetryInterval) {
            stopRun(cell, id, task, now, out);
        }
        return;
    }
    const timestamp lastProgressAt = std::max(task.progressAt, task.confirmedAt);
    if (task.phase != run_phase::running || spec.longRunning
        || now < lastProgressAt + stallTimeout + spec.estimate / 10) {
        return;
    }
    ++cell.counters.stalledRuns;
    out.events.push_back({"run_stalled", id.job, "worker=" + task.worker});
    recordOutcome(worker->second, false, now);
    task.failedOn.insert(task.worker);
    stopRun(cell, id, task, now, out);
}

void checkJob(scheduler &cell, job_state &job, timestamp now, orders &out)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            step_state &state = occurrence.steps[step];
            task_id id {job.spec.id, number, static_cast<int>(step), 0};
            if (job.spec.steps[step].gang) {
                checkGang(cell, job, id, state, now, out);
            }
            for (std::size_t index = 0; index < state.tasks.size(); ++index) {
                id.index = static_cast<int>(index);
                checkRun(cell, job, id, state.tasks[index], now, out);
            }
        }
    }
}

void eraseExpiredJobs(scheduler &cell, timestamp now)
{
    while (!cell.jobExpiries.empty() && cell.jobExpiries.begin()->first <= now) {
        const std::string id = cell.jobExpiries.begin()->second;
        cell.jobExpiries.erase(cell.jobExpiries.begin());
        const job_state *job = findJob(cell, id);
        if (job != nullptr && hasRuns(*job)) {
            // Without the job, its runs could neither be told to stop nor free their capacity.
            cell.jobExpiries.emplace(now + expiryRetryInterval, id);
            continue;
        }
        cell.jobs.erase(id);
    }
}

/// Checks the runs of the jobs that have ended, until none is left.
void checkEndedJobs(scheduler &cell, timestamp now, orders &out)
{
    for (auto it = cell.endedWithRuns.begin(); it != cell.endedWithRuns.end();) {
        job_state *job = findJob(cell, *it);
        if (job == nullptr || !hasRuns(*job)) {
            if (job != nullptr && job->finalStored) {
                dropWork(*job);
            }
            it = cell.endedWithRuns.erase(it);
            continue;
        }
        checkJob(cell, *job, now, out);
        ++it;
    }
}

} // namespace

void applyEnd(scheduler &cell, worker_state &worker, const reported_end &end, timestamp now,
              orders &out)
{
    countEnd(cell, end);
    job_state *job = findJob(cell, end.task.job);
    task_state *task = job == nullptr ? nullptr : findTask(*job, end.task);
    if (task == nullptr) {
        // The end of a task in a completed occurrence is acknowledged once that is stored.
        worker.life.unstoredEnds[end.sequence] =
            job == nullptr ? 0 : pendingChange(cell, end.task.job);
        return;
    }
    noteBegin(*job);
    const std::uint64_t beginChange = recordBegin(cell, *job);
    task->endedAttempt = std::max(task->endedAttempt, end.attempt);
    task->endReportedAt = now;
    task->attempt = std::max(task->attempt, end.attempt);
    step_state &step =
        ensureOccurrence(*job, end.task.occurrence).steps[static_cast<std::size_t>(end.task.step)];
    if (step.gangAttempt == end.attempt && end.how != end_kind::done) {
        step.gangBroken = true;
    }
    recordCheckpoint(cell, *job, end, *task);
    if (end.how == end_kind::done && task->phase == run_phase::running
        && task->attempt == end.attempt && !task->resumed && task->confirmedAt != distantPast) {
        learnFromRun(cell, worker, *job, end.task, step, now - task->confirmedAt, now);
    }
    if (task->phase != run_phase::none && task->worker == worker.entry.id
        && task->attempt == end.attempt) {
        releaseRun(cell, end.task, *job, *task);
    }
    if (end.how == end_kind::done
        || (end.how == end_kind::failed && task->failedAttempts.empty())) {
        recordOutcome(worker, end.how == end_kind::done, now);
    }
    const std::uint64_t outcomeChange = applyOutcome(cell, worker, *job, *task, end, now, out);
    worker.life.unstoredEnds[end.sequence] = std::max(beginChange, outcomeChange);
    retireOccurrence(*job, end.task.occurrence);
    cell.needsPlacement = true;
}

bool isKeptCheckpoint(scheduler &cell, const std::string &checkpoint)
{
    const bool isTooLong = checkpoint.size() > maxCheckpointBytes;
    cell.counters.ignoredCheckpoints += isTooLong ? 1 : 0;
    return !checkpoint.empty() && !isTooLong;
}

void stopRun(scheduler &cell, const task_id &id, task_state &task, timestamp now, orders &out)
{
    const auto worker = cell.workers.find(task.worker);
    if (worker == cell.workers.end()) {
        return;
    }
    task.phase = run_phase::stopping;
    task.orderedAt = now;
    out.stops.push_back({id, task.attempt, task.worker, fencingToken(cell, worker->second)});
}

void checkRuns(scheduler &cell, timestamp now, orders &out)
{
    if (now < cell.nextCheckAt) {
        return;
    }
    cell.nextCheckAt = now + checkInterval;
    cell.furtherBytes = 0;
    for (auto &[id, job] : cell.jobs) {
        if (!job.finalPhase) {
            checkJob(cell, job, now, out);
            cell.furtherBytes += bytesOfFurther(job);
        }
    }
    checkEndedJobs(cell, now, out);
    if (now >= cell.nextObjectiveUpdateAt) {
        cell.nextObjectiveUpdateAt = now + objectiveUpdateInterval;
        for (auto &[id, job] : cell.jobs) {
            if (!job.finalPhase) {
                updateObjective(cell, job);
            }
        }
    }
    eraseExpiredJobs(cell, now);
    if (cell.settings.workerSpeeds) {
        updateSpeeds(cell, now, out);
    }
    // Due occurrences, expired tickets and workers whose avoidance period is over allow new
    // placements without any event.
    cell.needsPlacement = cell.needsPlacement || !cell.runnableJobs.empty();
}

} // namespace bramleygrade::cell
