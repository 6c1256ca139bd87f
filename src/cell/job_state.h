#pragma once

#include <map>
#include <optional>
#include <set>

#include "cell/types.h"

namespace bramleygrade::cell {

/// Where the newest run of a task stands.
enum class run_phase {
    none, ///< no run exists
    starting, ///< the order has left, the worker has not answered
    unclear, ///< the order got no answer; the worker must be fenced before the task is run again
    running,
    stopping, ///< a stop was ordered; the end is not listed yet
};

/// One task and its newest run.
struct task_state
{
    bool done = false;
    /// Attempts that ended `failed`; an end may be listed again to a successor.
    std::set<int> failedAttempts;
    /// Number of the newest run; rises with each start.
    int attempt = 0;
    run_phase phase = run_phase::none;
    std::string worker;
    /// Token of the newest start order.
    std::int64_t token = 0;
    /// Highest attempt whose end has been seen.
    int endedAttempt = 0;
    timestamp orderedAt = distantPast;
    /// Time at which the worker was known to have the run.
    timestamp confirmedAt = distantPast;
    int percent = 0;
    /// Time at which `percent` last changed.
    timestamp progressAt = distantPast;
    std::string checkpoint;
    /// Workers on which the task has failed.
    std::set<std::string> failedOn;
};

/// What the advisory service said of one worker for one step.
struct advice_entry
{
    bool allowed = false;
    std::string ticket;
    timestamp validUntil = distantPast;
};

/// One step of one occurrence.
struct step_state
{
    std::vector<task_state> tasks;
    int doneCount = 0;
    /// Attempts of the gang of which a member ended `failed`.
    std::set<int> gangFailedAttempts;
    std::map<std::string, advice_entry> advice;
    bool advicePending = false;
    timestamp adviceNotBefore = distantPast;
    /// Time of the first start order of the gang's newest run.
    timestamp gangStartedAt = distantPast;
    /// Room kept for the gang on each worker, while others are stopped for it.
    std::map<std::string, resources> claims;
    timestamp reservedUntil = distantPast;
    timestamp preemptNotBefore = distantPast;
    int gangAttempt = 0;
    /// A member of the newest run has ended or was lost: all start again, once none is left.
    bool gangBroken = false;
};

struct occurrence_state
{
    std::vector<step_state> steps;
    int stepsDone = 0;
    timestamp dueAt = distantPast;
    bool completed = false;
};

/// A job that has been accepted, with the progress of its tasks.
struct job_state
{
    job_spec spec;
    queue_policy policy;
    /// Epoch of the scheduler that accepted it; attempts of later epochs start higher.
    std::int64_t acceptedEpoch = 0;
    timestamp receivedAt = distantPast;
    /// Time by which the job should be completed.
    timestamp objectiveAt = distantFuture;
    /// The row is in the store; nothing is started before.
    bool stored = false;
    bool cancelled = false;
    /// Set once the job has ended; the phase becomes visible when `finalStored`.
    std::optional<job_phase> finalPhase;
    bool finalStored = false;
    timestamp finalAt = distantPast;
    /// Time of the first occurrence; jobs without occurrences leave it.
    timestamp firstDueAt = distantPast;
    bool startedAny = false;
    std::map<int, occurrence_state> occurrences;
    int occurrencesCompleted = 0;
    /// Was loaded at a takeover: tasks may run on workers that have not reported yet.
    bool restored = false;
};

/// Attempt numbers that one epoch may use, so that a successor's numbers are always higher.
constexpr int attemptsPerEpoch = 1000;

/// The occurrence, created on first use.
occurrence_state &ensureOccurrence(job_state &job, int index);

/// The task, or null if the job has no such task.
task_state *findTask(job_state &job, const task_id &id);

/// Whether all steps before `step` are done.
bool isStepReady(const job_state &job, const occurrence_state &occurrence, int step);

/// What callers are told.
job_phase visiblePhase(const job_state &job);

/// Whether any run of the job may still exist.
bool hasRuns(const job_state &job);

/// The longest chain of estimated run times, advice included.
microseconds estimateCriticalPath(const job_state &job);

} // namespace bramleygrade::cell
