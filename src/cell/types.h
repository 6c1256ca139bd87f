#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "bramleygrade/values.h"

/// \file
/// Value types of the cell scheduler. Times are `timestamp` (microseconds of this process's steady
/// clock) unless a field says otherwise.

namespace bramleygrade::cell {

/// Amounts of a worker's resources: thousandths of a processor, mebibytes, accelerators.
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

/// Whether `demand` is at most `available` in every resource.
inline bool fits(const resources &demand, const resources &available)
{
    return demand.cpuMilli <= available.cpuMilli && demand.memoryMb <= available.memoryMb
        && demand.accelerators <= available.accelerators;
}

/// Identifies one task: job, occurrence, step and index in the step.
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

/// Returns the number of the task within its job, as in log lines: occurrence, step and index.
inline std::string formatTaskNumber(const task_id &id)
{
    return std::to_string(id.occurrence) + "." + std::to_string(id.step) + "."
        + std::to_string(id.index);
}

/// A step of a job: equal tasks that may run in parallel.
struct step_spec
{
    int count = 1;
    /// Resources that one task needs.
    resources demand;
    /// The team's estimate of one task's run time; it may be far too low or too high.
    microseconds estimate = 0;
    /// Indices of the steps whose tasks must all be done before this step starts.
    std::vector<int> after;
    bool checkpointing = false;
    /// All tasks run at the same time or not at all, and end together.
    bool gang = false;
    /// Tasks run on one rack if any rack can take them all; they are much slower across racks.
    bool sameRack = false;
    /// Label that the worker must have; empty: no label is required.
    std::string requiredLabel;
    /// Rack that holds the input data; empty: no preference.
    std::string preferredRack;
    /// Maximum number of tasks of the step on one worker; 0: no limit.
    int maxPerWorker = 0;
    /// Copies of a task may run in parallel.
    bool speculative = false;
    /// Tasks run until the job is cancelled and are restarted whatever their outcome.
    bool longRunning = false;
    /// Image that the tasks run; tasks of equal images behave alike.
    std::string image;
    /// Bound on the tail latency of tasks that serve users; 0: none.
    microseconds responseTarget = 0;
    /// The tasks use only processor time that other tasks leave idle; none is reserved for them.
    bool scavenging = false;
    /// Maximum number of tasks that the scheduler itself may make unavailable at the same time; -1:
    /// no limit.
    int maxUnavailable = -1;
};

/// Resources reserved on a worker for one task; no processor time for scavenging steps.
inline resources reservedDemand(const step_spec &step)
{
    return step.scavenging ? resources {0, step.demand.memoryMb, step.demand.accelerators}
                           : step.demand;
}

/// A job as a team submits it.
struct job_spec
{
    std::string id;
    std::string queue;
    /// Opaque to the scheduler; passed to the worker unchanged.
    std::string payload;
    std::vector<step_spec> steps;
    /// Number of occurrences; 0: the job runs once, immediately.
    int occurrences = 0;
    /// Wall-clock time of the first occurrence, microseconds since 1970.
    std::int64_t firstDueWall = 0;
    microseconds interval = 0;
    /// Name of the team that submitted the job; empty if no team did, or if the job was stored
    /// before jobs had teams.
    std::string team;
    /// The team sent more jobs than its share when it submitted this one.
    bool beyondShare = false;
};

/// Response time of the advisory service (`base` plus `perWorker` for each worker asked about) and
/// validity of its tickets.
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

/// A team's policy for one queue of jobs.
struct queue_policy
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;
    /// Lower is more urgent; 0 is the highest priority.
    int priority = 0;
    /// Number of failed runs of a task after which its job fails.
    int maxAttempts = 1;
    /// A job's objective is its critical path times this factor, plus `latencyTarget`.
    double slackFactor = 1.0;
    microseconds latencyTarget = 0;
    bool needsAdvice = false;
    advice_timing advice;
    /// Callers need no key.
    bool isPublic = false;
};

/// A team whose callers identify themselves by a key.
struct team_policy
{
    std::string name;
    std::vector<std::string> keys;
    /// Jobs per second that are owed to the team, and its share when capacity is short.
    double weight = 0;
    /// What the runs of the team may use on all workers together; 0: no limit.
    resources cap;

    friend bool operator==(const team_policy &a, const team_policy &b)
    {
        return std::tie(a.name, a.keys, a.weight, a.cap)
            == std::tie(b.name, b.keys, b.weight, b.cap);
    }
};

/// Size limits of callers' requests.
struct caller_limits
{
    std::int64_t headerBytes = 16'384;
    std::int64_t bodyBytes = 262'144;
};

/// A fault in a part of the configuration; the other parts are used.
struct config_problem
{
    /// Name of the team that the fault concerns; empty if it concerns no team.
    std::string team;
    std::string problem;
};

/// The configuration in force: all queues and the services that run their tasks.
struct cell_config
{
    std::int64_t version = 0;
    std::vector<queue_policy> queues;
    std::vector<std::string> services;
    caller_limits limits;
    /// Callers of queues that are not public need a key of one of `teams`.
    bool requiresKeys = false;
    std::vector<team_policy> teams;
    /// Positions in `queues`, sorted by host and path prefix; the first of equal queues comes
    /// first.
    std::vector<std::size_t> queuesByPath;
    std::vector<config_problem> problems;
};

/// Longest address of a worker that is accepted, in bytes.
constexpr std::size_t maxAddressBytes = 64;

/// Longest checkpoint of a worker that is kept, in bytes; a task with a longer one begins anew.
constexpr std::size_t maxCheckpointBytes = 1'024;

/// What orders that were meant for an earlier life of a worker may still do, as the stored list
/// tells a successor; the numbers are stored.
enum class former_order_effect {
    none = 0,
    possible = 1, ///< a restart was seen and no fence answered since: they may be carried out
    leases = 2, ///< the fence is answered, but leases that they granted may last
};

/// One worker as the registry lists it.
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
    /// Only in the stored list.
    former_order_effect formerOrders = former_order_effect::none;
    /// Wall-clock time at which the worker's process started, milliseconds since 1970; 0: not
    /// known. Differs between two processes that run under one id, one after the other.
    std::int64_t born = 0;

    friend bool operator==(const worker_entry &a, const worker_entry &b)
    {
        return std::tie(a.id, a.service, a.address, a.failureDomain, a.rack, a.labels, a.capacity,
                        a.draining, a.born)
            == std::tie(b.id, b.service, b.address, b.failureDomain, b.rack, b.labels, b.capacity,
                        b.draining, b.born);
    }
};

/// Outcome of a run of a task.
enum class end_kind { done, failed, stopped, lease_lapsed, gang_broken, gang_incomplete };

/// A run that a worker reports as running.
struct reported_run
{
    task_id task;
    int attempt = 0;
    std::string checkpoint;
    /// Progress, 0 to 100.
    int percent = 0;
};

/// An ended run that a worker reports until the end is acknowledged.
struct reported_end
{
    std::int64_t sequence = 0;
    task_id task;
    int attempt = 0;
    end_kind how = end_kind::failed;
    std::string checkpoint;
};

/// A worker's answer to a poll.
struct worker_report
{
    /// As `worker_entry::born`, of the process that answered.
    std::int64_t born = 0;
    /// The worker's steady clock at the time of the answer, microseconds.
    std::int64_t workerClock = 0;
    std::vector<reported_run> running;
    std::vector<reported_end> ended;
    /// Local time at which the request was written that this report answers; `distantPast` if it is
    /// not known.
    timestamp askedAt = distantPast;
};

enum class job_phase { queued, running, completed, failed, cancelled };

} // namespace bramleygrade::cell
