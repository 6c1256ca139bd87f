#pragma once

#include <map>
#include <optional>
#include <set>

#include "cell/jobs/occurrence_set.h"
#include "cell/types.h"
#include "cell/workers/run_times.h"

namespace bramleygrade::cell {

/// State of the newest run of a task.
enum class run_phase {
    none, ///< no run exists
    starting, ///< the start order was sent; the worker has not answered
    unconfirmed, ///< the start order got no answer; a fence must precede another start
    running,
    stopping, ///< a stop was ordered; the end has not been reported
};

/// One task and its newest run.
struct task_state
{
    bool done = false;
    /// Attempts that ended `failed`; a set, as a worker may report an end to the next leader again.
    std::set<int> failedAttempts;
    /// Attempt number of the newest run; increases with each start.
    int attempt = 0;
    run_phase phase = run_phase::none;
    std::string worker;
    /// Fencing token of the newest start order.
    std::int64_t token = 0;
    /// Highest attempt whose end has been reported.
    int endedAttempt = 0;
    /// Time at which an end was last reported.
    timestamp endReportedAt = distantPast;
    /// Time of the newest start or stop order.
    timestamp orderedAt = distantPast;
    /// Time of the newest start order, or at which another scheduler's run was first reported.
    timestamp startedAt = distantPast;
    /// Time at which the worker confirmed that it has the run; `distantPast`: not confirmed.
    timestamp confirmedAt = distantPast;
    /// Time since which a life that is not known may carry the start order out, or have the run:
    /// the order got no answer, or one of another life; its stop was accepted first; or a life that
    /// is not fenced lists the run. `distantPast`: there is no such doubt.
    timestamp strayStartAt = distantPast;
    int percent = 0;
    /// Time at which `percent` last changed.
    timestamp progressAt = distantPast;
    std::string checkpoint;
    /// Time at which a new checkpoint of the newest run was last reported.
    timestamp checkpointAt = distantPast;
    /// Time of the newest preemption of a run of the task.
    timestamp preemptedAt = distantPast;
    /// The newest run did not work from its beginning, as it resumed from a checkpoint or was
    /// adopted.
    bool resumed = false;
    /// Workers on which the task has failed.
    std::set<std::string> failedOn;
    /// Lives of workers that crashed and may have done so because of the task, by `lifeName`.
    std::set<std::string> crashedLives;
    /// Those of `crashedLives` that no task of another job can have crashed at its start.
    std::set<std::string> attributedCrashes;
    /// Life of the worker of the newest run if that may crash it, until the worker has survived the
    /// start or the run has ended; stored, as the worker may crash around a takeover.
    std::string trialLife;
};

/// The advisory service's answer about one worker for one step.
struct worker_advice
{
    bool allowed = false;
    std::string ticket;
    timestamp validUntil = distantPast;
};

/// Why the newest placement round that considered a gang did not start it.
enum class gang_obstacle {
    none, ///< the gang was started, or not considered since
    advice_missing, ///< nothing is known yet of the workers that may run it
    held_capacity_limit, ///< other gangs hold as much capacity as gangs may
    not_enough_room, ///< the workers known to be allowed lack room for all members
    preempted_runs_not_ended, ///< the room is reserved, but runs preempted there have not ended
    exceeds_workers, ///< the workers lack room for all members even without runs that end
    tickets_expired, ///< there is room for all members, but not a valid ticket for each
    not_stored, ///< the job is not in the store yet
};

/// One step of one occurrence.
struct step_state
{
    std::vector<task_state> tasks;
    int doneCount = 0;
    /// Longest successful run that did not resume from a checkpoint, and the longest one as on a
    /// worker of mean speed; 0: there is none.
    microseconds longestRun = 0;
    microseconds longestSoundRun = 0;
    /// Attempts of the gang in which at least one member ended `failed`.
    std::set<int> gangFailedAttempts;
    std::map<std::string, worker_advice> advice;
    /// Time until which at least one ticket is valid.
    timestamp ticketsValidUntil = distantPast;
    /// Time before which the step is not planned again.
    timestamp planNotBefore = distantPast;
    bool advicePending = false;
    /// Duration of the newest answered call for advice, while no task has been started after it.
    microseconds unusedAnswer = 0;
    /// The pending call for advice has not been sent yet.
    bool adviceQueued = false;
    /// In the newest placement round the cap of the job's team kept all waiting tasks from
    /// starting.
    bool waitsForTeamCap = false;
    /// The gang was within the budget for held capacity in an earlier placement round.
    bool holdsCapacity = false;
    timestamp adviceNotBefore = distantPast;
    /// Only of gangs.
    gang_obstacle obstacle = gang_obstacle::none;
    /// Time of the first start order of the gang's newest run.
    timestamp gangStartedAt = distantPast;
    /// Capacity reserved for the gang by worker, while runs are preempted for it.
    std::map<std::string, resources> reservations;
    timestamp reservedUntil = distantPast;
    timestamp preemptNotBefore = distantPast;
    /// Number of preemptions for the gang since it last started.
    int preemptions = 0;
    /// Attempt number that all members of the gang's newest run share.
    int gangAttempt = 0;
    /// A member of the newest run has ended or was lost; all members restart once none is active.
    bool gangBroken = false;
    /// Time of the newest crash of a worker that a task of the step may have caused.
    timestamp crashedAt = distantPast;
    /// Number of the change that stores it; 0: it is stored.
    std::uint64_t crashChange = 0;
};

struct occurrence_state
{
    std::vector<step_state> steps;
    int stepsDone = 0;
    timestamp dueAt = distantPast;
    bool completed = false;
};

/// An accepted job and the progress of its tasks.
struct job_state
{
    job_spec spec;
    queue_policy policy;
    /// Epoch of the scheduler that accepted the job; later epochs use higher attempt numbers.
    std::int64_t acceptedEpoch = 0;
    timestamp receivedAt = distantPast;
    /// Time by which the job should complete.
    timestamp objectiveAt = distantFuture;
    /// Expected time from the start of each step to the end of the job.
    std::vector<microseconds> expectedToEnd;
    /// The job is in the store; no task starts before.
    bool stored = false;
    bool cancelled = false;
    /// Set once the job has ended; callers see the phase only when `finalStored` is set.
    std::optional<job_phase> finalPhase;
    bool finalStored = false;
    timestamp finalAt = distantPast;
    /// Time of the first occurrence; not used by jobs without occurrences.
    timestamp firstDueAt = distantPast;
    /// A start was ordered, by this scheduler or a former one, so that there may be progress to
    /// store.
    bool ordered = false;
    /// A worker has begun a task, as it has told itself; an order alone may have no effect. Holds
    /// for good.
    bool begun = false;
    /// A change that stores `begun` has been recorded.
    bool beginRecorded = false;
    /// Open occurrences, see open_occurrences.h. A job that runs once has one, number 0.
    std::map<int, occurrence_state> occurrences;
    /// Completed ones that are not open any more.
    occurrence_set completed;
    /// Others that were open, each of whose steps is either done or untouched, by which steps are
    /// done: a character a step, '1' if it is.
    std::map<std::string, occurrence_set> parked;
    /// No occurrence from this number on has been open yet, unless a worker has listed a run of it.
    int nextOccurrence = 0;
    /// Number of completed occurrences, open or not.
    int occurrencesCompleted = 0;
    /// Number of rows of progress that the store may hold.
    std::size_t progressRows = 1;
    /// Estimate of the job's memory that is counted in `scheduler::reservedBytes`.
    std::size_t reservedBytes = 0;
    /// Loaded from the store at a takeover: tasks may run on workers that have not reported yet.
    bool restored = false;
};

/// Number of attempt numbers per epoch; attempts of a later epoch are always higher.
constexpr int attemptsPerEpoch = 1000;

/// Whether capacity is reserved for the gang, so that it starts on the reserved workers only.
inline bool holdsReservation(const step_state &step, timestamp now)
{
    return now < step.reservedUntil;
}

/// Returns the occurrence; opens it if it is not open.
occurrence_state &ensureOccurrence(job_state &job, int index);

/// Returns the time at which the occurrence is due; `distantFuture` if that is out of range.
timestamp dueTimeOf(const job_state &job, int occurrence);

/// Returns the task, or null if the job has no such task or its occurrence is completed and not
/// open any more. Opens the occurrence if it was open before, or may have been under a previous
/// scheduler.
task_state *findTask(job_state &job, const task_id &id);

/// Whether all steps that `step` depends on are done.
bool isStepReady(const job_state &job, const occurrence_state &occurrence, int step);

/// Returns the phase reported to callers: a final phase only once it is stored.
job_phase visiblePhase(const job_state &job);

/// Whether any run of the job may still exist on a worker.
bool hasRuns(const job_state &job);

/// Returns, for each step, the expected time from its start to the end of the job: run times of the
/// step and of the longest chain of steps that depend on it, each with the time of an advice call
/// if the queue needs advice. The maximum is the length of the job's critical path.
std::vector<microseconds> expectTimesToEnd(const job_state &job, const run_time_record &runTimes);

/// Returns the job's objective: its critical path on workers of mean speed times the queue's slack
/// factor, and the queue's latency target.
timestamp objectiveOf(const job_state &job, const run_time_record &runTimes);

} // namespace bramleygrade::cell
