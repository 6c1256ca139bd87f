#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/job_state.h"
#include "cell/worker_state.h"

/// \file
/// Decides which task runs where. The scheduler has no input or output of its own: callers feed
/// it events and carry out the orders it returns. One scheduler acts at a time; workers refuse
/// the orders of earlier ones by their fencing token.
///
///     scheduler cell;
///     beginEpoch(cell, epoch, now);
///     changeWorkers(cell, registry, now, orders);
///     acceptJob(cell, spec, policy, now);
///     decide(cell, now, orders);   // orders.starts, orders.looks, ...
///
/// Guarantees: no worker is promised more than its capacity; no task has two runs unless it is
/// speculative; a task is started again only after its former run has been listed as ended, was
/// fenced away, or has lost its lease; nothing starts before its job is stored.

namespace bramleygrade::cell {

struct start_order
{
    task_id task;
    int attempt = 0;
    std::string worker;
    std::string payload;
    std::string ticket;
    std::string checkpoint;
    /// On the worker's clock.
    std::int64_t leaseUntil = 0;
    std::int64_t fencingToken = 0;
};

struct stop_order
{
    task_id task;
    int attempt = 0;
    std::string worker;
    std::int64_t fencingToken = 0;
};

/// Renews the lease of a worker and asks for its report.
struct poll_order
{
    std::string worker;
    std::int64_t fencingToken = 0;
    std::int64_t acknowledgedEnd = 0;
    /// On the worker's clock; 0: its clock is not known yet.
    std::int64_t leaseUntil = 0;
    /// How long the worker may wait for an end.
    microseconds wait = 0;
    /// Settles orders that got no answer.
    bool fence = false;
};

struct advice_order
{
    task_id step;
    std::vector<std::string> workers;
    /// Time that the advisory service will take.
    microseconds expected = 0;
    bool longCall = false;
    /// Lower is asked first: late jobs after those on time, then the team's priority.
    int priority = 0;
};

/// A decision worth a log line.
struct decision_event
{
    std::string event;
    std::string job;
    std::string detail;
};

/// What a call of the scheduler asks its caller to do.
struct orders
{
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<poll_order> polls;
    std::vector<advice_order> advice;
    std::vector<decision_event> events;
};

enum class order_outcome {
    accepted,
    refused_fence, ///< a newer token has been seen
    refused_stale, ///< the attempt is not newer than one that ended there
    refused_expired, ///< the lease was over before the order was carried out
    refused_capacity, ///< the task does not fit
    refused_ticket, ///< the advice does not hold any more
    refused_unhealthy, ///< the worker takes no work now; nothing was done
    refused_incarnation, ///< another incarnation answers at the address
    not_sent, ///< no connection could be made; nothing was done
    unanswered, ///< it may be carried out, now or later
};

struct scheduler_settings
{
    lease_limits lease;
    /// How long a look waits for an end; at most 2 s (users' protocol).
    microseconds pollWait = 1'500 * millisecond;
    microseconds gangTimeout = 3 * second;
    microseconds stopTimeout = 900 * millisecond;
    /// How long ended jobs are remembered.
    microseconds endedKept = 120 * second;
    /// Time that a predecessor may go on ordering after it was succeeded.
    microseconds predecessorGrace = 0;
};

struct advice_counts
{
    /// Advice: workers asked about and workers allowed.
    double asked = 1.0;
    double allowed = 0.5;
};

struct scheduler_counters
{
    std::uint64_t starts = 0;
    std::uint64_t refusedStarts = 0;
    std::uint64_t unansweredOrders = 0;
    std::uint64_t endsDone = 0;
    std::uint64_t endsFailed = 0;
    std::uint64_t endsOther = 0;
    std::uint64_t adviceCalls = 0;
    std::uint64_t lapsedWorkers = 0;
    std::uint64_t jobsAccepted = 0;
    std::uint64_t jobsCompleted = 0;
    std::uint64_t jobsFailed = 0;
    std::uint64_t jobsCancelled = 0;
    std::uint64_t stalledRuns = 0;
    std::uint64_t preemptedRuns = 0;
};

/// A change that the store does not hold yet.
struct unsaved_change
{
    /// Rises with each change of any job.
    std::uint64_t number = 0;
    /// A caller waits for it.
    bool urgent = false;
};

struct scheduler
{
    scheduler_settings settings;
    std::int64_t epoch = 0;
    timestamp tookOverAt = distantPast;
    cell_config config;
    std::map<std::string, worker_state> workers;
    /// Fences raised so far; a worker that is forgotten and comes back starts with this number.
    std::int64_t fences = 0;
    std::unordered_map<std::string, job_state> jobs;
    /// Jobs with tasks that may be started.
    std::set<std::string> runnableJobs;
    /// Jobs whose stored rows are out of date, with their oldest unstored change.
    std::map<std::string, unsaved_change> unsaved;
    /// The same for the write under way.
    std::map<std::string, unsaved_change> inWrite;
    /// A caller waits for one of the changes in `unsaved`.
    bool writeUrgent = false;
    std::uint64_t changeNumber = 0;
    /// Ended jobs by the time they may be forgotten.
    std::multimap<timestamp, std::string> jobExpiries;
    std::map<std::string, advice_counts> queues;
    scheduler_counters counters;
    timestamp nextCheckAt = distantPast;
    /// Something has changed since work was last placed.
    bool needsPlacement = false;
};

/// Starts to act with `epoch`, which must be higher than any earlier one.
void beginEpoch(scheduler &cell, std::int64_t epoch, timestamp now);

void changeConfig(scheduler &cell, const cell_config &config);

/// The policy of the queue in force; null if there is none.
const queue_policy *findQueue(const cell_config &config, const std::string &name);

/// Takes in a worker that a predecessor used, whether the registry holds it or not; call before
/// the first event.
void restoreWorker(scheduler &cell, const worker_entry &entry, timestamp now);

/// Replaces what the registry says of the workers.
void changeWorkers(scheduler &cell, const std::vector<worker_entry> &entries, timestamp now);

// Jobs.

/// Takes a job in; returns false if it is known already. It is started once stored.
bool acceptJob(scheduler &cell, const job_spec &spec, const queue_policy &policy, timestamp now);
/// Takes a job back that was never part of a write; returns false if it may be stored.
bool withdrawJob(scheduler &cell, const std::string &id);
/// Takes in a job from the store after a takeover; call before the first event.
void restoreJob(scheduler &cell, job_state job, timestamp now);
/// Takes in a job that had ended under a predecessor and whose rows are still to be removed.
void restoreEndedJob(scheduler &cell, const std::string &id, job_phase phase, timestamp now);
/// Cancels; returns false if the job is unknown.
bool cancelJob(scheduler &cell, const std::string &id, timestamp now, orders &out);
job_state *findJob(scheduler &cell, const std::string &id);
/// Accepted jobs of the queue of which no task has started.
std::int64_t pendingJobs(const scheduler &cell, const std::string &queue);
/// Stands for the list of workers among the names of changed jobs.
constexpr char workerListChange[] = "";

/// Number of rows that a write of the job's change takes.
using rows_of_change = std::function<std::size_t(const std::string &job)>;

/// Moves unstored changes into the write under way and names their jobs; one of the names may be
/// `workerListChange`. Takes those that callers wait for first and the oldest first, with a
/// quarter of `maxRows` for the others, so that neither keeps the other out for ever.
std::vector<std::string> beginWrite(scheduler &cell, std::size_t maxRows,
                                    const rows_of_change &rowsOf);
/// The write under way is in the store.
void onWritten(scheduler &cell, timestamp now);
/// The write under way has had no effect and never will.
void onWriteRefused(scheduler &cell);
/// Whether the store holds nothing of the job yet and the job is part of no write.
bool isUnwritten(const scheduler &cell, const std::string &id);

// Answers of workers and of the advisory service.

void onStartOutcome(scheduler &cell, const start_order &order, order_outcome outcome, timestamp now,
                    orders &out);
void onStopOutcome(scheduler &cell, const stop_order &order, order_outcome outcome, timestamp now);
void onReport(scheduler &cell, const poll_order &order, const worker_report &report,
              timestamp sentAt, timestamp now, orders &out);
void onPollFailed(scheduler &cell, const poll_order &order, order_outcome outcome, timestamp now,
                  orders &out);
void onAdvice(scheduler &cell, const advice_order &order,
              const std::vector<std::pair<std::string, std::string>> &allowed, microseconds valid,
              timestamp now);
void onAdviceFailed(scheduler &cell, const advice_order &order, timestamp now);

/// Places what can be placed and sends the looks that are due.
void decide(scheduler &cell, timestamp now, orders &out);

/// Time of the next look or deadline that `decide` must be called for.
timestamp nextDeadline(const scheduler &cell);

// Shared by the parts of the scheduler.

std::int64_t fencingToken(const scheduler &cell, const worker_state &worker);
std::uint64_t recordChange(scheduler &cell, const std::string &job, bool urgent);
void markRunnable(scheduler &cell, const job_state &job);
void releaseRun(scheduler &cell, const task_id &id, job_state &job, task_state &task);
void finishJob(scheduler &cell, job_state &job, job_phase phase, timestamp now, orders &out);
void stopRun(scheduler &cell, const task_id &id, task_state &task, timestamp now, orders &out);
void stopAllRuns(scheduler &cell, job_state &job, timestamp now, orders &out);
/// Frees everything that ran on a worker that is gone or whose leases are over.
void releaseAllRuns(scheduler &cell, worker_state &worker, timestamp now, orders &out);
void applyEnd(scheduler &cell, worker_state &worker, const reported_end &end, timestamp now,
              orders &out);
const step_spec &stepOf(const job_state &job, int step);
void placeWaiting(scheduler &cell, timestamp now, orders &out);
/// Finds gangs that cannot become complete and runs that make no progress.
void checkRuns(scheduler &cell, timestamp now, orders &out);

} // namespace bramleygrade::cell
