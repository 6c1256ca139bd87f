#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/authority.h"
#include "core/cell_view.h"

/// \file
/// Workers of the shards that this entry owns: request slots, health and committed resources.

namespace bramleygrade {

/// Resources of one worker, or of a wish for them.
struct resources
{
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
};

constexpr bool operator==(const resources &left, const resources &right)
{
    return left.cpuMillis == right.cpuMillis && left.memoryMb == right.memoryMb
        && left.accelerators == right.accelerators;
}
constexpr resources operator+(const resources &left, const resources &right)
{
    return {left.cpuMillis + right.cpuMillis, left.memoryMb + right.memoryMb,
            left.accelerators + right.accelerators};
}
constexpr resources operator-(const resources &left, const resources &right)
{
    return {left.cpuMillis - right.cpuMillis, left.memoryMb - right.memoryMb,
            left.accelerators - right.accelerators};
}
/// True where `need` is no more than `room` in every resource.
constexpr bool fits(const resources &need, const resources &room)
{
    return need.cpuMillis <= room.cpuMillis && need.memoryMb <= room.memoryMb
        && need.accelerators <= room.accelerators;
}

resources capacityOf(const instance &worker);

/// One task that takes resources of a worker, as the owner of the shard knows it.
struct task_commitment
{
    resources committed;
    std::string job;
    int task = 0;
    std::uint64_t incarnation = 0;
    std::string service;
    bool isCheckpointable = false;
    bool isHeld = false;
    /// The worker has said that it runs the task.
    bool isConfirmed = false;
    /// A start that the worker has not answered may take effect until this time.
    timestamp startBy = 0;
    timestamp confirmedAt = 0;
    timestamp holdUntil = distantFuture;
    bool isCheckpointRequested = false;
    timestamp reportedAt = 0;
    std::int64_t reportedCpuMillis = 0;
    /// What the task really takes, as the worker reported last.
    std::int64_t usedCpuMillis = 0;
    std::int64_t usedMemoryMb = 0;
};

/// How an endpoint has answered lately.
struct endpoint_health
{
    int consecutiveFailures = 0;
    int ejections = 0;
    timestamp ejectedUntil = distantPast;
    bool isProbing = false;
    /// Mean time of an answer, weighted towards the newest.
    microseconds meanAnswer = 0;
};

struct worker_view
{
    instance info;
    std::string shard;
    int busySlots = 0;
    /// Slots taken by requests that this entry did not send, or has lost sight of.
    int untrackedSlots = 0;
    endpoint_health health;
    bool hasReportedLeaving = false;
    /// Time at which the newest answered poll was sent.
    timestamp lastReportRequestedAt = distantPast;
    timestamp nextPollAt = 0;
    timestamp pollSentAt = 0;
    bool isPollPending = false;
    resources committed;
    /// Key is `job/task/incarnation`.
    std::map<std::string, task_commitment> tasks;
    /// Failed task starts in a row, and the time before which no task is started.
    int consecutiveStartFailures = 0;
    timestamp startBackoffUntil = 0;
    /// Epoch of the shard for which the commitments below were made.
    std::uint64_t ownedEpoch = 0;
    std::uint64_t reportVersion = 0;
    /// Latest end of any lease that this entry has given on the worker.
    timestamp leasedUntil = distantPast;
    /// Only this job may start tasks here meanwhile.
    std::string reservedFor;
    timestamp reservedUntil = 0;
    /// Ended tasks that the worker still lists.
    std::set<std::string> endedTaskKeys;
};

struct worker_pool
{
    std::map<std::string, worker_view> workers;
    /// Names of the workers that answer a service.
    std::map<std::string, std::vector<std::string>> byService;
    std::uint64_t random = 1;
};

/// Workers are asked this often while something on them is unsettled, and otherwise.
constexpr microseconds workerPollInterval = 2 * second;
constexpr microseconds idlePollInterval = 10 * second;

/// Brings the pool in line with the platform's list; commitments of known workers stay.
void updateWorkers(worker_pool &pool, const cell_state &cell);

bool isLeavingWorker(const worker_view &worker);

/// True where the worker was polled after this entry had begun to own its shard, and late enough
/// that nothing that the former owner sent can still arrive.
bool isKnownToOwner(const worker_view &worker, const shard_view &shard);

/// Slots that may be given to a request now; 0 where the worker must not be used.
int countUsableSlots(const worker_view &worker, const authority_state &authority,
                     const std::string &self, timestamp now);

/// Best endpoint for a request under the document, or null where no slot is free.
worker_view *chooseEndpoint(worker_pool &pool, const authority_state &authority,
                            const std::string &self, const service_document &document,
                            const std::string &avoided, timestamp now);

/// Slots, free and taken, of this entry's own workers for the service.
struct slot_count
{
    int total = 0;
    int free = 0;
};
slot_count countSlots(const worker_pool &pool, const authority_state &authority,
                      const std::string &self, const service_document &document, timestamp now);

void recordEndpointSuccess(worker_view &worker, microseconds took);
void recordEndpointFailure(worker_pool &pool, worker_view &worker, timestamp now);

/// Next value of a splitmix64 sequence; all chance in the core comes from seeds handed in.
std::uint64_t nextRandom(std::uint64_t &state);

bool isAllowedDomain(const service_document &document, const std::string &domain);

} // namespace bramleygrade
