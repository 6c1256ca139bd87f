#include "cell/teams/team_usage.h"

#include <algorithm>
#include <limits>

#include "cell/scheduler.h"

namespace bramleygrade::cell {

namespace {

/// Room in a resource without a cap; the difference to any demand is representable.
constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max() / 4;

/// The members of `resources`, and the names by which callers know them.
struct resource_field
{
    std::int64_t resources::*amount;
    const char *name;
};
constexpr resource_field fields[] = {{&resources::cpuMilli, "cpu"},
                                     {&resources::memoryMb, "memMb"},
                                     {&resources::accelerators, "gpu"}};

resources multiply(const resources &demand, std::size_t count)
{
    const auto factor = static_cast<std::int64_t>(count);
    return {demand.cpuMilli * factor, demand.memoryMb * factor, demand.accelerators * factor};
}

bool hasLimit(const resources &cap)
{
    return !(cap == resources {});
}

/// Returns what the cap leaves beside `used`, per resource; negative where the cap is exceeded.
resources roomWithin(const resources &cap, const resources &used)
{
    resources room;
    for (const resource_field &field : fields) {
        room.*field.amount =
            cap.*field.amount > 0 ? cap.*field.amount - used.*field.amount : unlimited;
    }
    return room;
}

/// Returns how many of `wanted` tasks fit; none if a resource is exceeded already.
std::size_t countFitting(const resources &demand, const resources &room, std::size_t wanted)
{
    auto count = static_cast<std::int64_t>(wanted);
    for (const resource_field &field : fields) {
        const std::int64_t need = demand.*field.amount;
        const std::int64_t have = room.*field.amount;
        count = have < 0 ? 0 : need > 0 ? std::min(count, have / need) : count;
    }
    return static_cast<std::size_t>(count);
}

/// Returns the job's team if it has a cap, or null.
const team_state *findCapped(const scheduler &cell, const job_state &job)
{
    if (!cell.teams.hasCaps || job.spec.team.empty()) {
        return nullptr;
    }
    const auto found = cell.teams.byName.find(job.spec.team);
    return found == cell.teams.byName.end() || !hasLimit(found->second.cap) ? nullptr
                                                                            : &found->second;
}

void addDemand(team_state &team, const step_spec &step, std::int64_t sign)
{
    const resources demand {sign * step.demand.cpuMilli, sign * step.demand.memoryMb,
                            sign * step.demand.accelerators};
    team.used = team.used + demand;
    if (step.longRunning) {
        team.usedByServices = team.usedByServices + demand;
    }
}

/// Calls `visit` with the index of the step for each task of the job for which `isCounted`.
template <typename Counted, typename Visit>
void forEachTask(const job_state &job, Counted isCounted, Visit visit)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            for (const task_state &task : occurrence.steps[step].tasks) {
                if (isCounted(task)) {
                    visit(static_cast<int>(step));
                }
            }
        }
    }
}

team_state &stateOf(team_table &teams, const std::string &team)
{
    return team.empty() ? teams.withoutTeam : teams.byName[team];
}

bool hasRun(const task_state &task)
{
    return task.phase != run_phase::none;
}

void updateUnknownScavenging(scheduler &cell, bool mayExist)
{
    for (auto &[name, team] : cell.teams.byName) {
        team.unknownScavengingCpu = 0;
    }
    if (!mayExist) {
        return;
    }
    const auto mayRunUnknown = [](const task_state &task) { return !task.done && !hasRun(task); };
    for (const auto &[id, job] : cell.jobs) {
        const auto &steps = job.spec.steps;
        const auto team = cell.teams.byName.find(job.spec.team);
        if (!job.restored || job.finalPhase || team == cell.teams.byName.end()
            || std::none_of(steps.begin(), steps.end(),
                            [](const step_spec &step) { return step.scavenging; })) {
            continue;
        }
        forEachTask(job, mayRunUnknown, [&counted = job, state = &team->second](int step) {
            const step_spec &spec = stepOf(counted, step);
            state->unknownScavengingCpu += spec.scavenging ? spec.demand.cpuMilli : 0;
        });
    }
}

} // namespace

void applyTeams(scheduler &cell)
{
    team_table &table = cell.teams;
    const bool wasActive = table.active;
    if (cell.config.teams.empty()) {
        table = {};
        return;
    }
    table.active = true;
    table.hasCaps = false;
    if (!wasActive) {
        table.byName = recomputeTeamUsage(cell);
        table.withoutTeam = std::move(table.byName[""]);
        table.byName.erase("");
    }
    for (auto &[name, team] : table.byName) {
        team.configured = false;
        team.cap = {};
        team.weight = 0;
    }
    for (const team_policy &policy : cell.config.teams) {
        team_state &team = table.byName[policy.name];
        if (team.configured) {
            continue; // the first entry of a name counts
        }
        team.configured = true;
        team.cap = policy.cap;
        team.weight = policy.weight;
        table.hasCaps = table.hasCaps || hasLimit(policy.cap);
    }
}

void addTeamRun(scheduler &cell, const job_state &job, int step)
{
    if (cell.teams.active) {
        addDemand(stateOf(cell.teams, job.spec.team), stepOf(job, step), 1);
        removeQueuedWork(cell, job, step);
    }
}

void removeTeamRun(scheduler &cell, const job_state &job, int step)
{
    if (cell.teams.active) {
        addDemand(stateOf(cell.teams, job.spec.team), stepOf(job, step), -1);
    }
}

std::unordered_map<std::string, team_state> recomputeTeamUsage(const scheduler &cell)
{
    std::unordered_map<std::string, team_state> totals;
    for (const auto &[id, job] : cell.jobs) {
        forEachTask(job, hasRun, [&, &counted = job](int step) {
            addDemand(totals[counted.spec.team], stepOf(counted, step), 1);
        });
    }
    return totals;
}

bool mayHoldUnknownRuns(const worker_state &worker, timestamp now)
{
    const worker_life &life = worker.life;
    const bool isUnfencedLife = mayCarryOutFormerOrders(life) || (life.number > 0 && !life.fenced);
    return !life.reconciled
        || (now < life.leasesExpiredAt && (life.unexpectedRuns > 0 || isUnfencedLife));
}

void updateUnknownUsage(scheduler &cell, timestamp now)
{
    resources unknown;
    for (const auto &[id, worker] : cell.workers) {
        if (!mayHoldUnknownRuns(worker, now)) {
            continue;
        }
        for (const resource_field &field : fields) {
            const std::int64_t capacity = std::max(worker.entry.capacity.*field.amount,
                                                   worker.life.largestCapacity.*field.amount);
            unknown.*field.amount +=
                std::max<std::int64_t>(capacity - worker.life.used.*field.amount, 0);
        }
    }
    cell.teams.unknown = unknown;
    updateUnknownScavenging(cell, !(unknown == resources {}));
}

std::size_t tasksWithinCap(const scheduler &cell, const job_state &job, const step_spec &step,
                           std::size_t wanted, bool withHeld)
{
    const team_state *team = findCapped(cell, job);
    if (team == nullptr) {
        return wanted;
    }
    resources used = team->used + cell.teams.unknown;
    used.cpuMilli += team->unknownScavengingCpu;
    if (withHeld) {
        used = used + team->held;
    }
    return countFitting(step.demand, roomWithin(team->cap, used), wanted);
}

bool mayFitCapLater(const scheduler &cell, const job_state &job, const step_spec &step,
                    std::size_t tasks)
{
    const team_state *team = findCapped(cell, job);
    return team == nullptr
        || countFitting(step.demand, roomWithin(team->cap, team->usedByServices), tasks) == tasks;
}

void holdCapRoom(scheduler &cell, const job_state &job, const step_spec &step, std::size_t tasks)
{
    if (findCapped(cell, job) != nullptr) {
        team_state &team = cell.teams.byName.at(job.spec.team);
        team.held = team.held + multiply(step.demand, tasks);
    }
}

std::optional<std::string> findCapConflict(const cell_config &config, const job_spec &spec)
{
    const auto team = std::find_if(config.teams.begin(), config.teams.end(),
                                   [&](const auto &policy) { return policy.name == spec.team; });
    if (spec.team.empty() || team == config.teams.end()) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        const step_spec &step = spec.steps[index];
        const auto together = static_cast<std::size_t>(step.gang ? std::max(step.count, 1) : 1);
        const resources needed = multiply(step.demand, together);
        for (const resource_field &field : fields) {
            const std::int64_t cap = team->cap.*field.amount;
            if (cap > 0 && needed.*field.amount > cap) {
                return std::string(step.gang ? "the gang of step " : "one task of step ")
                    + std::to_string(index) + " needs " + field.name + "="
                    + std::to_string(needed.*field.amount) + ", over the cap of team " + spec.team
                    + ", " + field.name + "=" + std::to_string(cap);
            }
        }
    }
    return std::nullopt;
}

} // namespace bramleygrade::cell
