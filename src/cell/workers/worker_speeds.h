#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell/workers/run_times.h"
#include "cell/workers/worker_state.h"

/// \file
/// Speeds of workers, learned from the run times of their tasks. The run time of a task relative to
/// the declared one is the product of a factor of its queue and a factor of its worker; both are
/// learned together, so that the speeds stay right where a queue's tasks run on fast workers only.
/// The speeds of a service are used only while they differ by a wide margin. All times are natural
/// logarithms here. The table lives in the scheduler's memory; a successor learns the speeds anew,
/// and decides as on workers of like speed until then.

namespace bramleygrade::cell {

/// What is known of the speed of one worker, over all its lives. `service`, `kind`, `rack` and
/// `capacity` are those of the registry; it starts anew when one of them changes.
struct worker_speed
{
    std::string service;
    /// The worker's labels except its rack.
    std::string kind;
    std::string rack;
    resources capacity;
    std::string address;
    /// Job of the newest run that was added.
    std::string job;
    int runs = 0;
    /// Mean run time, relative to that of the queues' tasks on all workers.
    double mean = 0;
    /// Run times of scavenging tasks, which depend on the processor time that others leave.
    run_time_ratio scavenged;
    /// Time at which the cell last had the worker.
    timestamp seenAt = distantPast;
};

/// Speeds of the workers of one service.
struct service_speeds
{
    /// Workers with enough runs for their speed to be known.
    int knownWorkers = 0;
    /// Standard deviation of the known workers' run times, without the error of the estimates.
    double spread = 0;
    /// The speeds are used in decisions.
    bool used = false;
};

struct speed_table
{
    std::map<std::string, run_time_ratio> queues;
    /// As `queues`, of scavenging tasks.
    std::map<std::string, run_time_ratio> scavengingQueues;
    std::unordered_map<std::string, worker_speed> workers;
    std::map<std::string, service_speeds> services;
    /// Variance of single runs around the means of their queue and worker, from `varianceRuns`
    /// runs.
    double runVariance = 0;
    int varianceRuns = 0;
    timestamp nextRefreshAt = distantPast;
};

/// Adds a run of a task of `job` that is neither part of a gang nor scavenging. Does nothing if one
/// of the times is not positive, or if the newest run that was added for the worker is of the same
/// job: the declared times of a job's tasks are off by the same factor, which one run shows as well
/// as many.
void recordWorkerSpeed(speed_table &table, const worker_entry &entry, const std::string &queue,
                       const std::string &job, microseconds declared, microseconds observed,
                       timestamp now);

/// Adds a run of a scavenging task; it tells nothing about the speed of the worker itself.
void recordScavengedRun(speed_table &table, const worker_entry &entry, const std::string &queue,
                        microseconds declared, microseconds observed, timestamp now);

/// Recomputes the spread of each service's speeds and `logRunTime` and `logScavenged` of its
/// workers; does nothing if that was done within the last second. Returns the services whose speeds
/// have begun or ceased to be used.
std::vector<std::string> refreshWorkerSpeeds(speed_table &table,
                                             std::map<std::string, worker_state> &workers,
                                             timestamp now);

} // namespace bramleygrade::cell
