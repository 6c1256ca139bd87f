#include "core/job_placement.h"

#include <algorithm>

#include "core/job_home.h"
#include "core/task_messages.h"
#include "core/usage_estimate.h"

namespace bramleygrade {

namespace {

constexpr microseconds placementInterval = 20 * millisecond;
/// A task that was sent to an owner must start within this time.
constexpr microseconds startLimit = 1'500 * millisecond;
constexpr microseconds queryInterval = second;
/// The home asks after a running task of which it has not heard for this long.
constexpr microseconds runningSilenceLimit = 700 * second;
/// Tasks under way to owners at one time, for each entry.
constexpr int placingLimit = 128;
constexpr microseconds firstGangDelay = 250 * millisecond;
constexpr int gangDoublingLimit = 5;

bool isUnderWay(const job_task &task)
{
    return task.phase != job_task_phase::waiting && task.phase != job_task_phase::ended;
}

/// Sums up what the tasks of each service take, from scratch, so that it cannot drift.
void countUsed(job_registry &book)
{
    book.used.clear();
    for (const auto &[name, job] : book.jobs) {
        resources &used = book.used[serviceOfJob(name)];
        for (const job_task &task : job.tasks) {
            if (isUnderWay(task)) {
                used = used + task.committed;
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

/// The shard for a task: the one with the least room that fits it when packing, with the most room
/// when waiting counts.
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

void reduceLoad(entry_state &state, const std::string &shard, const resources &size)
{
    shard_load *load = findShardLoad(state, shard);
    if (load == nullptr) {
        return;
    }
    load->free_cpu_millis -= size.cpuMillis;
    load->free_memory_mb -= size.memoryMb;
    load->free_accelerators -= size.accelerators;
    // The largest gap shrinks at most by this; the owner's answer puts it right.
    load->largest_cpu_millis = std::min(load->largest_cpu_millis, load->free_cpu_millis);
    load->largest_memory_mb = std::min(load->largest_memory_mb, load->free_memory_mb);
}

place_task placementFor(const entry_state &state, const job_view &job, std::size_t index,
                        placement_step step, timestamp now)
{
    const job_task &task = job.tasks[index];
    const std::string home = jobHomeOf(job.row.specification->service);
    place_task wanted;
    wanted.job = std::make_unique<job_specification>(*job.row.specification);
    wanted.task = static_cast<int>(index);
    wanted.incarnation = task.incarnation;
    wanted.shard = task.shard;
    wanted.home_epoch = state.authority.shards.at(home).row.epoch;
    wanted.step = step;
    wanted.cpu_millis = task.committed.cpuMillis;
    wanted.memory_mb = task.committed.memoryMb;
    wanted.accelerators = task.committed.accelerators;
    wanted.start_by = step == placement_step::query
        ? task.startBy
        : std::min({now + startLimit, state.documents.freshUntil,
                    authorityUntil(state.authority, state.cell.identity, home, now)})
            - clockOffsetBound;
    return wanted;
}

void sendPlacement(entry_state &state, job_view &job, std::size_t index, placement_step step,
                   step_context &context)
{
    job_task &task = job.tasks[index];
    place_task wanted = placementFor(state, job, index, step, context.now);
    if (step != placement_step::query) {
        task.startBy = std::max(task.startBy, wanted.start_by);
    }
    task.nextQueryAt = context.now + queryInterval;
    sendToOwner(state, task.shard, std::move(wanted), context);
}

/// Sends one task to a shard; false where none has room.
bool placeTask(entry_state &state, job_view &job, std::size_t index, const resources &size,
               const service_document &document, step_context &context)
{
    const job_specification &specification = *job.row.specification;
    const shard_choice choice = chooseShard(state, document, size, specification.urgent);
    if (choice.shard.empty()) {
        return false;
    }
    job_task &task = job.tasks[index];
    // The clock makes incarnations rise over changes of the home as well.
    task.incarnation =
        std::max<std::uint64_t>(task.incarnation + 1, static_cast<std::uint64_t>(context.now));
    task.shard = choice.shard;
    task.committed = size;
    task.startBy = 0;
    const bool isGang = specification.all_or_nothing && specification.task_count > 1;
    task.phase = isGang ? job_task_phase::holding : job_task_phase::placing;
    sendPlacement(state, job, index, isGang ? placement_step::hold : placement_step::start,
                  context);
    reduceLoad(state, choice.shard, size);
    resources &used = state.jobs.used[specification.service];
    used = used + size;
    return true;
}

bool isWithinQuota(const entry_state &state, const service_document &document,
                   const resources &size)
{
    const auto used = state.jobs.used.find(document.service);
    const resources taken = used == state.jobs.used.end() ? resources {} : used->second;
    return fits(taken + size,
                {document.quota_cpu_millis, document.quota_memory_mb, document.quota_accelerators});
}

bool isWholeGangWaiting(const job_view &job)
{
    return std::all_of(job.tasks.begin(), job.tasks.end(),
                       [](const job_task &task) { return task.phase == job_task_phase::waiting; });
}

/// Tries all tasks of a gang; what was held is given up again where one finds no room.
void placeGang(entry_state &state, job_view &job, const service_document &document,
               step_context &context)
{
    const job_specification &specification = *job.row.specification;
    const resources size = estimateResources(state.jobs, specification, 0);
    const std::int64_t count = specification.task_count;
    const resources together {size.cpuMillis * count, size.memoryMb * count,
                              size.accelerators * count};
    if (!isWholeGangWaiting(job) || context.now < job.notBefore
        || !isWithinQuota(state, document, together)) {
        return;
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (!placeTask(state, job, index, size, document, context)) {
            task_report miss;
            handleGangPlacementFailure(state, job, job.tasks[index], miss, context);
            return;
        }
    }
}

int countPlacing(const job_registry &book)
{
    int count = 0;
    for (const auto &[name, job] : book.jobs) {
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

/// Asks after tasks whose owner has not answered in time, until it says what became of them.
void queryTasks(entry_state &state, job_view &job, step_context &context)
{
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        job_task &task = job.tasks[index];
        const bool isSilent = task.phase == job_task_phase::running
            ? context.now - task.heardAt > runningSilenceLimit
            : context.now > task.startBy + clockOffsetBound;
        if (!isUnderWay(task) || !isSilent || context.now < task.nextQueryAt) {
            continue;
        }
        if (!isRackGone(state.cell, task.shard, task.startBy, context.now)) {
            sendPlacement(state, job, index, placement_step::query, context);
        } else {
            task.phase = job_task_phase::waiting; // All workers of the rack are gone.
        }
    }
}

void startHeld(entry_state &state, job_view &job, step_context &context)
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
    const bool isWhole = std::all_of(job.tasks.begin(), job.tasks.end(), [](const job_task &other) {
        return other.phase == job_task_phase::held || other.phase == job_task_phase::ended;
    });
    if (isWhole && job.row.phase == job_phase::accepted) {
        startHeld(state, job, context);
    }
}

void handleGangPlacementFailure(entry_state &state, job_view &job, const job_task &missed,
                                const task_report &report, step_context &context)
{
    const job_specification &specification = *job.row.specification;
    const bool isGang = specification.all_or_nothing && specification.task_count > 1;
    const bool isEndOfRun =
        report.result == placement_result::failed || missed.phase == job_task_phase::running;
    const bool hasMissedAlready = context.now < job.notBefore;
    if (!isGang || hasMissedAlready || (isEndOfRun && report.result == placement_result::failed)) {
        return;
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        job_task &task = job.tasks[index];
        const bool isHeld =
            task.phase == job_task_phase::holding || task.phase == job_task_phase::held;
        if (&task != &missed && isHeld) {
            sendPlacement(state, job, index, placement_step::release, context);
            task.phase = job_task_phase::holding; // Until the owner says that it is gone.
            task.startBy = std::max(task.startBy, context.now);
        }
    }
    const int doublings = std::min(job.gangPlacementFailures++, gangDoublingLimit);
    const microseconds delay = firstGangDelay << doublings;
    job.notBefore = context.now + delay
        + static_cast<microseconds>(nextRandom(state.pool.random)
                                    % static_cast<std::uint64_t>(delay));
}

void stopAllTasks(entry_state &state, job_view &job, step_context &context)
{
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const job_task &task = job.tasks[index];
        if (!isUnderWay(task)) {
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
    countUsed(state.jobs);
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
    int budget = placingLimit - countPlacing(state.jobs);
    for (job_view *job : order) {
        placeJob(state, *job, budget, context);
    }
}

} // namespace bramleygrade
