#include "core/job_placement.h"

#include <algorithm>

#include "core/job_home.h"
#include "core/task_messages.h"
#include "core/usage_estimate.h"

namespace bramleygrade {

namespace {

constexpr microseconds placementInterval = 20 * millisecond;
/// The worker must start a placed task within this time after the placement is sent.
constexpr microseconds startTimeout = 1'500 * millisecond;
/// Interval at which an overdue task is queried.
constexpr microseconds queryInterval = second;
/// A running task without a report for this long is queried.
constexpr microseconds runningReportTimeout = 700 * second;
/// While this many tasks on one entry are in phase `placing`, only gangs are placed.
constexpr int maxPlacingTasks = 128;
constexpr microseconds initialGangDelay = 250 * millisecond;
constexpr int maxGangDoublings = 5;

bool isActive(const job_task &task)
{
    return task.phase != job_task_phase::waiting && task.phase != job_task_phase::ended;
}

/// Recomputes the committed resources of each service from all tasks, so that errors cannot
/// accumulate.
void recomputeCommittedResources(job_registry &registry)
{
    registry.committedResources.clear();
    for (const auto &[name, job] : registry.jobs) {
        resources &committedResources = registry.committedResources[serviceOfJob(name)];
        for (const job_task &task : job.tasks) {
            if (isActive(task)) {
                committedResources = committedResources + task.committed;
            }
        }
    }
}

shard_load *findShardLoad(entry_state &state, const std::string &shard)
{
    for (auto &[identity, load] : state.requests.peers) {
        for (auto &known : load.report.shards) {
            if (known->shard == shard) {
                return known.get();
            }
        }
    }
    return nullptr;
}

struct shard_choice
{
    std::string shard;
    std::int64_t cost = 0;
};

/// Returns the shard for a task: under `best_packing` the one with the least free CPU that fits the
/// task, otherwise the one with the most. For an urgent task, a shard without room is the last
/// choice, because its owner can checkpoint other tasks. A small random term spreads tasks over
/// shards with nearly equal costs.
shard_choice chooseShard(entry_state &state, const service_document &document,
                         const resources &size, bool isUrgent)
{
    shard_choice best;
    for (auto &[identity, load] : state.requests.peers) {
        for (const auto &known : load.report.shards) {
            const auto view = state.authority.shards.find(known->shard);
            const resources largest {known->largest_cpu_millis, known->largest_memory_mb,
                                     known->largest_accelerators};
            const bool isOwner =
                view != state.authority.shards.end() && view->second.row.owner == identity;
            const bool hasRoom = fits(size, largest);
            if (!isOwner || !isAllowedDomain(document, known->failure_domain)
                || (!hasRoom && !isUrgent)) {
                continue;
            }
            std::int64_t cost = document.policy == placement_policy::best_packing
                ? known->free_cpu_millis
                : -known->free_cpu_millis;
            cost += hasRoom ? 0 : std::int64_t {1} << 40;
            cost += static_cast<std::int64_t>(nextRandom(state.pool.random) % 16);
            if (best.shard.empty() || cost < best.cost) {
                best = {known->shard, cost};
            }
        }
    }
    return best;
}

void deductFromLoad(entry_state &state, const std::string &shard, const resources &size)
{
    shard_load *load = findShardLoad(state, shard);
    if (load == nullptr) {
        return;
    }
    load->free_cpu_millis -= size.cpuMillis;
    load->free_memory_mb -= size.memoryMb;
    load->free_accelerators -= size.accelerators;
    // The largest free amount on one worker is unknown until the owner's next report, but cannot
    // exceed the free total.
    load->largest_cpu_millis = std::min(load->largest_cpu_millis, load->free_cpu_millis);
    load->largest_memory_mb = std::min(load->largest_memory_mb, load->free_memory_mb);
}

place_task makePlaceTask(const entry_state &state, const job_view &job, std::size_t index,
                         placement_step step, timestamp now)
{
    const job_task &task = job.tasks[index];
    const std::string home = jobHomeOf(job.row.specification->service);
    place_task request;
    request.job = std::make_unique<job_specification>(*job.row.specification);
    request.task = static_cast<int>(index);
    request.incarnation = task.incarnation;
    request.shard = task.shard;
    request.home_epoch = state.authority.shards.at(home).row.epoch;
    request.step = step;
    request.cpu_millis = task.committed.cpuMillis;
    request.memory_mb = task.committed.memoryMb;
    request.accelerators = task.committed.accelerators;
    request.start_by = step == placement_step::query
        ? task.startBy
        : std::min({now + startTimeout, state.documents.freshUntil,
                    leaseExpiry(state.authority, state.cell.identity, home, now)})
            - clockOffsetBound;
    return request;
}

void sendPlacement(entry_state &state, job_view &job, std::size_t index, placement_step step,
                   step_context &context)
{
    job_task &task = job.tasks[index];
    place_task request = makePlaceTask(state, job, index, step, context.now);
    if (step != placement_step::query) {
        task.startBy = std::max(task.startBy, request.start_by);
    }
    task.nextQueryAt = context.now + queryInterval;
    sendToOwner(state, task.shard, std::move(request), context);
}

/// Sends one task to a shard. Returns false if no shard has room.
bool placeTask(entry_state &state, job_view &job, std::size_t index, const resources &size,
               const service_document &document, step_context &context)
{
    const job_specification &specification = *job.row.specification;
    const shard_choice choice = chooseShard(state, document, size, specification.urgent);
    if (choice.shard.empty()) {
        return false;
    }
    job_task &task = job.tasks[index];
    // Using the clock keeps incarnations increasing across changes of the home's owner.
    task.incarnation =
        std::max<std::uint64_t>(task.incarnation + 1, static_cast<std::uint64_t>(context.now));
    task.shard = choice.shard;
    task.committed = size;
    task.startBy = 0;
    const bool isGang = specification.all_or_nothing && specification.task_count > 1;
    task.phase = isGang ? job_task_phase::holding : job_task_phase::placing;
    sendPlacement(state, job, index, isGang ? placement_step::hold : placement_step::start,
                  context);
    deductFromLoad(state, choice.shard, size);
    resources &committedResources = state.jobs.committedResources[specification.service];
    committedResources = committedResources + size;
    return true;
}

bool isWithinQuota(const entry_state &state, const service_document &document,
                   const resources &size)
{
    const auto committedResources = state.jobs.committedResources.find(document.service);
    const resources taken = committedResources == state.jobs.committedResources.end()
        ? resources {}
        : committedResources->second;
    return fits(taken + size,
                {document.quota_cpu_millis, document.quota_memory_mb, document.quota_accelerators});
}

bool areAllTasksWaiting(const job_view &job)
{
    return std::all_of(job.tasks.begin(), job.tasks.end(),
                       [](const job_task &task) { return task.phase == job_task_phase::waiting; });
}

/// Sends holds for all tasks of a gang; if one finds no room, the others are released.
void placeGang(entry_state &state, job_view &job, const service_document &document,
               step_context &context)
{
    const job_specification &specification = *job.row.specification;
    const resources size = estimateResources(state.jobs, specification, 0);
    const std::int64_t count = specification.task_count;
    const resources totalNeed {size.cpuMillis * count, size.memoryMb * count,
                               size.accelerators * count};
    if (!areAllTasksWaiting(job) || context.now < job.notBefore
        || !isWithinQuota(state, document, totalNeed)) {
        return;
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (!placeTask(state, job, index, size, document, context)) {
            task_report emptyReport;
            handleGangPlacementFailure(state, job, job.tasks[index], emptyReport, context);
            return;
        }
    }
}

int countPlacing(const job_registry &registry)
{
    int count = 0;
    for (const auto &[name, job] : registry.jobs) {
        for (const job_task &task : job.tasks) {
            count += task.phase == job_task_phase::placing ? 1 : 0;
        }
    }
    return count;
}

void placeJob(entry_state &state, job_view &job, int &budget, step_context &context)
{
    const job_specification &specification = *job.row.specification;
    const service_document *document = findDocument(state.documents, specification.service);
    if (document == nullptr || !areDocumentsFresh(state.documents, context.now)) {
        return;
    }
    if (specification.all_or_nothing && specification.task_count > 1) {
        placeGang(state, job, *document, context);
        return;
    }
    for (std::size_t index = 0; index < job.tasks.size() && budget > 0; ++index) {
        const job_task &task = job.tasks[index];
        if (task.phase != job_task_phase::waiting || context.now < task.notBefore) {
            continue;
        }
        const resources size = estimateResources(state.jobs, specification, task.failures);
        if (!isWithinQuota(state, *document, size)
            || !placeTask(state, job, index, size, *document, context)) {
            return;
        }
        --budget;
    }
}

/// Queries the state of tasks whose owner has not reported in time, until it reports.
void queryTasks(entry_state &state, job_view &job, step_context &context)
{
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        job_task &task = job.tasks[index];
        const bool isOverdue = task.phase == job_task_phase::running
            ? context.now - task.lastReportAt > runningReportTimeout
            : context.now > task.startBy + clockOffsetBound;
        if (!isActive(task) || !isOverdue || context.now < task.nextQueryAt) {
            continue;
        }
        if (!isRackRemoved(state.cell, task.shard, task.startBy, context.now)) {
            sendPlacement(state, job, index, placement_step::query, context);
        } else {
            // The workers of a rack that the platform no longer lists cannot run anything.
            task.phase = job_task_phase::waiting;
        }
    }
}

void startHeldTasks(entry_state &state, job_view &job, step_context &context)
{
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].phase == job_task_phase::held) {
            job.tasks[index].phase = job_task_phase::placing;
            sendPlacement(state, job, index, placement_step::start, context);
        }
    }
}

} // namespace

void updateShardLoad(entry_state &state, const std::string &from, const task_report &report)
{
    if (report.load == nullptr || report.load->shard.empty()) {
        return;
    }
    shard_load *known = findShardLoad(state, report.load->shard);
    if (known != nullptr) {
        *known = *report.load;
    } else {
        state.requests.peers[from].report.shards.push_back(
            std::make_unique<shard_load>(*report.load));
    }
}

void handleTaskHeld(entry_state &state, job_view &job, job_task &task, const task_report &report,
                    step_context &context)
{
    if (task.phase != job_task_phase::holding) {
        return;
    }
    task.phase = job_task_phase::held;
    task.worker = report.worker;
    const bool areAllTasksHeld =
        std::all_of(job.tasks.begin(), job.tasks.end(), [](const job_task &other) {
            return other.phase == job_task_phase::held || other.phase == job_task_phase::ended;
        });
    if (areAllTasksHeld && job.row.phase == job_phase::accepted) {
        startHeldTasks(state, job, context);
    }
}

void handleGangPlacementFailure(entry_state &state, job_view &job, const job_task &unplacedTask,
                                const task_report &report, step_context &context)
{
    const job_specification &specification = *job.row.specification;
    const bool isGang = specification.all_or_nothing && specification.task_count > 1;
    const bool isEndOfRun =
        report.result == placement_result::failed || unplacedTask.phase == job_task_phase::running;
    const bool isBackingOff = context.now < job.notBefore;
    if (!isGang || isBackingOff || (isEndOfRun && report.result == placement_result::failed)) {
        return;
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        job_task &task = job.tasks[index];
        const bool isHeld =
            task.phase == job_task_phase::holding || task.phase == job_task_phase::held;
        if (&task != &unplacedTask && isHeld) {
            sendPlacement(state, job, index, placement_step::release, context);
            task.phase = job_task_phase::holding; // Until the owner confirms the release.
            task.startBy = std::max(task.startBy, context.now);
        }
    }
    const int doublings = std::min(job.gangPlacementFailures++, maxGangDoublings);
    const microseconds delay = initialGangDelay << doublings;
    job.notBefore = context.now + delay
        + static_cast<microseconds>(nextRandom(state.pool.random)
                                    % static_cast<std::uint64_t>(delay));
}

void stopAllTasks(entry_state &state, job_view &job, step_context &context)
{
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const job_task &task = job.tasks[index];
        if (!isActive(task)) {
            continue;
        }
        stop_task stop;
        stop.service = job.row.specification->service;
        stop.job = job.row.specification->id;
        stop.task = static_cast<int>(index);
        stop.incarnation = task.incarnation;
        stop.shard = task.shard;
        sendToOwner(state, task.shard, std::move(stop), context);
    }
}

void placeTasks(entry_state &state, step_context &context)
{
    if (context.now < state.jobs.nextPlacementAt) {
        return;
    }
    state.jobs.nextPlacementAt = context.now + placementInterval;
    recomputeCommittedResources(state.jobs);
    std::vector<job_view *> order;
    for (auto &[name, job] : state.jobs.jobs) {
        if (!isJobHome(state, serviceOfJob(name), context.now)) {
            continue;
        }
        queryTasks(state, job, context);
        if (job.row.phase == job_phase::accepted && job.rowVersion != 0) {
            order.push_back(&job);
        }
    }
    std::sort(order.begin(), order.end(), [](const job_view *left, const job_view *right) {
        const auto rank = [](const job_view *job) {
            return std::make_pair(!job->row.specification->urgent, job->acceptedAt);
        };
        return rank(left) < rank(right);
    });
    int budget = maxPlacingTasks - countPlacing(state.jobs);
    for (job_view *job : order) {
        placeJob(state, *job, budget, context);
    }
}

} // namespace bramleygrade
