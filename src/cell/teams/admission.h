#pragma once

#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "cell/types.h"

/// \file
/// Decides whether a submitted job is accepted, by its team's cap and share and by the wait that is
/// to be expected. Nothing is computed while the configuration has no teams.

namespace bramleygrade::cell {

struct scheduler;
struct job_state;

/// Processor time that tasks wait for, in thousandths of a processor times microseconds.
using cpu_work = double;

/// Work by whether it is beyond a share, and by the priority of its queue.
using work_by_order = std::map<std::pair<bool, int>, cpu_work>;

/// What waits for the workers of one service, and the processors that work it off.
struct service_queue
{
    work_by_order work;
    /// Processors of the usable workers without those of long-running tasks, in thousandths.
    double cpuMilli = 0;
};

/// Work that waits, as of `updatedAt` and with the jobs accepted since.
struct queued_work
{
    std::map<std::string, service_queue> byService;
    /// Work of each team with a cap, wherever it waits.
    std::map<std::string, work_by_order> byTeam;
    timestamp updatedAt = distantPast;
};

/// A refusal of a submission, which was not stored and never will be.
struct team_refusal
{
    std::string reason;
    microseconds retryAfter = 0;
    microseconds expectedWait = 0;
};

/// Sums up the work that waits, at most every 500 ms. Called only where the configuration has
/// teams.
void updateQueuedWork(scheduler &cell, timestamp now);
/// Deducts a task that starts; what it adds if it has to start again counts with the next sum.
void removeQueuedWork(scheduler &cell, const job_state &job, int step);

/// Returns the expected wait of a new job of the queue: the work ahead of it over the rate at which
/// the service works it off; for a team with a cap at least its own work over its cap.
microseconds expectWait(const scheduler &cell, const queue_policy &policy, const std::string &team,
                        bool beyondShare);

/// Marks the job if it is beyond its team's share, and returns why it is refused; no value if it is
/// to be accepted, in which case it is counted as accepted.
std::optional<team_refusal> admitOrRefuse(scheduler &cell, job_spec &spec,
                                          const queue_policy &policy, timestamp now);

} // namespace bramleygrade::cell
