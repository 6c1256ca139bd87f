#include "core/task_owner.h"

#include <algorithm>

#include "core/invariant.h"
#include "core/task_messages.h"

namespace bramleygrade {

namespace {

/// A worker whose task starts fail is left alone for this long, doubling with each failure.
constexpr microseconds firstAvoidance = second;
constexpr int avoidanceDoublingLimit = 6;
/// Placements ask to be started within this time at most.
constexpr microseconds longestStartLimit = 5 * second;
/// A worker that makes room for an urgent task is kept for that job this long.
constexpr microseconds reservationSpan = 3 * second;

void commit(worker_view &worker, const std::string &key, task_commitment commitment)
{
    worker.committed = worker.committed + commitment.committed;
    BRAMLEYGRADE_INVARIANT(
        fits(worker.committed, capacityOf(worker.info)),
        "a worker would be committed beyond its resources; check the choice of worker");
    worker.tasks.emplace(key, std::move(commitment));
}

void release(worker_view &worker, const std::string &key)
{
    const auto found = worker.tasks.find(key);
    if (found != worker.tasks.end()) {
        worker.committed = worker.committed - found->second.committed;
        worker.tasks.erase(found);
    }
}

bool takesTasks(const entry_state &state, const worker_view &worker, const std::string &job,
                const service_document &document, timestamp now)
{
    const auto shard = state.authority.shards.find(worker.shard);
    const bool isReservedForOther = now < worker.reservedUntil && worker.reservedFor != job;
    return shard != state.authority.shards.end() && isKnownToOwner(worker, shard->second)
        && !isLeavingWorker(worker) && now >= worker.avoidTasksUntil && !isReservedForOther
        && isAllowedDomain(document, worker.info.failure_domain);
}

/// Share of the worker that is committed in its scarcest resource, in thousandths.
std::int64_t scarcestShare(const resources &used, const resources &capacity)
{
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole > 0 ? part * 1000 / whole : 0;
    };
    return std::max({share(used.cpuMillis, capacity.cpuMillis),
                     share(used.memoryMb, capacity.memoryMb),
                     share(used.accelerators, capacity.accelerators)});
}

/// Accelerators are kept for tasks that need them, where another worker fits as well.
std::int64_t placementCost(const worker_view &worker, const resources &size,
                           placement_policy policy)
{
    constexpr std::int64_t wastedAcceleratorCost = 10'000;
    const std::int64_t share = scarcestShare(worker.committed + size, capacityOf(worker.info));
    const bool wastes = size.accelerators == 0 && worker.info.accelerators > 0;
    return (policy == placement_policy::best_packing ? -share : share)
        + (wastes ? wastedAcceleratorCost : 0);
}

worker_view *chooseWorker(entry_state &state, const place_task &wanted,
                          const service_document &document, timestamp now)
{
    worker_view *best = nullptr;
    std::int64_t bestCost = 0;
    const resources size = sizeOf(wanted);
    for (auto &[name, worker] : state.pool.workers) {
        if (worker.shard != wanted.shard
            || !takesTasks(state, worker, wanted.job->id, document, now)
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

void callWorker(entry_state &state, const worker_view &worker, worker_call_kind kind,
                task_order order, step_context &context)
{
    worker_call call;
    call.call = state.nextCall++;
    call.worker = worker.info.name;
    call.host = worker.info.host;
    call.port = worker.info.port;
    call.kind = kind;
    call.order = std::make_unique<task_order>(std::move(order));
    emit(context, std::move(call));
}

task_order orderFor(const task_commitment &commitment)
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
    task_order order = orderFor(commitment);
    order.start_by = commitment.startBy;
    order.lease_until = leaseEnd(context.now);
    order.run_time_ms = wanted.job->run_time_ms;
    order.checkpointable = wanted.job->checkpointable;
    const auto shard = state.authority.shards.find(worker.shard);
    order.epoch = shard->second.row.epoch;
    worker.leasedUntil = std::max(worker.leasedUntil, order.lease_until);
    callWorker(state, worker, worker_call_kind::start, std::move(order), context);
}

/// A placement whose end was reported must not begin again when its message is repeated: its home
/// may have placed the next incarnation elsewhere.
void rememberEnd(entry_state &state, const std::string &key, timestamp startBy, timestamp now)
{
    if (startBy > now) {
        state.endedPlacements[key] = startBy;
    }
}

/// Orders checkpoints on the worker that can make room at the least cost; the home tries again.
void makeRoom(entry_state &state, const place_task &wanted, const service_document &document,
              step_context &context)
{
    const resources size = sizeOf(wanted);
    worker_view *best = nullptr;
    std::vector<std::string> bestVictims;
    for (auto &[name, worker] : state.pool.workers) {
        if (worker.shard != wanted.shard
            || !takesTasks(state, worker, wanted.job->id, document, context.now)) {
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
        if (!victim.isCheckpointAsked) {
            victim.isCheckpointAsked = true;
            callWorker(state, *best, worker_call_kind::checkpoint, orderFor(victim), context);
        }
    }
}

void refuseTask(entry_state &state, const std::string &from, const place_task &wanted,
                placement_result result, step_context &context)
{
    rememberEnd(state, taskKeyOf(wanted.job->id, wanted.task, wanted.incarnation), wanted.start_by,
                context.now);
    task_report report;
    report.job = wanted.job->id;
    report.service = wanted.job->service;
    report.task = wanted.task;
    report.incarnation = wanted.incarnation;
    report.shard = wanted.shard;
    report.result = result;
    report.load = std::make_unique<shard_load>(describeShard(state, wanted.shard));
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

/// True where the worker has been out of reach for so long that no lease on it can last, neither of
/// this owner nor of a former one.
bool isLapsed(const entry_state &state, const worker_view &worker, timestamp now)
{
    const auto shard = state.authority.shards.find(worker.shard);
    if (shard == state.authority.shards.end()) {
        return false;
    }
    const timestamp formerLeases = shard->second.actsFrom + lengthenedByClockError(taskLeaseSpan);
    return now > std::max(formerLeases, worker.leasedUntil) + 2 * clockOffsetBound;
}

/// True where every worker of the shard has reported after `since`, or can run nothing any more
/// that was started before.
bool isShardSeenSince(const entry_state &state, const std::string &shard, timestamp since,
                      timestamp now)
{
    for (const auto &[name, worker] : state.pool.workers) {
        if (worker.shard == shard && worker.seenAt <= since + clockOffsetBound
            && !(now > since && isLapsed(state, worker, now))) {
            return false;
        }
    }
    return true;
}

/// Asks the workers of the shard that have not reported since then, without waiting for their turn.
void pollSoon(entry_state &state, const std::string &shard, timestamp since, timestamp now)
{
    for (auto &[name, worker] : state.pool.workers) {
        if (worker.shard == shard && worker.seenAt <= since + clockOffsetBound
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

/// Resources that a task frees go back, and its home hears of it.
void endTask(entry_state &state, worker_view &worker, const std::string &key,
             placement_result result, step_context &context)
{
    const auto found = worker.tasks.find(key);
    if (found == worker.tasks.end()) {
        return;
    }
    const task_commitment ended = found->second;
    release(worker, key);
    rememberEnd(state, key, context.now + longestStartLimit, context.now);
    reportTask(state, worker, ended, result, context);
}

void placeNew(entry_state &state, const std::string &from, const place_task &wanted,
              const std::string &key, step_context &context)
{
    const service_document *document = findDocument(state.documents, wanted.job->service);
    const bool isInTime = context.now + clockOffsetBound < wanted.start_by
        && wanted.start_by < context.now + longestStartLimit
        && state.endedPlacements.count(key) == 0
        && !state.authority.shards.at(wanted.shard).isClosing;
    if (document == nullptr || !areDocumentsFresh(state.documents, context.now) || !isInTime) {
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
    commitment.committed = sizeOf(wanted);
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

void noteStartFailure(worker_view &worker, timestamp now)
{
    const int doublings = std::min(worker.startFailuresInRow, avoidanceDoublingLimit);
    worker.avoidTasksUntil = now + (firstAvoidance << doublings);
    ++worker.startFailuresInRow;
}

void noteStart(entry_state &state, worker_view &worker, const std::string &key,
               const worker_result &result, step_context &context)
{
    const auto found = worker.tasks.find(key);
    if (found == worker.tasks.end()) {
        return;
    }
    if (result.accepted) {
        worker.startFailuresInRow = 0;
        found->second.isConfirmed = true;
        found->second.confirmedAt = context.now;
        reportTask(state, worker, found->second, placement_result::running, context);
        return;
    }
    const bool isLost = result.reached && result.seen == nullptr;
    if (isLost) {
        worker.nextPollAt = context.now; // The next report tells.
        return;
    }
    noteStartFailure(worker, context.now);
    endTask(state, worker, key, placement_result::refused, context);
}

/// A task that runs on the worker and that this owner did not start: a former owner did.
void adoptTask(entry_state &state, worker_view &worker, const worker_task &seen,
               const std::string &key, step_context &context)
{
    task_commitment commitment;
    commitment.committed = {seen.cpu_millis, seen.memory_mb, seen.accelerators};
    commitment.job = seen.job;
    commitment.task = seen.task;
    commitment.incarnation = seen.incarnation;
    commitment.service = seen.service;
    commitment.isCheckpointable = seen.checkpointable;
    commitment.isConfirmed = true;
    commitment.confirmedAt = context.now;
    commit(worker, key, std::move(commitment));
    reportTask(state, worker, worker.tasks.at(key), placement_result::running, context);
}

placement_result resultOf(task_phase phase)
{
    switch (phase) {
    case task_phase::running:
        return placement_result::running;
    case task_phase::finished:
        return placement_result::finished;
    case task_phase::failed:
        return placement_result::failed;
    case task_phase::stopped:
        return placement_result::stopped;
    case task_phase::checkpointed:
        return placement_result::checkpointed;
    }
    return placement_result::failed;
}

void noteSeenTask(entry_state &state, worker_view &worker, const worker_task &seen,
                  step_context &context)
{
    const std::string key = taskKeyOf(seen.job, seen.task, seen.incarnation);
    const auto known = worker.tasks.find(key);
    if (seen.phase == task_phase::running) {
        if (known == worker.tasks.end()) {
            adoptTask(state, worker, seen, key, context);
            return;
        }
        task_commitment &task = known->second;
        const bool isNews = !task.isConfirmed;
        task.isConfirmed = true;
        task.confirmedAt = isNews ? context.now : task.confirmedAt;
        task.usedCpuMillis = seen.used_cpu_millis;
        task.usedMemoryMb = seen.used_memory_mb;
        const bool isUsageNew = task.reportedUsage != seen.used_cpu_millis;
        constexpr microseconds usageInterval = 30 * second;
        constexpr microseconds reminderInterval = 300 * second;
        const microseconds interval = isUsageNew ? usageInterval : reminderInterval;
        if (isNews || context.now - task.reportedAt > interval) {
            task.reportedUsage = seen.used_cpu_millis;
            reportTask(state, worker, task, placement_result::running, context);
        }
        return;
    }
    // Ended tasks are told until the home has them on record and lets the worker forget them.
    if (known != worker.tasks.end()) {
        endTask(state, worker, key, resultOf(seen.phase), context);
        return;
    }
    task_commitment ended;
    ended.job = seen.job;
    ended.task = seen.task;
    ended.incarnation = seen.incarnation;
    ended.service = seen.service;
    reportTask(state, worker, ended, resultOf(seen.phase), context);
}

/// Commitments that the worker does not list: never started, or ended with a restart of the worker.
void dropUnlisted(entry_state &state, worker_view &worker, const worker_result &result,
                  step_context &context)
{
    std::vector<std::string> unlisted;
    for (const auto &[key, task] : worker.tasks) {
        const bool isListed = std::any_of(
            result.seen->tasks.begin(), result.seen->tasks.end(), [&key = key](const auto &seen) {
                return taskKeyOf(seen->job, seen->task, seen->incarnation) == key;
            });
        const timestamp settledAt =
            task.isConfirmed ? task.confirmedAt : task.startBy + 2 * clockOffsetBound;
        if (!isListed && !task.isHeld && result.asked_at > settledAt) {
            unlisted.push_back(key);
        }
    }
    for (const std::string &key : unlisted) {
        endTask(state, worker, key, placement_result::absent, context);
    }
}

} // namespace

resources sizeOf(const place_task &wanted)
{
    return {wanted.cpu_millis, wanted.memory_mb, wanted.accelerators};
}

timestamp leaseEnd(timestamp now)
{
    return now + taskLeaseSpan;
}

void takePlaceTask(entry_state &state, const std::string &from, const place_task &wanted,
                   step_context &context)
{
    const bool isOwner =
        holdsAuthority(state.authority, state.cell.identity, wanted.shard, context.now);
    if (wanted.job == nullptr) {
        return;
    }
    const std::uint64_t fence = state.homeFence[jobHomeOf(wanted.job->service)];
    if (!isOwner || wanted.home_epoch < fence) {
        if (wanted.step != placement_step::query) {
            refuseTask(state, from, wanted, placement_result::refused, context);
        }
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

void takeStopTask(entry_state &state, const stop_task &wanted, step_context &context)
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
        if (worker.shard == wanted.shard && worker.endedKeys.erase(key) > 0) {
            callWorker(state, worker, worker_call_kind::forget, order, context);
        }
    }
}

void takeFindTasks(entry_state &state, const std::string &from, const find_tasks &wanted,
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
            found.tasks.push_back(std::make_unique<task_report>(describeTask(
                worker, task, task.isHeld ? placement_result::held : placement_result::running)));
        }
    }
    state.findAskedAt.erase(asker);
    sendTaskMessage(state, from, std::move(found), context);
}

void noteTaskCall(entry_state &state, worker_view &worker, const worker_result &result,
                  step_context &context)
{
    if (result.order == nullptr) {
        return;
    }
    const task_order &order = *result.order;
    const std::string key = taskKeyOf(order.job, order.task, order.incarnation);
    if (result.kind == worker_call_kind::start) {
        noteStart(state, worker, key, result, context);
    } else if (result.accepted && result.kind == worker_call_kind::forget) {
        worker.endedKeys.erase(key);
    } else if (result.accepted) {
        worker.nextPollAt = context.now; // Stopped or checkpointed: the next report tells.
        if (result.seen != nullptr && result.asked_at >= worker.seenAt) {
            worker.seenAt = result.asked_at;
            noteTaskReport(state, worker, result, context);
        }
    }
}

void noteTaskReport(entry_state &state, worker_view &worker, const worker_result &result,
                    step_context &context)
{
    if (result.seen->is_unchanged) {
        return;
    }
    worker.reportVersion = result.seen->version;
    worker.endedKeys.clear();
    for (const auto &seen : result.seen->tasks) {
        if (seen->phase != task_phase::running) {
            worker.endedKeys.insert(taskKeyOf(seen->job, seen->task, seen->incarnation));
        }
    }
    // Ended tasks first, so that what they free is there for tasks that are adopted.
    for (const bool isRunning : {false, true}) {
        for (const auto &seen : result.seen->tasks) {
            if ((seen->phase == task_phase::running) == isRunning) {
                noteSeenTask(state, worker, *seen, context);
            }
        }
    }
    dropUnlisted(state, worker, result, context);
}

void tendTasks(entry_state &state, step_context &context)
{
    for (auto item = state.endedPlacements.begin(); item != state.endedPlacements.end();) {
        item = context.now >= item->second ? state.endedPlacements.erase(item) : std::next(item);
    }
    for (auto &[name, worker] : state.pool.workers) {
        const bool isSilent =
            isLapsed(state, worker, context.now) && context.now - worker.seenAt > taskLeaseSpan;
        std::vector<std::string> ended;
        for (const auto &[key, task] : worker.tasks) {
            if (isSilent || (task.isHeld && context.now >= task.holdUntil)) {
                ended.push_back(key);
            }
        }
        for (const std::string &key : ended) {
            endTask(state, worker, key, placement_result::absent, context);
        }
    }
}

void endTasksOf(entry_state &state, worker_view &worker, step_context &context)
{
    while (!worker.tasks.empty()) {
        endTask(state, worker, worker.tasks.begin()->first, placement_result::absent, context);
    }
}

bool hasUnsettledStarts(const worker_pool &pool, const std::string &shard)
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

shard_load describeShard(const entry_state &state, const std::string &shard)
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
