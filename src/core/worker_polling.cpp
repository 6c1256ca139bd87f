#include "core/worker_polling.h"

#include <algorithm>

#include "core/task_owner.h"

namespace bramleygrade {

namespace {

/// Poll interval of a worker that has not answered a poll of this owner yet.
constexpr microseconds unknownWorkerPollInterval = 100 * millisecond;
/// A poll without an answer after this time counts as lost, and the next one is sent.
constexpr microseconds pollResponseTimeout = 3 * second;

/// Resets state that belongs to an earlier epoch of the shard, since another owner may have changed
/// what runs on the worker meanwhile.
void resetForNewEpoch(worker_view &worker, const shard_view &shard)
{
    worker.ownedEpoch = shard.row.epoch;
    worker.tasks.clear();
    worker.committed = {};
    worker.endedTaskKeys.clear();
    worker.reportVersion = 0;
    worker.untrackedSlots = 0;
    worker.leasedUntil = distantPast;
    worker.reservedUntil = 0;
    worker.nextPollAt = 0;
}

bool hasUnsettledState(const worker_view &worker, const shard_view &shard)
{
    return worker.untrackedSlots > 0 || !isKnownToOwner(worker, shard)
        || !worker.endedTaskKeys.empty()
        || std::any_of(worker.tasks.begin(), worker.tasks.end(), [](const auto &item) {
               return !item.second.isConfirmed || item.second.isCheckpointRequested;
           });
}

void sendPoll(entry_state &state, worker_view &worker, const shard_view &shard,
              step_context &context)
{
    worker_call call;
    call.call = state.nextCallNumber++;
    call.worker = worker.info.name;
    call.host = worker.info.host;
    call.port = worker.info.port;
    call.kind = worker_call_kind::poll;
    call.order = std::make_unique<task_order>();
    // Version 0 requests the full report, which the reconciliation of unsettled state needs.
    call.order->known_version = hasUnsettledState(worker, shard) ? 0 : worker.reportVersion;
    if (!worker.tasks.empty() || !isKnownToOwner(worker, shard)) {
        call.order->lease_until = taskLeaseDeadline(context.now);
        worker.leasedUntil = std::max(worker.leasedUntil, call.order->lease_until);
    }
    worker.pollSentAt = context.now;
    worker.isPollPending = true;
    const bool isKnown = isKnownToOwner(worker, shard);
    worker.nextPollAt = context.now
        + (!isKnown                               ? unknownWorkerPollInterval
               : hasUnsettledState(worker, shard) ? workerPollInterval
                                                  : idlePollInterval);
    emit(context, std::move(call));
}

} // namespace

void pollWorkers(entry_state &state, step_context &context)
{
    for (auto &[name, worker] : state.pool.workers) {
        const auto shard = state.authority.shards.find(worker.shard);
        if (shard == state.authority.shards.end()
            || !holdsLease(state.authority, state.cell.identity, worker.shard, context.now)) {
            continue;
        }
        if (worker.ownedEpoch != shard->second.row.epoch) {
            resetForNewEpoch(worker, shard->second);
        }
        const bool isAnswerOverdue =
            worker.isPollPending && context.now - worker.pollSentAt > pollResponseTimeout;
        if (context.now >= worker.nextPollAt && (!worker.isPollPending || isAnswerOverdue)) {
            sendPoll(state, worker, shard->second, context);
        }
    }
}

void handleWorkerResult(entry_state &state, const worker_result &result, step_context &context)
{
    const auto found = state.pool.workers.find(result.worker);
    if (found == state.pool.workers.end()) {
        return;
    }
    worker_view &worker = found->second;
    if (!holdsLease(state.authority, state.cell.identity, worker.shard, context.now)
        || worker.ownedEpoch != state.authority.shards.at(worker.shard).row.epoch) {
        worker.isPollPending = false;
        return; // The present owner polls the worker itself.
    }
    if (result.kind != worker_call_kind::poll) {
        handleTaskCallResult(state, worker, result, context);
        return;
    }
    worker.isPollPending = false;
    const bool isNewReport = result.accepted && result.seen != nullptr
        && result.asked_at >= worker.lastReportRequestedAt
        && result.asked_at >= state.authority.shards.at(worker.shard).leaseStart;
    if (!isNewReport) {
        return;
    }
    worker.lastReportRequestedAt = result.asked_at;
    worker.hasReportedLeaving = result.seen->is_leaving;
    worker.untrackedSlots = std::max(0, result.seen->active_requests - worker.busySlots);
    reconcileTasks(state, worker, result, context);
}

} // namespace bramleygrade
