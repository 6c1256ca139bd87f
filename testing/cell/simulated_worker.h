#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cell/scheduler.h"

namespace bramleygrade::testing {

/// What the ledger of a history saw go wrong.
using fault_list = std::vector<std::string>;

/// What a task really does, whatever its team declares.
struct task_truth
{
    microseconds work = second;
    /// Number of runs that fail before one succeeds.
    int failingRuns = 0;
};

/// A run on a worker double.
struct double_run
{
    int attempt = 0;
    timestamp startedAt = 0;
    timestamp endsAt = 0;
    cell::end_kind how = cell::end_kind::done;
    cell::resources demand;
};

/// A worker in virtual time: it refuses lower tokens, kills everything when its lease is over, and
/// lists ends until they are acknowledged.
struct worker_double
{
    cell::worker_entry entry;
    bool up = true;
    std::int64_t token = 0;
    timestamp leaseUntil = 0;
    std::map<cell::task_id, double_run> runs;
    std::vector<cell::reported_end> ended;
    std::int64_t lastEnd = 0;
    std::int64_t acknowledged = 0;
    /// Highest attempt of each task that ended or was stopped here.
    std::map<cell::task_id, int> closed;
};

/// What every worker did, over all schedulers: the judge of a history.
struct run_ledger
{
    std::map<cell::task_id, std::set<std::string>> runningOn;
    /// Tasks whose end as done has been acknowledged.
    std::set<cell::task_id> doneAcknowledged;
    /// Tasks with a run that ended as done, acknowledged or not.
    std::set<cell::task_id> doneEnded;
    std::map<cell::task_id, std::set<int>> failuresAcknowledged;
    std::map<std::string, timestamp> cancelledAt;
    std::map<cell::task_id, task_truth> truth;
    std::map<cell::task_id, int> runsSoFar;
    std::map<std::string, cell::job_spec> jobs;
    std::map<std::string, int> maxAttempts;
    std::uint64_t starts = 0;
    fault_list faults;
};

/// Ends what is over at `now`: finished work, and everything if the lease has run out.
void advance(worker_double &worker, run_ledger &ledger, timestamp now);

cell::order_outcome startRun(worker_double &worker, run_ledger &ledger,
                             const cell::start_order &order, timestamp now);
cell::order_outcome stopRun(worker_double &worker, run_ledger &ledger,
                            const cell::stop_order &order, timestamp now);
cell::order_outcome lookAt(worker_double &worker, run_ledger &ledger, const cell::poll_order &order,
                           timestamp now, cell::worker_report &report);
/// The worker is gone with all that ran on it.
void crash(worker_double &worker, run_ledger &ledger);

} // namespace bramleygrade::testing
