#include "core/task_commitments.h"

#include <algorithm>

#include "core/invariant.h"
#include "core/task_messages.h"
#include "core/task_owner.h"

namespace bramleygrade {

void commitResources(worker_view &worker, const std::string &key, task_commitment commitment)
{
    worker.committed = worker.committed + commitment.committed;
    BRAMLEYGRADE_INVARIANT(
        fits(worker.committed, capacityOf(worker.info)),
        "committed resources of a worker exceed its capacity; check the worker selection");
    worker.tasks.emplace(key, std::move(commitment));
}

void releaseResources(worker_view &worker, const std::string &key)
{
    const auto found = worker.tasks.find(key);
    if (found != worker.tasks.end()) {
        worker.committed = worker.committed - found->second.committed;
        worker.tasks.erase(found);
    }
}

void callWorker(entry_state &state, const worker_view &worker, worker_call_kind kind,
                task_order order, step_context &context)
{
    worker_call call;
    call.call = state.nextCallNumber++;
    call.worker = worker.info.name;
    call.host = worker.info.host;
    call.port = worker.info.port;
    call.kind = kind;
    call.order = std::make_unique<task_order>(std::move(order));
    emit(context, std::move(call));
}

task_order makeTaskOrder(const task_commitment &commitment)
{
    task_order order;
    order.job = commitment.job;
    order.task = commitment.task;
    order.incarnation = commitment.incarnation;
    order.service = commitment.service;
    order.cpu_millis = commitment.committed.cpuMillis;
    order.memory_mb = commitment.committed.memoryMb;
    order.accelerators = commitment.committed.accelerators;
    return order;
}

void recordPlacementEnd(entry_state &state, const std::string &key, timestamp startBy,
                        timestamp now)
{
    if (startBy > now) {
        state.endedPlacements[key] = startBy;
    }
}

void endTask(entry_state &state, worker_view &worker, const std::string &key,
             placement_result result, step_context &context)
{
    const auto found = worker.tasks.find(key);
    if (found == worker.tasks.end()) {
        return;
    }
    const task_commitment ended = found->second;
    releaseResources(worker, key);
    recordPlacementEnd(state, key, context.now + maxStartTimeout, context.now);
    reportTask(state, worker, ended, result, context);
}

bool areLeasesExpired(const entry_state &state, const worker_view &worker, timestamp now)
{
    const auto shard = state.authority.shards.find(worker.shard);
    if (shard == state.authority.shards.end()) {
        return false;
    }
    const timestamp formerLeases =
        shard->second.leaseStart + lengthenedByClockError(taskLeaseDuration);
    return now > std::max(formerLeases, worker.leasedUntil) + 2 * clockOffsetBound;
}

} // namespace bramleygrade
