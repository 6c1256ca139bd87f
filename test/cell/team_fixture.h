#pragma once

#include "cell_fixture.h"

namespace bramleygrade::testing {

/// The cell of `cell_fixture` with teams. It has three workers of eight processors.
struct team_fixture : cell_fixture
{
    explicit team_fixture(std::vector<cell::team_policy> teams, std::int64_t epoch = 1,
                          bool reconcile = true)
        : cell_fixture(epoch, reconcile)
    {
        setTeams(std::move(teams));
    }

    /// Puts a new version of the configuration into force.
    void setTeams(std::vector<cell::team_policy> teams)
    {
        cell::cell_config config = cell.config;
        ++config.version;
        config.teams = std::move(teams);
        config.requiresKeys = !config.teams.empty();
        cell::changeConfig(cell, config);
    }

    static cell::team_policy makeTeam(const std::string &name, const cell::resources &cap,
                                      double weight = 1)
    {
        return {name, {name + "-key"}, weight, cap};
    }

    static cell::job_spec makeTeamJob(const std::string &id, const std::string &team,
                                      std::vector<cell::step_spec> steps)
    {
        cell::job_spec spec = makeJob(id, std::move(steps));
        spec.team = team;
        return spec;
    }

    /// Submits and stores the job, and returns the number of tasks that start at once.
    std::size_t countStarts(const cell::job_spec &spec) { return run(spec).starts.size(); }

    /// Returns the team's running total, after comparing it with the sum over all tasks.
    cell::resources usedBy(const std::string &team)
    {
        const auto recomputed = cell::recomputeTeamUsage(cell);
        const auto expected = recomputed.find(team);
        const cell::resources used =
            team.empty() ? cell.teams.withoutTeam.used : cell.teams.byName[team].used;
        if (!(used
              == (expected == recomputed.end() ? cell::resources {} : expected->second.used))) {
            throw std::logic_error("the running total of " + team + " is wrong");
        }
        return used;
    }
};

} // namespace bramleygrade::testing
