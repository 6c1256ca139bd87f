#pragma once

#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/advice/advice_use.h"
#include "cell/interference/interference.h"
#include "cell/jobs/job_sizes.h"
#include "cell/jobs/job_state.h"
#include "cell/teams/admission.h"
#include "cell/teams/team_usage.h"
#include "cell/workers/run_times.h"
#include "cell/workers/worker_speeds.h"
#include "cell/workers/worker_state.h"

/// \file
/// Decides which task runs on which worker. The scheduler does no input or output itself: the
/// caller passes events in and carries out the orders that the functions return. One scheduler
/// acts at a time; workers refuse the orders of earlier ones by their fencing token.
///
///     scheduler cell;
///     beginEpoch(cell, epoch, now);
///     changeWorkers(cell, registry, now, orders);
///     acceptJob(cell, spec, policy, now);
///     decide(cell, now, orders);   // orders.starts, orders.polls, ...
///
/// Guarantees: the demand reserved on a worker never exceeds its capacity; no task has two runs
/// unless it is speculative; a task is restarted only after its previous run has been reported as
/// ended, was ruled out by a fence, or has lost its lease; nothing starts before its job is stored.

namespace bramleygrade::cell {

/// Starts a run of a task on a worker.
struct start_order
{
    task_id task;
    int attempt = 0;
    std::string worker;
    std::string payload;
    std::string ticket;
    std::string checkpoint;
    /// End of the lease on the worker's clock, microseconds.
    std::int64_t leaseUntil = 0;
    std::int64_t fencingToken = 0;
    /// `worker_life::number` of the life for which the order is meant.
    std::uint64_t life = 0;
};

/// Stops a run; its end follows in a report.
struct stop_order
{
    task_id task;
    int attempt = 0;
    std::string worker;
    std::int64_t fencingToken = 0;
};

/// Renews a worker's lease and requests its report; a long poll if `wait` is set.
struct poll_order
{
    std::string worker;
    std::int64_t fencingToken = 0;
    std::int64_t acknowledgedEnd = 0;
    /// The acknowledgement is sent only on a connection opened until this local time. One opened
    /// later may lead to a process that has not listed the ends.
    timestamp connectedBefore = distantFuture;
    /// End of the lease on the worker's clock, microseconds; 0: the lease is not renewed, as the
    /// clock is not known yet or the worker does not answer.
    std::int64_t leaseUntil = 0;
    /// Longest time that the worker may hold the poll until a run ends.
    microseconds wait = 0;
    /// The poll carries a raised fencing token, to resolve orders that got no answer.
    bool fence = false;
    /// `worker_life::number` of the life for which the poll is meant.
    std::uint64_t life = 0;
};

/// Asks the advisory service which workers may run a step.
struct advice_order
{
    task_id step;
    std::vector<std::string> workers;
    /// Expected response time of the advisory service.
    microseconds expected = 0;
    /// The call goes to instances that do not serve the short calls.
    bool longCall = false;
    /// Lower is asked first: jobs on time before late ones, then by the queue's priority.
    int priority = 0;
    /// Priority of the job's queue.
    int queuePriority = 0;
    /// The job is beyond its team's share.
    bool beyondShare = false;
    /// Time since which the job waits, the same for all its calls.
    timestamp waitsSince = distantPast;
    /// The job has missed its objective.
    bool late = false;
    /// Capacity is withheld from other steps until the answer arrives.
    bool holdsCapacity = false;
    /// Name of the job's queue.
    std::string queue;
    /// Demand that the step is expected to place on each of `workers`.
    std::vector<resources> expectedDemands;
};

/// A decision to be logged: event name, job id (may be empty) and details as `key=value`.
struct decision_event
{
    std::string event;
    std::string job;
    std::string detail;
};

/// Actions that a function of the scheduler requests from its caller.
struct orders
{
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<poll_order> polls;
    std::vector<advice_order> advice;
    std::vector<decision_event> events;
};

/// Outcome of an order to a worker.
enum class order_outcome {
    accepted,
    refused_fence, ///< the worker has seen a newer fencing token
    refused_stale, ///< the attempt is not newer than one that has ended on the worker
    refused_expired, ///< the lease expired before the order was carried out
    refused_capacity, ///< the worker lacks free capacity for the task
    refused_ticket, ///< the ticket of the advisory service has expired
    refused_unhealthy, ///< the worker accepts no work at present; nothing was done
    refused_incarnation, ///< another incarnation answers at the address
    not_sent, ///< no connection could be made; nothing was done
    unanswered, ///< the order may have been carried out, or may be later
};

struct scheduler_settings
{
    /// Memory of the process, bytes; open jobs may take part of it.
    std::size_t memoryLimit = std::size_t {260} * 1'024 * 1'024;
    lease_limits lease;
    /// Duration of a long poll; at most 2 s by the worker protocol.
    microseconds pollWait = 1'500 * millisecond;
    microseconds gangTimeout = 3 * second;
    microseconds stopTimeout = 900 * millisecond;
    /// Retention time of ended jobs.
    microseconds endedKept = 120 * second;
    /// Time after the takeover for which another process may still confirm the leadership of a
    /// previous scheduler, as it has not heard of this one yet.
    microseconds predecessorGrace = 0;
    /// Tasks whose images are seen to slow each other down are placed on different workers where
    /// there is room.
    bool separateClashingTasks = true;
    /// Learned speeds of workers are used in decisions where they differ by a wide margin.
    bool workerSpeeds = true;
    /// Length of the window in which a team's submissions count, and the jobs that it may send in
    /// it beyond its weight.
    microseconds teamWindow = 5 * second;
    std::int64_t teamWindowSlack = 20;
};

/// Decaying counts of the workers asked about and allowed in a queue's advice calls.
struct advice_counts
{
    double asked = 1.0;
    double allowed = 0.5;
};

/// Totals since the scheduler took over.
struct scheduler_counters
{
    std::uint64_t starts = 0;
    std::uint64_t refusedStarts = 0;
    std::uint64_t unansweredOrders = 0;
    std::uint64_t endsDone = 0;
    std::uint64_t endsFailed = 0;
    std::uint64_t endsOther = 0;
    std::uint64_t adviceCalls = 0;
    /// Workers whose runs were released, as their leases had expired or they had left.
    std::uint64_t lostWorkers = 0;
    /// Lives of workers in whose place another one was found.
    std::uint64_t crashedWorkers = 0;
    /// Tasks given up as workers crashed at their starts.
    std::uint64_t tasksGivenUp = 0;
    std::uint64_t jobsAccepted = 0;
    std::uint64_t jobsCompleted = 0;
    std::uint64_t jobsFailed = 0;
    std::uint64_t jobsCancelled = 0;
    std::uint64_t stalledRuns = 0;
    std::uint64_t preemptedRuns = 0;
    std::uint64_t plannedSteps = 0;
    /// Checkpoints that were too long to be kept.
    std::uint64_t ignoredCheckpoints = 0;
    ended_by_size endedBySize;
    jobs_by_size acceptedBySize {};
    advice_use_by_queue adviceUse;
};

/// A change that is not in the store yet.
struct unstored_change
{
    /// Increases with each change of any job or of the worker list.
    std::uint64_t number = 0;
    /// A caller is waiting for the change to be stored.
    bool urgent = false;
};

/// State of the scheduler of one cell.
struct scheduler
{
    scheduler_settings settings;
    std::int64_t epoch = 0;
    timestamp tookOverAt = distantPast;
    /// Time from which on no earlier scheduler grants leases, as it can have no majority of the
    /// entries; `distantFuture`: one may still have it.
    timestamp predecessorsOverAt = distantPast;
    /// Time of the newest proof that there was no successor. Leases are granted from this time on,
    /// so that a successor knows when they have expired. A time in the future counts as the
    /// present.
    timestamp confirmedAt = distantFuture;
    /// Time of the newest proof that there was no successor anywhere: a write, or replies of all
    /// entries. A majority confirms the leadership, but one of the others may have taken over with
    /// the store, and started the tasks of workers that are silent here.
    timestamp noSuccessorAt = distantFuture;
    /// The leases of a silent worker have expired, and only such a proof is missing.
    bool awaitsProof = false;
    cell_config config;
    team_table teams;
    queued_work queued;
    std::map<std::string, worker_state> workers;
    /// Bytes of the workers in each row of the stored list.
    std::vector<std::size_t> workerRowBytes;
    /// Highest fence number issued so far. A worker that was erased and returns starts with this
    /// number, as it refuses lower fencing tokens than it has seen.
    std::int64_t fencesIssued = 0;
    std::unordered_map<std::string, job_state> jobs;
    /// Estimated memory of the open jobs with one occurrence each, and of their further
    /// occurrences as of the newest check of the runs and opened since, bytes.
    std::size_t reservedBytes = 0;
    std::size_t furtherBytes = 0;
    /// Jobs that may have tasks to start.
    std::set<std::string> runnableJobs;
    /// Jobs that have ended and may have runs, which are stopped.
    std::set<std::string> endedWithRuns;
    /// Jobs whose stored rows are out of date, each with its oldest unstored change.
    std::map<std::string, unstored_change> unstored;
    /// Changes that are part of the write in progress, by job.
    std::map<std::string, unstored_change> inWrite;
    /// The next write must not be delayed: a change in `unstored` is urgent, or the newest write
    /// was refused.
    bool writeUrgent = false;
    std::uint64_t changeNumber = 0;
    /// Ended jobs by the time at which they may be erased.
    std::multimap<timestamp, std::string> jobExpiries;
    /// Results of the advice calls, by queue name.
    std::map<std::string, advice_counts> adviceCounts;
    /// Observed run times, by queue name.
    std::map<std::string, run_time_record> runTimes;
    /// Run times of single tasks on all workers relative to the declared ones, by queue name.
    std::map<std::string, run_time_ratio> taskRunTimes;
    speed_table speeds;
    /// How much images slow each other down.
    interference_table interference;
    scheduler_counters counters;
    timestamp nextCheckAt = distantPast;
    timestamp nextObjectiveUpdateAt = distantPast;
    /// State that affects placement has changed since the last placement round.
    bool needsPlacement = false;
    /// The newest placement round ended at the limit of planned steps.
    bool isRoundLimited = false;
    timestamp lastCrashAt = distantPast;
    /// A life that a previous scheduler used has ended, or its leases have, before it answered this
    /// one. Restored tasks may have crashed it.
    bool hasUnknownCrash = false;
    /// Calls for advice that were ordered and not yet prepared to be sent.
    std::size_t queuedLongCalls = 0;
    std::size_t queuedShortCalls = 0;
};

/// Starts acting under `epoch`, which must be higher than that of any earlier scheduler.
void beginEpoch(scheduler &cell, std::int64_t epoch, timestamp now);

/// Applies a configuration if its version is higher than that of the current one; ignores it
/// otherwise.
void changeConfig(scheduler &cell, const cell_config &config);

/// Returns the queue's policy, or null if the configuration has no such queue.
const queue_policy *findQueue(const cell_config &config, const std::string &name);

/// Adds a worker that a previous scheduler used, whether or not the registry lists it. `row`: row
/// of the stored list that has it. Must be called before the first event.
void restoreWorker(scheduler &cell, const worker_entry &entry, timestamp now, std::size_t row = 0);

/// Applies the registry's current list of workers; workers that it lacks get no new tasks. Workers
/// that are neither known nor restored cannot have runs of earlier schedulers, which use only
/// workers of the stored list.
void changeWorkers(scheduler &cell, const std::vector<worker_entry> &entries, timestamp now);

/// Returns the demand reserved on the worker; zero if it is unknown.
resources demandOnWorker(const scheduler &cell, const std::string &worker);

/// Returns the number of workers whose runs need more than their capacity, as it has shrunk.
std::int64_t countOvercommittedWorkers(const scheduler &cell);

// Jobs.

/// Adds a job, which starts once it is stored. Returns false if a job of this id exists.
bool acceptJob(scheduler &cell, const job_spec &spec, const queue_policy &policy, timestamp now);
/// Removes a job that was never part of a write. Returns false if the job may be in the store or
/// is unknown.
bool withdrawJob(scheduler &cell, const std::string &id);
/// Adds a job loaded from the store at a takeover. Must be called before the first event.
void restoreJob(scheduler &cell, job_state job, timestamp now);
/// Adds a job that ended under a previous scheduler and whose rows are still to be removed.
void restoreEndedJob(scheduler &cell, const std::string &id, job_phase phase, timestamp now);
/// Cancels the job and stops its runs; has no effect on a job that has ended. Returns false if the
/// job is unknown.
bool cancelJob(scheduler &cell, const std::string &id, timestamp now, orders &out);
/// Returns the job, or null if it is unknown.
job_state *findJob(scheduler &cell, const std::string &id);
/// Returns the number of stored jobs of the queue that have not ended and of which no worker is
/// known to have begun a task.
std::int64_t countPendingJobs(const scheduler &cell, const std::string &queue);
/// As `countPendingJobs`, for all queues in one pass over the jobs; queues without pending jobs are
/// left out.
std::map<std::string, std::int64_t> countPendingByQueue(const scheduler &cell);
/// What a change takes in a write.
struct write_size
{
    std::size_t rows = 0;
    std::size_t bytes = 0;
};

/// Returns what storing the change takes.
using size_of_change = std::function<write_size(const std::string &job)>;

struct write_limits
{
    std::size_t rows = 0;
    std::size_t bytes = std::numeric_limits<std::size_t>::max();
    std::size_t changes = std::numeric_limits<std::size_t>::max();
};

/// Moves unstored changes into a new write within the limits and returns their job ids, among them
/// those of `workerRowChange`. Takes urgent changes first, oldest first, but keeps a quarter of the
/// write for all changes by age, so that neither kind starves the other. If the oldest change does
/// not fit into that quarter, it is the first one. A change that exceeds the limits by itself is
/// left out.
std::vector<std::string> beginWrite(scheduler &cell, const write_limits &limits,
                                    const size_of_change &sizeOf);
/// Ends the write in progress, which is stored; ends whose effect is stored are acknowledged with
/// the next polls.
void onWritten(scheduler &cell, timestamp now);
/// Ends the write in progress, which has had no effect and never will; its changes become unstored
/// again.
void onWriteRefused(scheduler &cell);
/// Whether the job is known, is not in the store and is not part of a write.
bool isUnwritten(const scheduler &cell, const std::string &id);

// Answers of workers and of the advisory service.

/// Handles the outcome of a start order. An unanswered order requests a fence of the worker; a
/// refused one releases the run. `workerClock`: the worker's steady clock in the answer,
/// microseconds; 0 if it is not known.
void onStartOutcome(scheduler &cell, const start_order &order, order_outcome outcome, timestamp now,
                    orders &out, std::int64_t workerClock = 0);
/// Whether the outcome of the start order is still awaited: the run has not been released, and
/// nothing shows that the worker has begun another life.
bool isAwaited(scheduler &cell, const start_order &order);
/// Handles the outcome of a stop order; the run is released when its end is reported.
void onStopOutcome(scheduler &cell, const stop_order &order, order_outcome outcome, timestamp now);
/// Handles a worker's answer to a poll that was sent at `sentAt`.
void onReport(scheduler &cell, const poll_order &order, const worker_report &report,
              timestamp sentAt, timestamp now, orders &out);
/// Handles a poll that was refused or got no answer.
void onPollFailed(scheduler &cell, const poll_order &order, order_outcome outcome, timestamp now,
                  orders &out);
/// Chooses the workers of a queued call anew when it is about to be sent. Returns false, and drops
/// the call, if the step has nothing to ask any more.
bool prepareAdvice(scheduler &cell, advice_order &order, timestamp now);
/// Handles the advisory service's answer: `allowed` lists worker and ticket, `valid` is the
/// tickets' validity. Workers that were asked about and are absent from `allowed` are not
/// allowed.
void onAdvice(scheduler &cell, const advice_order &order,
              const std::vector<std::pair<std::string, std::string>> &allowed, microseconds valid,
              timestamp now);
/// Handles a failed call of the advisory service; the call is retried after a pause.
void onAdviceFailed(scheduler &cell, const advice_order &order, timestamp now);

/// Orders the polls that are due, checks running tasks and places waiting tasks.
void decide(scheduler &cell, timestamp now, orders &out);

/// Returns the time by which `decide` must be called next.
timestamp nextDeadline(const scheduler &cell);

// Internal functions, shared by the scheduler's source files.

/// Returns the current fencing token for the worker: epoch and number of the worker's fence.
std::int64_t fencingToken(const scheduler &cell, const worker_state &worker);
/// Returns the time after which every lease that an earlier scheduler granted to a worker that has
/// not been fenced has expired, on the lives for which it built its orders; `distantFuture` if that
/// is not known.
timestamp predecessorLeaseExpiry(const scheduler &cell);
/// As `predecessorLeaseExpiry`, for a worker that may have carried out an order that was built for
/// an earlier life.
timestamp longestPredecessorLeaseExpiry(const scheduler &cell);
/// Notes that the worker may hold leases until `end` that orders for an earlier life have granted;
/// its stored row tells a successor.
void noteForeignLeases(scheduler &cell, worker_state &worker, timestamp end);
/// Removes that note once the leases have ended.
void endForeignLeases(scheduler &cell, worker_state &worker, timestamp now);
/// Grants the longest lease allowed at `now` and returns its end on the worker's clock.
std::int64_t grantLease(const scheduler &cell, worker_state &worker, timestamp now);
/// Computes the job's objective, and the expected times to its end, from the run times observed in
/// its queue so far.
void updateObjective(const scheduler &cell, job_state &job);
/// Marks the job's stored rows as out of date; `urgent`: a caller is waiting. Returns the number of
/// the change.
std::uint64_t recordChange(scheduler &cell, const std::string &job, bool urgent);
/// Marks the job as begun: a worker has accepted the start of one of its tasks, or has listed a run
/// of one or the end of such a run.
void noteBegin(job_state &job);
/// Records a change that stores that the job has begun, unless there was one. Must be called before
/// the workers cease to list the run, as a later scheduler learns of it from them otherwise.
/// Returns the number of the change; 0 if there is nothing to store.
std::uint64_t recordBegin(scheduler &cell, job_state &job);
/// Includes the job in the next placement round, unless it has ended.
void markRunnable(scheduler &cell, const job_state &job);
/// Frees the capacity of a run that no longer exists; the task may be started again.
void releaseRun(scheduler &cell, const task_id &id, job_state &job, task_state &task);
/// Ends the job in its final phase and stops its runs; has no effect on a job that has ended.
void finishJob(scheduler &cell, job_state &job, job_phase phase, timestamp now, orders &out);
/// Orders a run to stop; has no effect if its worker is unknown.
void stopRun(scheduler &cell, const task_id &id, task_state &task, timestamp now, orders &out);
/// Orders all runs of the job to stop.
void stopAllRuns(scheduler &cell, job_state &job, timestamp now, orders &out);
/// Releases the runs of a silent worker whose leases have expired.
void releaseExpiredRuns(scheduler &cell, worker_state &worker, timestamp now, orders &out);
/// Releases all runs of a worker that is gone.
void releaseAllRuns(scheduler &cell, worker_state &worker, timestamp now, orders &out);
/// Applies one reported end to its task, its job and the worker.
void applyEnd(scheduler &cell, worker_state &worker, const reported_end &end, timestamp now,
              orders &out);
/// Whether the checkpoint that a worker has reported is to be kept; counts one that is too long.
bool isKeptCheckpoint(scheduler &cell, const std::string &checkpoint);
/// Returns the specification of a step; `step` must be a valid index.
const step_spec &stepOf(const job_state &job, int step);
/// Updates the speeds that decisions use, and reports when those of a service begin or cease to be
/// used.
void updateSpeeds(scheduler &cell, timestamp now, orders &out);
/// Runs one placement round if anything that affects placement has changed.
void placeWaiting(scheduler &cell, timestamp now, orders &out);
/// Stops gangs that do not become complete and runs without progress, repeats unanswered stops and
/// erases ended jobs after their retention time.
void checkRuns(scheduler &cell, timestamp now, orders &out);

} // namespace bramleygrade::cell
