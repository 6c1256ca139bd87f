#include "core/task_owner.h"

#include <algorithm>

#include "core/invariant.h"
#include "core/task_commitments.h"
#include "core/task_messages.h"
#include "core/worker_selection.h"

namespace bramleygrade {

namespace {

/// A worker that makes room for an urgent task is kept for that job this long.
constexpr microseconds reservationSpan = 3 * second;

/// Orders the worker to start; the order cannot take effect after `startBy`.
void startOn(entry_state &state, worker_view &worker, task_commitment &commitment,
             const place_task &wanted, step_context &context)
{
    const timestamp limit =
        std::min({wanted.start_by, state.documents.freshUntil,
                  authorityUntil(state.authority, state.cell.identity, worker.shard, context.now)});
    commitment.startBy = limit - clockOffsetBound;
    commitment.isHeld = false;
    commitment.holdUntil = distantFuture;
    task_order order = makeTaskOrder(commitment);
    order.start_by = commitment.startBy;
    order.lease_until = leaseEnd(context.now);
    order.run_time_ms = wanted.job->run_time_ms;
    order.checkpointable = wanted.job->checkpointable;
    const auto shard = state.authority.shards.find(worker.shard);
    order.epoch = shard->second.row.epoch;
    worker.leasedUntil = std::max(worker.leasedUntil, order.lease_until);
    callWorker(state, worker, worker_call_kind::start, std::move(order), context);
}

/// Orders checkpoints on the worker that can make room at the least cost; the home tries again.
void makeRoom(entry_state &state, const place_task &wanted, const service_document &document,
              step_context &context)
{
    const resources size = requestedResources(wanted);
    worker_view *best = nullptr;
    std::vector<std::string> bestVictims;
    for (auto &[name, worker] : state.pool.workers) {
        if (worker.shard != wanted.shard
            || !isEligibleForTasks(state, worker, wanted.job->id, document, context.now)) {
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
    best->reservedFor = wanted.job->id;
    best->reservedUntil = context.now + reservationSpan;
    for (const std::string &key : bestVictims) {
        task_commitment &victim = best->tasks.at(key);
        if (!victim.isCheckpointRequested) {
            victim.isCheckpointRequested = true;
            callWorker(state, *best, worker_call_kind::checkpoint, makeTaskOrder(victim), context);
        }
    }
}

void refuseTask(entry_state &state, const std::string &from, const place_task &wanted,
                placement_result result, step_context &context)
{
    recordPlacementEnd(state, taskKeyOf(wanted.job->id, wanted.task, wanted.incarnation),
                       wanted.start_by, context.now);
    task_report report;
    report.job = wanted.job->id;
    report.service = wanted.job->service;
    report.task = wanted.task;
    report.incarnation = wanted.incarnation;
    report.shard = wanted.shard;
    report.result = result;
    report.load = std::make_unique<shard_load>(computeShardLoad(state, wanted.shard));
    sendTaskMessage(state, from, std::move(report), context);
}

/// The task as this owner knows it, or null.
worker_view *findTask(entry_state &state, const std::string &shard, const std::string &key)
{
    for (auto &[name, worker] : state.pool.workers) {
        if (worker.shard == shard && worker.tasks.count(key) > 0) {
            return &worker;
        }
    }
    return nullptr;
}

/// True where every worker of the shard has reported after `since`, or can run nothing any more
/// that was started before.
bool isShardSeenSince(const entry_state &state, const std::string &shard, timestamp since,
                      timestamp now)
{
    for (const auto &[name, worker] : state.pool.workers) {
        if (worker.shard == shard && worker.lastReportRequestedAt <= since + clockOffsetBound
            && !(now > since && areLeasesExpired(state, worker, now))) {
            return false;
        }
    }
    return true;
}

/// Asks the workers of the shard that have not reported since then, without waiting for their turn.
void pollSoon(entry_state &state, const std::string &shard, timestamp since, timestamp now)
{
    for (auto &[name, worker] : state.pool.workers) {
        if (worker.shard == shard && worker.lastReportRequestedAt <= since + clockOffsetBound
            && worker.nextPollAt > now + workerPollInterval / 4) {
            worker.nextPollAt = std::max(now, since + clockOffsetBound + millisecond);
        }
    }
}

/// Answers a query about a task that this owner does not know.
void answerUnknownTask(entry_state &state, const std::string &from, const place_task &wanted,
                       step_context &context)
{
    const auto shard = state.authority.shards.find(wanted.shard);
    const timestamp since = std::max(wanted.start_by, shard->second.actsFrom);
    if (isShardSeenSince(state, wanted.shard, since, context.now)) {
        refuseTask(state, from, wanted, placement_result::absent, context);
        return;
    }
    pollSoon(state, wanted.shard, since, context.now);
}

void placeNew(entry_state &state, const std::string &from, const place_task &wanted,
              const std::string &key, step_context &context)
{
    const service_document *document = findDocument(state.documents, wanted.job->service);
    const bool isInTime = context.now + clockOffsetBound < wanted.start_by
        && wanted.start_by < context.now + maxStartTimeout && state.endedPlacements.count(key) == 0
        && !state.authority.shards.at(wanted.shard).isClosing;
    if (document == nullptr || !areDocumentsFresh(state.documents, context.now) || !isInTime
        || !isListCurrent(state.cell, context.now)) {
        refuseTask(state, from, wanted, placement_result::refused, context);
        return;
    }
    worker_view *worker = chooseWorker(state, wanted, *document, context.now);
    if (worker == nullptr) {
        if (wanted.job->urgent) {
            makeRoom(state, wanted, *document, context);
        }
        refuseTask(state, from, wanted, placement_result::refused, context);
        return;
    }
    BRAMLEYGRADE_INVARIANT(isAllowedDomain(*document, worker->info.failure_domain),
                           "a task would leave its failure domains; check the choice of worker");
    task_commitment commitment;
    commitment.committed = requestedResources(wanted);
    commitment.job = wanted.job->id;
    commitment.task = wanted.task;
    commitment.incarnation = wanted.incarnation;
    commitment.service = wanted.job->service;
    commitment.isCheckpointable = wanted.job->checkpointable && !wanted.job->urgent;
    commitment.isHeld = wanted.step == placement_step::hold;
    commitment.holdUntil = commitment.isHeld ? wanted.start_by : distantFuture;
    commit(*worker, key, std::move(commitment));
    if (wanted.step == placement_step::start) {
        startOn(state, *worker, worker->tasks.at(key), wanted, context);
    } else {
        reportTask(state, *worker, worker->tasks.at(key), placement_result::held, context);
    }
}

void placeKnown(entry_state &state, worker_view &worker, const place_task &wanted,
                const std::string &key, step_context &context)
{
    task_commitment &known = worker.tasks.at(key);
    if (known.isHeld && wanted.step == placement_step::release) {
        endTask(state, worker, key, placement_result::absent, context);
        return;
    }
    const bool isInTime = context.now + clockOffsetBound < wanted.start_by
        && !state.authority.shards.at(wanted.shard).isClosing;
    if (known.isHeld && wanted.step == placement_step::start && isInTime) {
        startOn(state, worker, known, wanted, context);
    } else if (known.isHeld) {
        reportTask(state, worker, known, placement_result::held, context);
    } else if (known.isConfirmed) {
        reportTask(state, worker, known, placement_result::running, context);
    }
}

} // namespace

resources requestedResources(const place_task &wanted)
{
    return {wanted.cpu_millis, wanted.memory_mb, wanted.accelerators};
}

timestamp leaseEnd(timestamp now)
{
    return now + taskLeaseDuration;
}

void handlePlaceTask(entry_state &state, const std::string &from, const place_task &wanted,
                     step_context &context)
{
    const bool isOwner =
        holdsAuthority(state.authority, state.cell.identity, wanted.shard, context.now);
    if (wanted.job == nullptr) {
        return;
    }
    const std::uint64_t fence = state.homeFence[jobHomeOf(wanted.job->service)];
    if (!isOwner || wanted.home_epoch < fence) {
        // Silence, since this may be a repeated message whose first copy was taken before the shard
        // changed hands. The home asks the present owner once `start_by` has passed.
        return;
    }
    const std::string key = taskKeyOf(wanted.job->id, wanted.task, wanted.incarnation);
    worker_view *worker = findTask(state, wanted.shard, key);
    if (worker != nullptr) {
        placeKnown(state, *worker, wanted, key, context);
    } else if (wanted.step == placement_step::query) {
        answerUnknownTask(state, from, wanted, context);
    } else if (wanted.step == placement_step::start || wanted.step == placement_step::hold) {
        placeNew(state, from, wanted, key, context);
    }
}

void handleStopTask(entry_state &state, const stop_task &wanted, step_context &context)
{
    const std::string key = taskKeyOf(wanted.job, wanted.task, wanted.incarnation);
    task_order order;
    order.job = wanted.job;
    order.task = wanted.task;
    order.incarnation = wanted.incarnation;
    order.service = wanted.service;
    const service_document *document = findDocument(state.documents, wanted.service);
    order.grace_ms = document == nullptr ? 0 : document->stop_grace_ms;
    worker_view *running = findTask(state, wanted.shard, key);
    if (running != nullptr) {
        callWorker(state, *running, worker_call_kind::stop, std::move(order), context);
        return;
    }
    for (auto &[name, worker] : state.pool.workers) {
        if (worker.shard == wanted.shard && worker.endedTaskKeys.erase(key) > 0) {
            callWorker(state, worker, worker_call_kind::forget, order, context);
        }
    }
}

void handleFindTasks(entry_state &state, const std::string &from, const find_tasks &wanted,
                     step_context &context)
{
    if (!holdsAuthority(state.authority, state.cell.identity, wanted.shard, context.now)) {
        return;
    }
    std::uint64_t &fence = state.homeFence[wanted.home_shard];
    if (wanted.home_epoch < fence) {
        return;
    }
    fence = wanted.home_epoch;
    const std::string asker = from + "/" + std::to_string(wanted.number);
    const timestamp askedAt = state.findAskedAt.emplace(asker, context.now).first->second;
    const timestamp since = std::max(askedAt, state.authority.shards.at(wanted.shard).actsFrom);
    if (!isShardSeenSince(state, wanted.shard, since, context.now)) {
        pollSoon(state, wanted.shard, since, context.now);
        return; // The asker asks again.
    }
    found_tasks found;
    found.home_shard = wanted.home_shard;
    found.shard = wanted.shard;
    found.number = wanted.number;
    for (const auto &[name, worker] : state.pool.workers) {
        if (worker.shard != wanted.shard) {
            continue;
        }
        for (const auto &[key, task] : worker.tasks) {
            if (homeShardOf(task.service) != wanted.home_shard) {
                continue;
            }
            if (!task.isConfirmed && !task.isHeld) {
                return; // Not settled yet.
            }
            found.tasks.push_back(std::make_unique<task_report>(makeTaskReport(
                worker, task, task.isHeld ? placement_result::held : placement_result::running)));
        }
    }
    state.findAskedAt.erase(asker);
    sendTaskMessage(state, from, std::move(found), context);
}

bool hasUnconfirmedStarts(const worker_pool &pool, const std::string &shard)
{
    for (const auto &[name, worker] : pool.workers) {
        if (worker.shard != shard) {
            continue;
        }
        const bool isUnsettled =
            std::any_of(worker.tasks.begin(), worker.tasks.end(), [](const auto &item) {
                return !item.second.isConfirmed && !item.second.isHeld;
            });
        if (isUnsettled) {
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
