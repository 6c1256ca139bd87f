#include "core/worker_selection.h"

#include <algorithm>

#include "core/task_owner.h"

namespace bramleygrade {

namespace {

/// Returns the largest share of the capacity in use over all resources, in thousandths.
std::int64_t dominantShare(const resources &used, const resources &capacity)
{
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole > 0 ? part * 1000 / whole : 0;
    };
    return std::max({share(used.cpuMillis, capacity.cpuMillis),
                     share(used.memoryMb, capacity.memoryMb),
                     share(used.accelerators, capacity.accelerators)});
}

/// Returns the cost of a task on the worker; lower is better. Workers with accelerators are avoided
/// for tasks that need none, as long as another worker has room.
std::int64_t placementCost(const worker_view &worker, const resources &size,
                           placement_policy policy)
{
    constexpr std::int64_t wastedAcceleratorCost = 10'000;
    const std::int64_t share = dominantShare(worker.committed + size, capacityOf(worker.info));
    const bool wastesAccelerators = size.accelerators == 0 && worker.info.accelerators > 0;
    return (policy == placement_policy::best_packing ? -share : share)
        + (wastesAccelerators ? wastedAcceleratorCost : 0);
}

} // namespace

bool isEligibleForTasks(const entry_state &state, const worker_view &worker, const std::string &job,
                        const service_document &document, timestamp now)
{
    const auto shard = state.authority.shards.find(worker.shard);
    const bool isReservedForOther = now < worker.reservedUntil && worker.reservedFor != job;
    return shard != state.authority.shards.end() && isKnownToOwner(worker, shard->second)
        && !isLeavingWorker(worker) && now >= worker.startBackoffUntil && !isReservedForOther
        && isAllowedDomain(document, worker.info.failure_domain);
}

worker_view *chooseWorker(entry_state &state, const place_task &request,
                          const service_document &document, timestamp now)
{
    worker_view *best = nullptr;
    std::int64_t bestCost = 0;
    const resources size = requestedResources(request);
    for (auto &[name, worker] : state.pool.workers) {
        if (worker.shard != request.shard
            || !isEligibleForTasks(state, worker, request.job->id, document, now)
            || !fits(size, capacityOf(worker.info) - worker.committed)) {
            continue;
        }
        const std::int64_t cost = placementCost(worker, size, document.policy);
        if (best == nullptr || cost < bestCost) {
            best = &worker;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace bramleygrade
