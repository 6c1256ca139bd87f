#include "cell/ends/crashes.h"

#include <algorithm>

#include "cell/workers/worker_lives.h"

namespace bramleygrade::cell {

namespace {

/// Crashes attributed to a task after which it is given up, and those that may also have had
/// another cause.
constexpr std::size_t maxAttributedCrashes = 2;
constexpr std::size_t maxCrashes = 4;
/// Time after a worker's last answer within which its crash is found out.
constexpr microseconds crashProofTimeout = 15 * second;
/// A trial without an answer of the worker ends after this time.
constexpr microseconds trialTimeout = 5 * second;
/// Workers of a service over these divisors may be on trial at a time, for tasks that wait for
/// less or more than `longWait`.
constexpr std::size_t trialShareDivisor = 4;
constexpr std::size_t longWaitShareDivisor = 2;
constexpr microseconds longWait = 3 * second;
/// Time after a crash in which workers are polled more often after starts.
constexpr microseconds alertDuration = 10 * second;

/// Calls `visit` for each task without a run whose stored trial on the worker has no known end.
template <typename Visit>
void forEachRestoredTrial(scheduler &cell, const worker_state &worker, Visit visit)
{
    const std::string life = lifeName(worker);
    for (auto &[id, job] : cell.jobs) {
        for (auto &[number, occurrence] : job.occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                auto &tasks = occurrence.steps[step].tasks;
                for (std::size_t index = 0; index < tasks.size(); ++index) {
                    if (tasks[index].phase == run_phase::none && tasks[index].trialLife == life) {
                        visit(
                            task_id {id, number, static_cast<int>(step), static_cast<int>(index)});
                    }
                }
            }
        }
    }
}

/// Returns the runs that may have crashed the worker.
std::map<task_id, suspected_run> collectRuns(scheduler &cell, const worker_state &worker)
{
    std::map<task_id, suspected_run> runs = worker.life.lostRuns;
    for (const task_id &id : worker.life.runs) {
        job_state *job = findJob(cell, id.job);
        const task_state *task = job == nullptr ? nullptr : findTask(*job, id);
        if (task != nullptr) {
            runs[id] = suspectedRun(cell, *job, *task);
        }
    }
    forEachRestoredTrial(cell, worker, [&](const task_id &id) {
        runs.emplace(id, suspected_run {distantPast, false});
    });
    return runs;
}

/// Removes the runs that were under way for long when the worker last answered, unless there are no
/// others. Returns whether the others are recent starts of one job.
bool keepLikelyCauses(const worker_state &worker, std::map<task_id, suspected_run> &runs)
{
    const auto isRecent = [&](const auto &run) {
        return run.second.startedAt + startTrial > worker.life.aliveAt;
    };
    if (std::none_of(runs.begin(), runs.end(), isRecent)) {
        return false;
    }
    for (auto it = runs.begin(); it != runs.end();) {
        it = isRecent(*it) ? std::next(it) : runs.erase(it);
    }
    return runs.begin()->first.job == runs.rbegin()->first.job; // sorted by job
}

/// Ends the trials of the job's runs on the worker, which has survived their starts.
void endTrialsOf(scheduler &cell, const worker_state &worker, const std::string &jobId)
{
    job_state *job = findJob(cell, jobId);
    if (job == nullptr) {
        return;
    }
    for (const task_id &id : worker.life.runs) {
        task_state *task = id.job == jobId ? findTask(*job, id) : nullptr;
        if (task != nullptr) {
            endTrial(cell, id, *task);
        }
    }
}

void addCrash(scheduler &cell, const worker_state &worker, const task_id &id, bool attributed,
              timestamp now, orders &out)
{
    job_state *job = findJob(cell, id.job);
    task_state *task = job == nullptr ? nullptr : findTask(*job, id);
    if (task == nullptr || task->done || job->finalPhase) {
        return;
    }
    task->crashedLives.insert(lifeName(worker));
    step_state &step =
        ensureOccurrence(*job, id.occurrence).steps[static_cast<std::size_t>(id.step)];
    step.crashedAt = now;
    if (attributed) {
        task->attributedCrashes.insert(lifeName(worker));
    }
    step.crashChange = recordChange(cell, id.job, true);
    if (task->attributedCrashes.size() < maxAttributedCrashes
        && task->crashedLives.size() < maxCrashes) {
        return;
    }
    ++cell.counters.tasksGivenUp;
    out.events.push_back({"task_given_up", id.job,
                          "step=" + std::to_string(id.step) + " index=" + std::to_string(id.index)
                              + " crashes=" + std::to_string(task->crashedLives.size())
                              + " attributed=" + std::to_string(task->attributedCrashes.size())});
    finishJob(cell, *job, job_phase::failed, now, out);
}

} // namespace

suspected_run suspectedRun(const scheduler &cell, const job_state &job, const task_state &task)
{
    const bool isOwnStart = task.attempt > (cell.epoch - job.acceptedEpoch) * attemptsPerEpoch;
    return {task.startedAt, isOwnStart && task.confirmedAt != distantPast};
}

void endTrial(scheduler &cell, const task_id &id, task_state &task)
{
    if (!task.trialLife.empty()) {
        task.trialLife.clear();
        recordChange(cell, id.job, false);
    }
}

void countCrash(scheduler &cell, worker_state &worker, timestamp now, orders &out)
{
    if (!worker.life.crashed && !worker.entry.draining) {
        worker.life.crashed = true;
        worker.life.trialJob.clear(); // the trial is over
        cell.lastCrashAt = now;
        cell.hasUnknownCrash = cell.hasUnknownCrash || worker.life.answeredAt == distantPast;
        ++cell.counters.crashedWorkers;
        std::map<task_id, suspected_run> runs = collectRuns(cell, worker);
        const std::size_t all = runs.size();
        const bool attributed = !runs.empty() && keepLikelyCauses(worker, runs);
        out.events.push_back({"worker_crashed", runs.empty() ? "" : runs.begin()->first.job,
                              "worker=" + worker.entry.id + " runs=" + std::to_string(all)
                                  + " suspects=" + std::to_string(runs.size())
                                  + " attributed=" + (attributed ? "yes" : "no") + " silent_ms="
                                  + std::to_string((now - worker.life.answeredAt) / millisecond)});
        for (const auto &[id, run] : runs) {
            addCrash(cell, worker, id, attributed && run.confirmed, now, out);
        }
    }
}

void onWorkerCrashed(scheduler &cell, worker_state &worker, timestamp now, orders &out)
{
    countCrash(cell, worker, now, out);
    releaseAllRuns(cell, worker, now, out);
    worker.life.lostRuns.clear();
    worker.life.recentStarts.clear();
}

void onOtherIncarnation(scheduler &cell, worker_state &worker, timestamp now, orders &out)
{
    worker.life.fenced = false;
    if (runsAtListedAddress(worker)) {
        onWorkerCrashed(cell, worker, now, out);
    }
}

void recordAnswer(scheduler &cell, worker_state &worker, timestamp sentAt, timestamp now,
                  orders &out)
{
    const bool isFirst = worker.life.answeredAt == distantPast;
    worker.life.answeredAt = now;
    worker.life.lostRuns.clear();
    recordAlive(cell, worker, now);
    if (!isFirst) {
        return;
    }
    for (auto &[id, other] : cell.workers) {
        // An answer of an earlier incarnation may arrive after the first one of its successor.
        if (&other != &worker && other.life.address == worker.life.address && !other.life.crashed
            && other.life.answeredAt < sentAt) {
            onWorkerCrashed(cell, other, now, out);
        }
    }
}

void recordAlive(scheduler &cell, worker_state &worker, timestamp at)
{
    worker.life.aliveAt = std::max(worker.life.aliveAt, at);
    for (auto it = worker.life.recentStarts.begin(); it != worker.life.recentStarts.end();) {
        if (worker.life.aliveAt < it->second + startTrial) {
            ++it;
            continue;
        }
        endTrialsOf(cell, worker, it->first);
        it = worker.life.recentStarts.erase(it);
    }
    if (!worker.life.trialJob.empty()
        && worker.life.aliveAt >= worker.life.trialStartedAt + startTrial) {
        worker.life.trialJob.clear();
        cell.needsPlacement = true;
    }
}

bool mayHaveCrashed(const worker_state &worker, timestamp now)
{
    return !worker.life.lostRuns.empty() && !worker.life.crashed && !worker.entry.draining
        && now < worker.life.answeredAt + crashProofTimeout;
}

bool areCrashesStored(const scheduler &cell, const job_state &job, const step_state &step)
{
    const auto isOpen = [&](const std::map<std::string, unstored_change> &changes) {
        const auto change = changes.find(job.spec.id);
        return change != changes.end() && change->second.number <= step.crashChange;
    };
    return step.crashChange == 0 || (!isOpen(cell.unstored) && !isOpen(cell.inWrite));
}

bool isSuspected(const step_state &step)
{
    return std::any_of(step.tasks.begin(), step.tasks.end(), [](const task_state &task) {
        return !task.done && !task.crashedLives.empty();
    });
}

bool hasRecentCrash(const step_state &step, timestamp now)
{
    return now < step.crashedAt + longWait;
}

bool hasOpenStarts(const scheduler &cell, const worker_state &worker, timestamp now)
{
    return !worker.life.recentStarts.empty() && now < cell.lastCrashAt + alertDuration;
}

bool isOnTrial(const worker_state &worker, timestamp now)
{
    return !worker.life.trialJob.empty() && now < worker.life.trialUntil;
}

bool isOnTrialOfOther(const worker_state &worker, const std::string &job, timestamp now)
{
    return isOnTrial(worker, now) && worker.life.trialJob != job;
}

bool hasRecentStartsOfOthers(const worker_state &worker, const std::string &job)
{
    return std::any_of(worker.life.recentStarts.begin(), worker.life.recentStarts.end(),
                       [&](const auto &start) { return start.first != job; });
}

void recordStart(scheduler &cell, worker_state &worker, const task_id &id, bool suspected,
                 timestamp now)
{
    worker.life.recentStarts[id.job] = now;
    if (suspected) {
        worker.life.trialJob = id.job;
        worker.life.trialStartedAt = now;
        worker.life.trialUntil = now + trialTimeout;
    }
    job_state &job = cell.jobs.at(id.job);
    if (suspected || (job.restored && cell.hasUnknownCrash)) {
        findTask(job, id)->trialLife = lifeName(worker);
        recordChange(cell, id.job, true);
    }
}

void limitTrials(const scheduler &cell, const job_state &job, const step_state &step,
                 std::vector<std::string> &workers, timestamp now)
{
    std::size_t all = 0;
    std::size_t onTrial = 0;
    for (const auto &[id, worker] : cell.workers) {
        const bool isOfService = worker.entry.service == job.policy.service;
        all += isOfService ? 1 : 0;
        onTrial += isOfService && isOnTrial(worker, now) ? 1 : 0;
    }
    const std::size_t divisor =
        hasRecentCrash(step, now) ? trialShareDivisor : longWaitShareDivisor;
    const std::size_t limit = std::max<std::size_t>(1, all / divisor);
    std::vector<std::string> kept;
    std::set<std::string> added;
    for (const std::string &id : workers) {
        const bool isCounted = isOnTrial(cell.workers.at(id), now) || added.count(id) > 0;
        if (isCounted || onTrial < limit) {
            onTrial += isCounted ? 0 : 1;
            added.insert(id);
            kept.push_back(id);
        }
    }
    workers = std::move(kept);
}

} // namespace bramleygrade::cell
