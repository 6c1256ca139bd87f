#include "testing/cell/history_state.h"

namespace bramleygrade::testing {

namespace {

/// What the capped teams may use, unless a version of the configuration lowers it. A worker has
/// 8,000 thousandths of a processor.
constexpr cell::resources capOfFirst {9'000, 0, 0};
constexpr cell::resources capOfSecond {14'000, 26'000, 0};
constexpr char cappedTeams[][8] = {"team-1", "team-2"};

} // namespace

cell::cell_config cell_history::state::makeConfig(std::size_t version) const
{
    const bool needsAdvice = injectedFaults.allowedWorkerShare > 0;
    cell::cell_config config;
    config.version = 1;
    config.queues.push_back(makePolicy(0, needsAdvice));
    config.queues.push_back(makePolicy(1, needsAdvice));
    if (version < record.capVersions.size()) {
        config.version = static_cast<std::int64_t>(version) + 1;
        for (const auto &[team, cap] : record.capVersions[version].caps) {
            config.teams.push_back({team, {}, 1, cap});
        }
        config.teams.push_back({"team-3", {}, 1, {}});
    }
    return config;
}

void cell_history::state::storeConfig(double shareOfFirst, double shareOfSecond)
{
    const auto take = [](const cell::resources &cap, double share) {
        return cell::resources {
            static_cast<std::int64_t>(static_cast<double>(cap.cpuMilli) * share),
            static_cast<std::int64_t>(static_cast<double>(cap.memoryMb) * share), 0};
    };
    cap_version version;
    version.storedAt = now;
    version.caps[cappedTeams[0]] = take(capOfFirst, shareOfFirst);
    version.caps[cappedTeams[1]] = take(capOfSecond, shareOfSecond);
    record.capVersions.push_back(version);
    for (const scheduler_pointer &scheduler : schedulers) {
        adoptConfig(scheduler);
    }
}

void cell_history::state::checkTotals(const cell::scheduler &cell)
{
    if (!cell.teams.active) {
        return;
    }
    for (const auto &[name, expected] : cell::recomputeTeamUsage(cell)) {
        const auto team = cell.teams.byName.find(name);
        const cell::team_state &state =
            team == cell.teams.byName.end() ? cell.teams.withoutTeam : team->second;
        if (!(state.used == expected.used)) {
            record.violations.push_back("the running total of " + name + " is wrong at "
                                        + std::to_string(now / millisecond) + " ms");
        }
    }
}

void cell_history::state::adoptConfig(const scheduler_pointer &scheduler)
{
    const std::size_t version = record.capVersions.size() - 1;
    const timestamp when =
        std::max(now, record.capVersions.back().storedAt + drawBetween(0, configAdoptionTime));
    scheduleAt(std::max(when, scheduler->pausedUntil), [this, scheduler, version] {
        cell::changeConfig(scheduler->cell, makeConfig(version));
    });
}

std::string cell_history::state::drawTeam(const cell::job_spec &spec)
{
    // Less than the caps allow on average, so that all jobs can end.
    constexpr const char *teams[] = {"team-1", "team-2", "team-3", "team-3", "", "", "", ""};
    cell::job_spec ofTeam = spec;
    ofTeam.team = teams[drawBetween(0, std::size(teams) - 1)];
    return cell::findCapConflict(makeConfig(0), ofTeam) ? "" : ofTeam.team;
}

} // namespace bramleygrade::testing
