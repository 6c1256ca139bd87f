#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "bramleygrade/values.h"

/// \file
/// Values that the cell scheduler decides with. Times are `timestamp` (microseconds of this
/// process's steady clock) unless a field says otherwise.

namespace bramleygrade::cell {

/// An amount of what a worker has: thousandths of a processor, mebibytes, accelerators.
struct resources
{
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    friend bool operator==(const resources &a, const resources &b)
    {
        return a.cpuMilli == b.cpuMilli && a.memoryMb == b.memoryMb
            && a.accelerators == b.accelerators;
    }
};

inline resources operator+(const resources &a, const resources &b)
{
    return {a.cpuMilli + b.cpuMilli, a.memoryMb + b.memoryMb, a.accelerators + b.accelerators};
}

inline resources operator-(const resources &a, const resources &b)
{
    return {a.cpuMilli - b.cpuMilli, a.memoryMb - b.memoryMb, a.accelerators - b.accelerators};
}

/// Whether `demand` is at most `room` in every resource.
inline bool fits(const resources &demand, const resources &room)
{
    return demand.cpuMilli <= room.cpuMilli && demand.memoryMb <= room.memoryMb
        && demand.accelerators <= room.accelerators;
}

/// Names one task: a job, its occurrence, the step and the index in the step.
struct task_id
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend bool operator==(const task_id &a, const task_id &b)
    {
        return std::tie(a.job, a.occurrence, a.step, a.index)
            == std::tie(b.job, b.occurrence, b.step, b.index);
    }
    friend bool operator<(const task_id &a, const task_id &b)
    {
        return std::tie(a.job, a.occurrence, a.step, a.index)
            < std::tie(b.job, b.occurrence, b.step, b.index);
    }
};

/// Tasks of one shape that may run at the same time.
struct step_spec
{
    int count = 1;
    /// What one task needs.
    resources demand;
    /// The team's estimate of one task's run time; it may be far off.
    microseconds estimate = 0;
    /// Steps whose tasks must all be done before.
    std::vector<int> after;
    bool checkpointing = false;
    /// All tasks run at the same time or not at all, and end together.
    bool gang = false;
    /// Tasks are much slower when they are spread over racks.
    bool sameRack = false;
    /// Label that the worker must have; empty: any worker.
    std::string requiredLabel;
    /// Rack that holds the data; empty: none.
    std::string preferredRack;
    /// Most tasks of the step on one worker; 0: no limit.
    int maxPerWorker = 0;
    /// Copies of a task may run in parallel.
    bool speculative = false;
    /// Tasks run until the job is cancelled and are started again however they end.
    bool longRunning = false;
    /// What the tasks run; equal images behave alike.
    std::string image;
    /// Bound on the tail of response times of tasks that serve users; 0: none.
    microseconds responseTarget = 0;
    /// The tasks take only capacity that others leave unused.
    bool scavenging = false;
    /// Tasks that may be unavailable at the same time by our own actions; -1: any number.
    int maxUnavailable = -1;
};

/// What one task takes from a worker's room.
inline resources reservedDemand(const step_spec &step)
{
    return step.scavenging ? resources {0, step.demand.memoryMb, step.demand.accelerators}
                           : step.demand;
}

/// What a team submits.
struct job_spec
{
    std::string id;
    std::string queue;
    /// Passed to the worker unread.
    std::string payload;
    std::vector<step_spec> steps;
    /// Number of occurrences; 0: the job runs once, at once.
    int occurrences = 0;
    /// Time of day of the first occurrence, microseconds since 1970.
    std::int64_t firstDueWall = 0;
    microseconds interval = 0;
};

/// How long the advisory service takes and how long its tickets hold.
struct advice_timing
{
    microseconds base = 0;
    microseconds perWorker = 0;
    microseconds valid = 0;

    friend bool operator==(const advice_timing &a, const advice_timing &b)
    {
        return std::tie(a.base, a.perWorker, a.valid) == std::tie(b.base, b.perWorker, b.valid);
    }
};

/// A team's rules for one queue of jobs.
struct queue_policy
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;
    /// 0 comes first.
    int priority = 0;
    /// Failed runs after which a job has failed.
    int maxAttempts = 1;
    /// The objective is this multiple of the longest chain of work, plus `latencyTarget`.
    double slackFactor = 1.0;
    microseconds latencyTarget = 0;
    bool needsAdvice = false;
    advice_timing advice;
};

/// Limits on what callers send.
struct caller_limits
{
    std::int64_t headerBytes = 16'384;
    std::int64_t bodyBytes = 262'144;
};

/// The configuration in force: all queues and the services that run their tasks.
struct cell_config
{
    std::int64_t version = 0;
    std::vector<queue_policy> queues;
    std::vector<std::string> services;
    caller_limits limits;
};

/// What the registry says of one worker.
struct worker_entry
{
    std::string id;
    std::string service;
    /// HOST:PORT
    std::string address;
    std::string failureDomain;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;

    friend bool operator==(const worker_entry &a, const worker_entry &b)
    {
        return std::tie(a.id, a.service, a.address, a.failureDomain, a.rack, a.labels, a.capacity,
                        a.draining)
            == std::tie(b.id, b.service, b.address, b.failureDomain, b.rack, b.labels, b.capacity,
                        b.draining);
    }
};

/// How a run of a task ended.
enum class end_kind { done, failed, stopped, lease_lapsed, gang_broken, gang_incomplete };

/// One run that a worker reports as running.
struct reported_run
{
    task_id task;
    int attempt = 0;
    std::string checkpoint;
    /// Progress, 0 to 100.
    int percent = 0;
};

/// One end that a worker reports until it is acknowledged.
struct reported_end
{
    std::int64_t sequence = 0;
    task_id task;
    int attempt = 0;
    end_kind how = end_kind::failed;
    std::string checkpoint;
};

/// A worker's answer to a look.
struct worker_report
{
    /// The worker's own steady clock when it answered, microseconds.
    std::int64_t workerClock = 0;
    std::vector<reported_run> running;
    std::vector<reported_end> ended;
};

enum class job_phase { queued, running, completed, failed, cancelled };

} // namespace bramleygrade::cell
