#include "core/task_owner.h"

#include <algorithm>

#include "core/invariant.h"
#include "core/task_commitments.h"
#include "core/task_messages.h"
#include "core/worker_selection.h"

namespace bramleygrade {

namespace {

/// A worker that frees resources for an urgent task is reserved for the task's job for this long.
constexpr microseconds reservationDuration = 3 * second;

/// Orders the worker to start the task; the worker refuses the order after `startBy`.
void sendStartOrder(entry_state &state, worker_view &worker, task_commitment &commitment,
                    const place_task &request, step_context &context)
{
    const timestamp limit =
        std::min({request.start_by, state.documents.freshUntil,
                  leaseExpiry(state.authority, state.cell.identity, worker.shard, context.now)});
    commitment.startBy = limit - clockOffsetBound;
    commitment.isHeld = false;
    commitment.holdUntil = distantFuture;
    task_order order = makeTaskOrder(commitment);
    order.start_by = commitment.startBy;
    order.lease_until = taskLeaseDeadline(context.now);
    order.run_time_ms = request.job->run_time_ms;
    order.checkpointable = request.job->checkpointable;
    const auto shard = state.authority.shards.find(worker.shard);
    order.epoch = shard->second.row.epoch;
    worker.leasedUntil = std::max(worker.leasedUntil, order.lease_until);
    callWorker(state, worker, worker_call_kind::start, std::move(order), context);
}

/// Reserves the worker that can free enough resources with the fewest checkpoints, and orders those
/// checkpoints. The urgent task itself is refused for now; its home places it again.
void preemptForUrgentTask(entry_state &state, const place_task &request,
                          const service_document &document, step_context &context)
{
    const resources size = requestedResources(request);
    worker_view *best = nullptr;
    std::vector<std::string> bestVictims;
    for (auto &[name, worker] : state.pool.workers) {
        if (worker.shard != request.shard
            || !isEligibleForTasks(state, worker, request.job->id, document, context.now)) {
            continue;
        }
        resources room = capacityOf(worker.info) - worker.committed;
        std::vector<std::string> victims;
        for (const auto &[key, task] : worker.tasks) {
            if (fits(size, room)) {
                break;
            }
            if (task.isCheckpointable && task.isConfirmed) {
                room = room + task.committed;
                victims.push_back(key);
            }
        }
        if (fits(size, room) && (best == nullptr || victims.size() < bestVictims.size())) {
            best = &worker;
            bestVictims = std::move(victims);
        }
    }
    if (best == nullptr) {
        return;
    }
    best->reservedFor = request.job->id;
    best->reservedUntil = context.now + reservationDuration;
    for (const std::string &key : bestVictims) {
        task_commitment &victim = best->tasks.at(key);
        if (!victim.isCheckpointRequested) {
            victim.isCheckpointRequested = true;
            callWorker(state, *best, worker_call_kind::checkpoint, makeTaskOrder(victim), context);
        }
    }
}

/// Reports to the home that the task is not placed: `refused`, or `absent` in answer to a query. A
/// repeated placement does not start the task either, see `recordPlacementEnd`.
void reportUnplacedTask(entry_state &state, const std::string &from, const place_task &request,
                        placement_result result, step_context &context)
{
    recordPlacementEnd(state, taskKeyOf(request.job->id, request.task, request.incarnation),
                       request.start_by, context.now);
    task_report report;
    report.job = request.job->id;
    report.service = request.job->service;
    report.task = request.task;
    report.incarnation = request.incarnation;
    report.shard = request.shard;
    report.result = result;
    report.load = std::make_unique<shard_load>(computeShardLoad(state, request.shard));
    sendTaskMessage(state, from, std::move(report), context);
}

/// Returns the worker of the shard that has a commitment for the task, or null.
worker_view *findWorkerOfTask(entry_state &state, const std::string &shard, const std::string &key)
{
    for (auto &[name, worker] : state.pool.workers) {
        if (worker.shard == shard && worker.tasks.count(key) > 0) {
            return &worker;
        }
    }
    return nullptr;
}

/// Returns true if every worker of the shard has reported after `since`, or all leases on it have
/// expired, so that it runs no task that was started before.
bool haveAllWorkersReportedSince(const entry_state &state, const std::string &shard,
                                 timestamp since, timestamp now)
{
    for (const auto &[name, worker] : state.pool.workers) {
        if (worker.shard == shard && worker.lastReportRequestedAt <= since + clockOffsetBound
            && !(now > since && areLeasesExpired(state, worker, now))) {
            return false;
        }
    }
    return true;
}

/// Polls the workers of the shard that have not reported after `since` ahead of their interval.
void expeditePolls(entry_state &state, const std::string &shard, timestamp since, timestamp now)
{
    for (auto &[name, worker] : state.pool.workers) {
        if (worker.shard == shard && worker.lastReportRequestedAt <= since + clockOffsetBound
            && worker.nextPollAt > now + workerPollInterval / 4) {
            worker.nextPollAt = std::max(now, since + clockOffsetBound + millisecond);
        }
    }
}

/// Answers a query for a task that this owner does not know: the task is absent once every worker
/// has reported after both the start deadline and the time from which this entry owns the shard.
/// Until then there is no answer, and the home repeats the query.
void answerQueryForUnknownTask(entry_state &state, const std::string &from,
                               const place_task &request, step_context &context)
{
    const auto shard = state.authority.shards.find(request.shard);
    const timestamp since = std::max(request.start_by, shard->second.leaseStart);
    if (haveAllWorkersReportedSince(state, request.shard, since, context.now)) {
        reportUnplacedTask(state, from, request, placement_result::absent, context);
        return;
    }
    expeditePolls(state, request.shard, since, context.now);
}

void placeNewTask(entry_state &state, const std::string &from, const place_task &request,
                  const std::string &key, step_context &context)
{
    const service_document *document = findDocument(state.documents, request.job->service);
    const bool isStartAllowed = context.now + clockOffsetBound < request.start_by
        && request.start_by < context.now + maxStartTimeout && state.endedPlacements.count(key) == 0
        && !state.authority.shards.at(request.shard).isClosing;
    if (document == nullptr || !areDocumentsFresh(state.documents, context.now) || !isStartAllowed
        || !isListCurrent(state.cell, context.now)) {
        reportUnplacedTask(state, from, request, placement_result::refused, context);
        return;
    }
    worker_view *worker = chooseWorker(state, request, *document, context.now);
    if (worker == nullptr) {
        if (request.job->urgent) {
            preemptForUrgentTask(state, request, *document, context);
        }
        reportUnplacedTask(state, from, request, placement_result::refused, context);
        return;
    }
    BRAMLEYGRADE_INVARIANT(
        isAllowedDomain(*document, worker->info.failure_domain),
        "the selected worker is outside the allowed domains; check the worker selection");
    task_commitment commitment;
    commitment.committed = requestedResources(request);
    commitment.job = request.job->id;
    commitment.task = request.task;
    commitment.incarnation = request.incarnation;
    commitment.service = request.job->service;
    commitment.isCheckpointable = request.job->checkpointable && !request.job->urgent;
    commitment.isHeld = request.step == placement_step::hold;
    commitment.holdUntil = commitment.isHeld ? request.start_by : distantFuture;
    commitResources(*worker, key, std::move(commitment));
    if (request.step == placement_step::start) {
        sendStartOrder(state, *worker, worker->tasks.at(key), request, context);
    } else {
        reportTask(state, *worker, worker->tasks.at(key), placement_result::held, context);
    }
}

void handleKnownTask(entry_state &state, worker_view &worker, const place_task &request,
                     const std::string &key, step_context &context)
{
    task_commitment &known = worker.tasks.at(key);
    if (known.isHeld && request.step == placement_step::release) {
        endTask(state, worker, key, placement_result::absent, context);
        return;
    }
    const bool isStartAllowed = context.now + clockOffsetBound < request.start_by
        && !state.authority.shards.at(request.shard).isClosing;
    if (known.isHeld && request.step == placement_step::start && isStartAllowed) {
        sendStartOrder(state, worker, known, request, context);
    } else if (known.isHeld) {
        reportTask(state, worker, known, placement_result::held, context);
    } else if (known.isConfirmed) {
        reportTask(state, worker, known, placement_result::running, context);
    }
}

} // namespace

resources requestedResources(const place_task &request)
{
    return {request.cpu_millis, request.memory_mb, request.accelerators};
}

timestamp taskLeaseDeadline(timestamp now)
{
    return now + taskLeaseDuration;
}

void handlePlaceTask(entry_state &state, const std::string &from, const place_task &request,
                     step_context &context)
{
    const bool isOwner =
        holdsLease(state.authority, state.cell.identity, request.shard, context.now);
    if (request.job == nullptr) {
        return;
    }
    const std::uint64_t fence = state.homeFencingEpoch[jobHomeOf(request.job->service)];
    if (!isOwner || request.home_epoch < fence) {
        // No refusal: this may be a duplicate of a message that was accepted before the shard
        // changed owners, so that the task may run. The home queries the present owner after
        // `start_by`.
        return;
    }
    const std::string key = taskKeyOf(request.job->id, request.task, request.incarnation);
    worker_view *worker = findWorkerOfTask(state, request.shard, key);
    if (worker != nullptr) {
        handleKnownTask(state, *worker, request, key, context);
    } else if (request.step == placement_step::query) {
        answerQueryForUnknownTask(state, from, request, context);
    } else if (request.step == placement_step::start || request.step == placement_step::hold) {
        placeNewTask(state, from, request, key, context);
    }
}

void handleStopTask(entry_state &state, const stop_task &request, step_context &context)
{
    const std::string key = taskKeyOf(request.job, request.task, request.incarnation);
    task_order order;
    order.job = request.job;
    order.task = request.task;
    order.incarnation = request.incarnation;
    order.service = request.service;
    const service_document *document = findDocument(state.documents, request.service);
    order.grace_ms = document == nullptr ? 0 : document->stop_grace_ms;
    worker_view *running = findWorkerOfTask(state, request.shard, key);
    if (running != nullptr) {
        callWorker(state, *running, worker_call_kind::stop, std::move(order), context);
        return;
    }
    for (auto &[name, worker] : state.pool.workers) {
        if (worker.shard == request.shard && worker.endedTaskKeys.erase(key) > 0) {
            callWorker(state, worker, worker_call_kind::forget, order, context);
        }
    }
}

void handleFindTasks(entry_state &state, const std::string &from, const find_tasks &request,
                     step_context &context)
{
    if (!holdsLease(state.authority, state.cell.identity, request.shard, context.now)) {
        return;
    }
    std::uint64_t &fence = state.homeFencingEpoch[request.home_shard];
    if (request.home_epoch < fence) {
        return;
    }
    fence = request.home_epoch;
    const std::string requester = from + "/" + std::to_string(request.number);
    const timestamp askedAt =
        state.findTasksReceivedAt.emplace(requester, context.now).first->second;
    const timestamp since = std::max(askedAt, state.authority.shards.at(request.shard).leaseStart);
    if (!haveAllWorkersReportedSince(state, request.shard, since, context.now)) {
        expeditePolls(state, request.shard, since, context.now);
        return; // The home repeats the query.
    }
    found_tasks found;
    found.home_shard = request.home_shard;
    found.shard = request.shard;
    found.number = request.number;
    for (const auto &[name, worker] : state.pool.workers) {
        if (worker.shard != request.shard) {
            continue;
        }
        for (const auto &[key, task] : worker.tasks) {
            if (homeShardOf(task.service) != request.home_shard) {
                continue;
            }
            if (!task.isConfirmed && !task.isHeld) {
                return; // The start is unconfirmed; the home repeats the query.
            }
            found.tasks.push_back(std::make_unique<task_report>(makeTaskReport(
                worker, task, task.isHeld ? placement_result::held : placement_result::running)));
        }
    }
    state.findTasksReceivedAt.erase(requester);
    sendTaskMessage(state, from, std::move(found), context);
}

bool hasUnconfirmedStarts(const worker_pool &pool, const std::string &shard)
{
    for (const auto &[name, worker] : pool.workers) {
        if (worker.shard != shard) {
            continue;
        }
        const bool hasUnconfirmedStart =
            std::any_of(worker.tasks.begin(), worker.tasks.end(), [](const auto &item) {
                return !item.second.isConfirmed && !item.second.isHeld;
            });
        if (hasUnconfirmedStart) {
            return true;
        }
    }
    return false;
}

shard_load computeShardLoad(const entry_state &state, const std::string &shard)
{
    shard_load load;
    load.shard = shard;
    const auto view = state.authority.shards.find(shard);
    load.epoch = view == state.authority.shards.end() ? 0 : view->second.row.epoch;
    for (const auto &[name, worker] : state.pool.workers) {
        if (worker.shard != shard || view == state.authority.shards.end()
            || !isKnownToOwner(worker, view->second) || isLeavingWorker(worker)) {
            continue;
        }
        load.failure_domain = worker.info.failure_domain;
        const resources room = capacityOf(worker.info) - worker.committed;
        load.largest_cpu_millis = std::max(load.largest_cpu_millis, room.cpuMillis);
        load.largest_memory_mb = std::max(load.largest_memory_mb, room.memoryMb);
        load.largest_accelerators = std::max(load.largest_accelerators, room.accelerators);
        load.free_cpu_millis += room.cpuMillis;
        load.free_memory_mb += room.memoryMb;
        load.free_accelerators += room.accelerators;
    }
    return load;
}

} // namespace bramleygrade
