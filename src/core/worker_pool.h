#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/authority.h"
#include "core/cell_view.h"

/// \file
/// Workers of the platform's list, with the request slots, health and committed resources that this
/// entry tracks for the shards it owns.

namespace bramleygrade {

/// An amount of resources: the capacity of a worker, or what a task needs.
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

/// Returns true if `need` does not exceed `room` in any resource.
constexpr bool fits(const resources &need, const resources &room)
{
    return need.cpuMillis <= room.cpuMillis && need.memoryMb <= room.memoryMb
        && need.accelerators <= room.accelerators;
}

/// Returns the total resources of the worker.
resources capacityOf(const instance &worker);

/// Resources committed to one task on a worker, as the owner of the shard knows it.
struct task_commitment
{
    resources committed;
    std::string job;
    int task = 0;
    std::uint64_t incarnation = 0;
    std::string service;
    bool isCheckpointable = false;
    bool isHeld = false;
    /// The worker has reported that it runs the task.
    bool isConfirmed = false;
    /// The worker refuses the start order after this time.
    timestamp startBy = 0;
    timestamp confirmedAt = 0;
    timestamp holdUntil = distantFuture;
    bool isCheckpointRequested = false;
    timestamp reportedAt = 0;
    std::int64_t reportedCpuMillis = 0;
    /// Actual usage in the newest report of the worker.
    std::int64_t usedCpuMillis = 0;
    std::int64_t usedMemoryMb = 0;
};

/// Outlier detection state of an endpoint.
struct endpoint_health
{
    int consecutiveFailures = 0;
    /// Number of ejections since the last success.
    int ejections = 0;
    timestamp ejectedUntil = distantPast;
    /// A probe request is in flight.
    bool isProbing = false;
    /// Exponentially weighted moving average of the response time; 0 before the first answer.
    microseconds meanAnswer = 0;
};

/// One worker as this entry knows it.
struct worker_view
{
    instance info;
    std::string shard;
    /// Slots busy with requests that this entry sent and tracks.
    int busySlots = 0;
    /// Slots busy with requests that this entry did not send or no longer tracks.
    int untrackedSlots = 0;
    endpoint_health health;
    bool hasReportedLeaving = false;
    /// Send time of the newest call that the worker answered with a report.
    timestamp lastReportRequestedAt = distantPast;
    timestamp nextPollAt = 0;
    timestamp pollSentAt = 0;
    bool isPollPending = false;
    resources committed;
    /// Key is `job/task/incarnation`.
    std::map<std::string, task_commitment> tasks;
    int consecutiveStartFailures = 0;
    /// No task is started on the worker before this time.
    timestamp startBackoffUntil = 0;
    /// Shard epoch that the commitments, ended tasks and leases of this worker belong to.
    std::uint64_t ownedEpoch = 0;
    /// Version of the newest full report; polls carry it so that the worker may answer
    /// `is_unchanged`.
    std::uint64_t reportVersion = 0;
    /// Latest deadline of the leases that this entry has granted on the worker.
    timestamp leasedUntil = distantPast;
    /// Id of the job that alone may start tasks on the worker until `reservedUntil`.
    std::string reservedFor;
    timestamp reservedUntil = 0;
    /// Keys of ended tasks that the worker still lists.
    std::set<std::string> endedTaskKeys;
};

/// Workers of the platform's list that are assigned to a rack.
struct worker_pool
{
    /// Workers by name.
    std::map<std::string, worker_view> workers;
    /// Names of the workers that serve each service.
    std::map<std::string, std::vector<std::string>> byService;
    /// State of the random number generator, seeded by the host.
    std::uint64_t random = 1;
};

/// Poll interval of a worker with unsettled state, such as an unconfirmed task start.
constexpr microseconds workerPollInterval = 2 * second;
/// Poll interval of a worker without unsettled state.
constexpr microseconds idlePollInterval = 10 * second;

/// Updates the pool from the platform's list. Commitments of workers that stay listed are kept.
void updateWorkers(worker_pool &pool, const cell_state &cell);

/// Returns true if the worker or the platform's list says that the worker is leaving.
bool isLeavingWorker(const worker_view &worker);

/// Returns true if the worker has answered a poll that was sent after this entry began to act as
/// the owner of its shard, late enough that no message of the former owner can still arrive.
bool isKnownToOwner(const worker_view &worker, const shard_view &shard);

/// Returns the number of slots that requests may take now; 0 if the worker must not be used, 1 if
/// an ejected endpoint is due for a probe.
int countUsableSlots(const worker_view &worker, const authority_state &authority,
                     const std::string &self, timestamp now);

/// Returns the endpoint with the lowest cost for a request under the document, or null if no slot
/// is free. `avoided` names a worker that is chosen only if there is no other.
worker_view *chooseEndpoint(worker_pool &pool, const authority_state &authority,
                            const std::string &self, const service_document &document,
                            const std::string &avoided, timestamp now);

/// Total and free request slots.
struct slot_count
{
    int total = 0;
    int free = 0;
};

/// Counts the slots for the service on workers of the shards that this entry owns.
slot_count countSlots(const worker_pool &pool, const authority_state &authority,
                      const std::string &self, const service_document &document, timestamp now);

/// Records an answer of the endpoint, which ends its ejection.
void recordEndpointSuccess(worker_view &worker, microseconds latency);

/// Records a failed request. After several consecutive failures the endpoint is ejected, unless too
/// many endpoints of the service are ejected already. A failed probe ejects it again, for a time
/// that doubles with each ejection up to a limit.
void recordEndpointFailure(worker_pool &pool, worker_view &worker, timestamp now);

/// Returns the next value of a splitmix64 sequence. All randomness in the core comes from seeds
/// that the host provides.
std::uint64_t nextRandom(std::uint64_t &state);

/// Returns true if the document allows the failure domain.
bool isAllowedDomain(const service_document &document, const std::string &domain);

} // namespace bramleygrade
