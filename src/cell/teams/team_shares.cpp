#include "cell/teams/team_shares.h"

#include <algorithm>
#include <set>

#include "cell/scheduler.h"

namespace bramleygrade::cell {

namespace {

/// Tasks that a step may start in one turn while several teams wait.
constexpr std::size_t tasksPerTurn = 8;
/// Stands for the weight of a team that has none.
constexpr double leastWeight = 1e-9;

void dropOldSubmissions(std::deque<timestamp> &submissions, timestamp before)
{
    while (!submissions.empty() && submissions.front() <= before) {
        submissions.pop_front();
    }
}

resources totalCapacity(const scheduler &cell)
{
    resources all;
    for (const auto &[id, worker] : cell.workers) {
        all = hasAnswered(worker) ? all + worker.entry.capacity : all;
    }
    return all;
}

double meanWeight(const team_table &teams)
{
    double sum = 0;
    int count = 0;
    for (const auto &[name, team] : teams.byName) {
        sum += team.configured ? team.weight : 0;
        count += team.configured ? 1 : 0;
    }
    return count == 0 ? 0 : sum / count;
}

/// What a team uses, and what the steps seen so far in this round may add.
struct team_progress
{
    resources used;
    double weight = 0;
};

using progress_map = std::unordered_map<std::string, team_progress>;

/// All jobs without a team count as one team of mean weight.
progress_map collectProgress(const team_table &teams)
{
    progress_map progress;
    for (const auto &[name, team] : teams.byName) {
        progress[name] = {team.used, team.weight};
    }
    progress[""] = {teams.withoutTeam.used, meanWeight(teams)};
    return progress;
}

/// Splits steps with more than `tasksPerTurn` tasks; gangs start as a whole.
void splitWideSteps(std::vector<waiting_step> &waiting)
{
    std::vector<waiting_step> parts;
    parts.reserve(waiting.size());
    for (waiting_step &step : waiting) {
        if (stepSpec(step).gang || step.tasks.size() <= tasksPerTurn) {
            parts.push_back(std::move(step));
            continue;
        }
        const std::vector<int> tasks = std::move(step.tasks);
        for (std::size_t from = 0; from < tasks.size(); from += tasksPerTurn) {
            const std::size_t until = std::min(from + tasksPerTurn, tasks.size());
            waiting_step part = step;
            part.tasks.assign(tasks.begin() + static_cast<std::ptrdiff_t>(from),
                              tasks.begin() + static_cast<std::ptrdiff_t>(until));
            parts.push_back(std::move(part));
        }
    }
    waiting = std::move(parts);
}

bool areOfOneTeam(const std::vector<waiting_step> &waiting)
{
    return std::all_of(waiting.begin(), waiting.end(), [&](const waiting_step &step) {
        return step.job->spec.team == waiting.front().job->spec.team;
    });
}

/// Returns the sum of the weights of the teams that use or wait for anything.
double sumActiveWeights(const progress_map &progress, const std::vector<waiting_step> &waiting)
{
    std::set<std::string> active;
    for (const waiting_step &step : waiting) {
        active.insert(step.job->spec.team);
    }
    double sum = 0;
    for (const auto &[name, team] : progress) {
        sum += active.count(name) > 0 || !(team.used == resources {}) ? team.weight : 0;
    }
    return sum;
}

bool isBefore(const waiting_step &a, const waiting_step &b)
{
    return std::tie(a.beyondShare, a.priority, a.teamShare)
        < std::tie(b.beyondShare, b.priority, b.teamShare);
}

} // namespace

bool isBeyondShare(scheduler &cell, const std::string &team, timestamp now)
{
    const auto found = cell.teams.byName.find(team);
    if (!cell.teams.active || team.empty() || found == cell.teams.byName.end()
        || !found->second.configured) {
        return false;
    }
    const scheduler_settings &settings = cell.settings;
    team_state &state = found->second;
    dropOldSubmissions(state.inShareSubmissions, now - settings.teamWindow);
    const double allowed = state.weight * static_cast<double>(settings.teamWindow) / second
        + static_cast<double>(settings.teamWindowSlack);
    return static_cast<double>(state.inShareSubmissions.size()) + 1 > allowed;
}

void countInShare(scheduler &cell, const std::string &team, timestamp now)
{
    const auto found = cell.teams.byName.find(team);
    if (found != cell.teams.byName.end() && found->second.configured) {
        found->second.inShareSubmissions.push_back(now);
    }
}

double weightedDominantShare(const resources &used, const resources &all, double weight)
{
    const auto shareOf = [](std::int64_t part, std::int64_t whole) {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
    };
    const double dominant =
        std::max({shareOf(used.cpuMilli, all.cpuMilli), shareOf(used.memoryMb, all.memoryMb),
                  shareOf(used.accelerators, all.accelerators)});
    // Without a weight even a team that uses nothing comes last.
    return weight > 0 ? dominant / weight : (dominant + 1) / leastWeight;
}

void orderByShares(const scheduler &cell, std::vector<waiting_step> &waiting,
                   const std::function<bool(const waiting_step &)> &canStart)
{
    if (!cell.teams.active || waiting.empty()) {
        return;
    }
    for (waiting_step &step : waiting) {
        step.beyondShare = step.job->spec.beyondShare;
    }
    if (areOfOneTeam(waiting)) {
        std::stable_sort(waiting.begin(), waiting.end(), isBefore);
        return;
    }
    splitWideSteps(waiting);
    // The steps of one team keep this order, so that each can count those before it.
    std::stable_sort(waiting.begin(), waiting.end(), isBefore);
    const resources all = totalCapacity(cell);
    progress_map progress = collectProgress(cell.teams);
    const double weights = sumActiveWeights(progress, waiting);
    for (waiting_step &step : waiting) {
        team_progress &team = progress[step.job->spec.team];
        // A team with less than is due to it has no more claim than another such team: the earlier
        // objective decides.
        step.teamShare =
            std::max(1.0, weights * weightedDominantShare(team.used, all, team.weight));
        // Whether a gang can start is not known here; its use counts from the next round on.
        if (!stepSpec(step).gang && canStart(step)) {
            const resources &demand = stepSpec(step).demand;
            const auto count = static_cast<std::int64_t>(step.tasks.size());
            team.used = team.used
                + resources {demand.cpuMilli * count, demand.memoryMb * count,
                             demand.accelerators * count};
        }
    }
    std::stable_sort(waiting.begin(), waiting.end(), isBefore);
}

void skipOtherParts(const scheduler &cell, const waiting_step &waiting, std::size_t started,
                    timestamp now)
{
    if (cell.teams.active && !stepSpec(waiting).gang && started < waiting.tasks.size()) {
        step_state &step = stepState(waiting);
        step.planNotBefore = std::max(step.planNotBefore, now + 1);
    }
}

} // namespace bramleygrade::cell
