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
/// Jobs as their home knows them: one entry, the owner of the home shard of the service, decides on
/// all tasks of a service, so that its quota is counted in one place.

namespace bramleygrade {

enum class job_task_phase { waiting, placing, holding, held, running, ended };

/// One task of a job. A new incarnation begins only once the former one is known to have ended.
struct job_task
{
    job_task_phase phase = job_task_phase::waiting;
    std::uint64_t incarnation = 0;
    /// Where the current incarnation was sent.
    std::string shard;
    std::string worker;
    resources committed;
    timestamp startBy = 0;
    timestamp nextQueryAt = 0;
    /// When the owner last said that the task runs.
    timestamp heardAt = 0;
    /// Not placed again before this time.
    timestamp notBefore = 0;
    int failures = 0;
};

struct job_view
{
    job_row row;
    std::uint64_t rowVersion = 0;
    std::vector<job_task> tasks;
    timestamp acceptedAt = 0;
    /// The row in the table lags behind what is known here.
    bool isRowOutdated = false;
    timestamp forgetAt = distantFuture;
    /// A gang that missed waits until then.
    timestamp notBefore = 0;
    int gangPlacementFailures = 0;
};

/// Recovery of a home shard after a change of owner.
enum class home_phase { unknown, loading, finding, ready };

struct job_home
{
    home_phase phase = home_phase::unknown;
    std::uint64_t epoch = 0;
    timestamp nextRecoveryStepAt = 0;
    std::uint64_t discoveryNumber = 0;
    timestamp discoveryStartedAt = 0;
    /// Rack shards that have not told yet what runs there.
    std::set<std::string> missing;
};

/// A job that is being written for an operator.
struct pending_submit
{
    operation_origin origin;
    timestamp answerBy = 0;
};

/// What tasks of a service really take of what they declare, in percent.
struct usage_estimate
{
    std::int64_t cpuPercent = 100;
    std::int64_t memoryPercent = 100;
    int reports = 0;
};

struct job_registry
{
    /// Key is `service/id`.
    std::map<std::string, job_view> jobs;
    std::map<std::string, job_home> homes;
    std::map<std::string, pending_submit> submits;
    std::map<std::string, usage_estimate> usage;
    /// What tasks of a service take together.
    std::map<std::string, resources> used;
    std::uint64_t nextDiscoveryNumber = 1;
    timestamp nextPlacementAt = 0;
    timestamp nextRowWriteAt = 0;
    std::uint64_t starts = 0;
};

/// An operator's request that was passed on to a peer.
struct pending_operation
{
    std::uint64_t handle = 0;
    operator_action action = operator_action::get;
    std::string subject;
    timestamp answerBy = 0;
};

struct forwarding_state
{
    std::map<std::uint64_t, pending_operation> forwarded;
    std::uint64_t nextNumber = 1;
};

/// Key of a job: `service/id`.
inline std::string jobName(const job_specification &job)
{
    return job.service + "/" + job.id;
}
/// Service of a job key.
inline std::string serviceOfJob(const std::string &name)
{
    return name.substr(0, name.find('/'));
}

} // namespace bramleygrade
