#pragma once

#include <map>
#include <string>
#include <vector>

#include "cell/scheduler.h"

/// \file
/// Explains why tasks wait, for log lines and metrics. Nothing here affects decisions.

namespace bramleygrade::cell {

/// Why the waiting tasks of a step have not been started.
enum class wait_reason {
    startable, ///< the next placement round can start at least one of them
    job_not_stored,
    workers_not_reconciled, ///< the job was restored; its tasks may run on workers yet to report
    order_unanswered, ///< a start or stop order got no answer, and no fence has resolved it yet
    runs_not_ended, ///< a stopped run, or an active member of a broken gang, has not ended
    no_eligible_worker, ///< no worker has the service and the label
    no_usable_worker, ///< all eligible workers are silent, draining or avoided
    advice_queued, ///< a call for advice waits for an entry that makes it
    advice_pending, ///< a call for advice is under way
    advice_missing, ///< no call for advice is under way, and some workers were never asked about
    not_allowed, ///< all usable workers were asked about and none is allowed
    tickets_expired,
    allowed_workers_full,
    reserved_for_gang, ///< the free capacity is reserved for a gang
    gang_capacity_limit, ///< other gangs hold as much capacity as gangs may; not planned
    gang_exceeds_workers, ///< the workers lack room for the gang even without runs that end
    no_capacity,
    team_cap, ///< the cap of the job's team has no room for a task, or for the whole gang
};

/// Returns the reason's name, as used in metrics and log lines.
const char *waitReasonName(wait_reason reason);

/// The tasks of one step that wait.
struct step_wait
{
    std::size_t tasks = 0;
    wait_reason reason = wait_reason::startable;
    int occurrence = 0;
    int step = 0;

    friend bool operator==(const step_wait &a, const step_wait &b)
    {
        return std::tie(a.tasks, a.reason, a.occurrence, a.step)
            == std::tie(b.tasks, b.reason, b.occurrence, b.step);
    }
};

/// Capacity reserved for gangs, by worker.
using reserved_capacity = std::map<std::string, resources>;

reserved_capacity sumReservations(const scheduler &cell, timestamp now);

/// Returns the number of the job's tasks that wait: their steps are ready, and they have no run, or
/// an order about their run has been unanswered for too long.
std::size_t countWaitingTasks(const job_state &job, timestamp now);

/// Explains the first step of the job that has waiting tasks. `tasks` is 0 if there is none.
step_wait explainWait(const scheduler &cell, const job_state &job,
                      const reserved_capacity &reserved, timestamp now);

/// A job whose tasks wait without progress.
struct waiting_job
{
    timestamp since = distantPast;
    std::size_t tasks = 0;
    timestamp nextReportAt = distantFuture;
    step_wait newest;
};

/// Jobs that wait, by id.
using waiting_jobs = std::map<std::string, waiting_job>;

/// Limits on the reports of waiting jobs.
struct wait_report_limits
{
    /// Time without progress after which a job is reported; doubles with each of its reports.
    microseconds firstReport = 2 * second;
    /// Jobs reported by one call of `reportWaitingJobs`.
    std::size_t reportsPerCall = 8;
};

/// Updates `jobs`, and returns the ids of those that are to be reported now, longest wait first.
std::vector<std::string> reportWaitingJobs(waiting_jobs &jobs, const scheduler &cell,
                                           const wait_report_limits &limits, timestamp now);

} // namespace bramleygrade::cell
