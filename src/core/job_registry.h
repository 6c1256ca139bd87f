#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/documents.h"
#include "core/worker_pool.h"

/// \file
/// Job state at the home of a service. The entry that owns the home shard of the service decides on
/// all tasks of the service, so that its quota is accounted for in one place.

namespace bramleygrade {

/// Scheduling phase of a task. `placing` waits for the owner of the rack shard to confirm the
/// start; `holding` and `held` apply to tasks of a gang, whose resources are reserved on a worker
/// before any task of the gang is started. A task in any phase but `waiting` and `ended` is active.
enum class job_task_phase { waiting, placing, holding, held, running, ended };

/// One task of a job. A new incarnation begins only once the previous one is known to have ended.
struct job_task
{
    job_task_phase phase = job_task_phase::waiting;
    std::uint64_t incarnation = 0;
    /// Rack shard that the current incarnation was sent to.
    std::string shard;
    std::string worker;
    resources committed;
    /// The worker refuses to start the current incarnation after this time.
    timestamp startBy = 0;
    timestamp nextQueryAt = 0;
    /// Receipt time of the newest report that the task is running.
    timestamp lastReportAt = 0;
    /// Earliest time of the next placement attempt.
    timestamp notBefore = 0;
    int failures = 0;
};

/// In-memory state of one job at its home.
struct job_view
{
    job_row row;
    /// Version of the row in the table; 0 until the job is stored.
    std::uint64_t rowVersion = 0;
    std::vector<job_task> tasks;
    timestamp acceptedAt = 0;
    /// The row in the table is older than `row`.
    bool isRowOutdated = false;
    /// The job is removed from memory at this time.
    timestamp evictAt = distantFuture;
    /// Earliest time of the next attempt to place the gang.
    timestamp notBefore = 0;
    int gangPlacementFailures = 0;
};

/// Recovery phase of a home shard after a change of owner: `loading` reads the job rows from the
/// table, `discovering` asks the owners of the rack shards for running tasks.
enum class home_phase { unknown, loading, discovering, ready };

/// Recovery state of one home shard.
struct job_home
{
    home_phase phase = home_phase::unknown;
    std::uint64_t epoch = 0;
    timestamp nextRecoveryStepAt = 0;
    /// Number that the current `find_tasks` queries carry; answers with another number are ignored.
    std::uint64_t discoveryNumber = 0;
    timestamp discoveryStartedAt = 0;
    /// Rack shards whose owners have not answered `find_tasks` yet.
    std::set<std::string> unansweredRacks;
};

/// A submitted job whose row is not yet known to be in the table.
struct pending_submit
{
    operation_origin origin;
    timestamp responseDeadline = 0;
};

/// Observed resource usage of the tasks of a service, in percent of the declared resources.
struct usage_estimate
{
    std::int64_t cpuPercent = 100;
    std::int64_t memoryPercent = 100;
    int reportCount = 0;
};

/// All jobs whose homes this entry owns, and the recovery state of the homes.
struct job_registry
{
    /// Jobs by `service/id`.
    std::map<std::string, job_view> jobs;
    /// Homes by home shard.
    std::map<std::string, job_home> homes;
    /// Submissions by `service/id`.
    std::map<std::string, pending_submit> pendingSubmits;
    /// Usage estimates by service, from the tasks' observed usage.
    std::map<std::string, usage_estimate> usage;
    /// Resources committed to all active tasks, by service.
    std::map<std::string, resources> committedResources;
    std::uint64_t nextDiscoveryNumber = 1;
    timestamp nextPlacementAt = 0;
    timestamp nextRowWriteAt = 0;
    std::uint64_t starts = 0;
};

/// An operator's request that was forwarded to a peer and has not been answered.
struct forwarded_request
{
    /// Handle under which the operator is answered.
    std::uint64_t handle = 0;
    operator_action action = operator_action::get;
    /// Service or job that the request is about.
    std::string subject;
    timestamp responseDeadline = 0;
};

/// Operators' requests that this entry has forwarded.
struct forwarding_state
{
    /// Requests by the number under which they were forwarded.
    std::map<std::uint64_t, forwarded_request> forwarded;
    std::uint64_t nextNumber = 1;
};

/// Returns the name of a job, `service/id`.
inline std::string jobName(const job_specification &job)
{
    return job.service + "/" + job.id;
}

/// Returns the service part of a job name.
inline std::string serviceOfJob(const std::string &name)
{
    return name.substr(0, name.find('/'));
}

} // namespace bramleygrade
