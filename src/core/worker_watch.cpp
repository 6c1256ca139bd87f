#include "core/worker_watch.h"

#include <algorithm>

namespace bramleygrade {

namespace {

void sendPoll(entry_state &state, worker_view &worker, step_context &context)
{
    worker_call call;
    call.call = state.nextCall++;
    call.worker = worker.info.name;
    call.host = worker.info.host;
    call.port = worker.info.port;
    call.kind = worker_call_kind::poll;
    worker.isPollUnderway = true;
    worker.nextPollAt = context.now + workerPollInterval;
    emit(context, std::move(call));
}

/// A worker that the owner has not yet seen is asked again soon.
constexpr microseconds firstSightInterval = 100 * millisecond;

bool isPollDue(const entry_state &state, const worker_view &worker, timestamp now)
{
    const auto shard = state.authority.shards.find(worker.shard);
    if (shard == state.authority.shards.end()
        || !holdsAuthority(state.authority, state.cell.identity, worker.shard, now)) {
        return false;
    }
    const bool isUnknown = !isKnownToOwner(worker, shard->second);
    const timestamp dueAt = isUnknown
        ? std::min(worker.nextPollAt, worker.nextPollAt - workerPollInterval + firstSightInterval)
        : worker.nextPollAt;
    return now >= dueAt && !worker.isPollUnderway;
}

} // namespace

void pollWorkers(entry_state &state, step_context &context)
{
    for (auto &[name, worker] : state.pool.workers) {
        if (isPollDue(state, worker, context.now)) {
            sendPoll(state, worker, context);
        }
    }
}

void noteWorkerResult(entry_state &state, const worker_result &result, step_context &context)
{
    (void)context;
    const auto found = state.pool.workers.find(result.worker);
    if (found == state.pool.workers.end()) {
        return;
    }
    worker_view &worker = found->second;
    if (result.kind != worker_call_kind::poll) {
        return;
    }
    worker.isPollUnderway = false;
    if (!result.reached || result.seen == nullptr) {
        return;
    }
    worker.seenAt = std::max(worker.seenAt, result.asked_at);
    worker.saysLeaving = result.seen->is_leaving;
    worker.foreignSlots = std::max(0, result.seen->active_requests - worker.busySlots);
}

} // namespace bramleygrade
