#define BOOST_TEST_MODULE team_loads
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "testing/cell/load_simulation.h"

using namespace bramleygrade;
using bramleygrade::testing::load_class;
using bramleygrade::testing::load_class_outcome;
using bramleygrade::testing::load_outcome;
using bramleygrade::testing::load_settings;

namespace {

constexpr std::size_t teamCount = 20;
constexpr double usualRate = 4;

/// Twenty teams that each send jobs of two tasks of one processor for a second, and a queue of
/// short urgent jobs without a team. The last team is the one that bursts, so that its jobs do not
/// change those of the others. `offered`: share of the 192 processors that is asked for.
load_settings makeTeamLoad(double offered)
{
    load_settings settings;
    settings.workers = 24;
    settings.workersPerRack = 8;
    settings.capacity = {8'000, 32'000, 0};
    settings.length = 20 * second;
    settings.hasTeams = true;
    load_class lookups;
    lookups.policy.name = "lookups";
    lookups.policy.priority = 0;
    lookups.policy.slackFactor = 2;
    lookups.policy.latencyTarget = 300 * millisecond;
    lookups.jobsPerSecond = 60;
    lookups.runSeconds = {0.06, 0.2, 0.2};
    lookups.cpuMilli = {500, 0, 500};
    lookups.memoryMb = {100, 0, 100};
    settings.classes.push_back(lookups);
    for (std::size_t team = 0; team < teamCount; ++team) {
        load_class plans;
        plans.policy.name = "plans";
        plans.policy.priority = 1;
        plans.policy.slackFactor = 2;
        plans.policy.latencyTarget = second;
        plans.team.name = "team-" + std::to_string(team);
        plans.team.weight = usualRate;
        plans.jobsPerSecond = usualRate;
        plans.runSeconds = {offered * 192 / (usualRate * teamCount * 2), 0.3, 4};
        plans.tasks = {2, 0, 2};
        plans.cpuMilli = {1'000, 0, 1'000};
        plans.memoryMb = {200, 0, 200};
        settings.classes.push_back(plans);
    }
    return settings;
}

/// Sums the outcomes of the classes from `first` to before `last`.
load_class_outcome sum(const load_outcome &outcome, std::size_t first, std::size_t last)
{
    load_class_outcome total;
    for (std::size_t index = first; index < last; ++index) {
        const load_class_outcome &part = outcome.classes[index];
        total.jobs += part.jobs;
        total.completedOnTime += part.completedOnTime;
        total.completedLate += part.completedLate;
        total.refused += part.refused;
        total.beyondShare += part.beyondShare;
    }
    return total;
}

double onTimeShare(const load_class_outcome &outcome)
{
    return static_cast<double>(outcome.completedOnTime) / outcome.jobs;
}

void report(const char *name, const load_class_outcome &outcome)
{
    BOOST_TEST_MESSAGE(name << ": jobs " << outcome.jobs << ", on time " << outcome.completedOnTime
                            << ", late " << outcome.completedLate << ", refused " << outcome.refused
                            << ", beyond " << outcome.beyondShare);
}

} // namespace

// Guards against callers who pay for another team's load: one team of twenty sends a multiple of
// its rate for 6 s while the queue of short jobs gets 2.1 times its rate.
BOOST_AUTO_TEST_CASE(nineteen_teams_lose_nothing_to_the_twentieth)
{
    // The jobs of the nineteen are the same in both runs, so that one in 200 is not noise.
    constexpr double measurable = 0.005;
    for (const double factor : {4.0, 7.0}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            const load_settings calm = makeTeamLoad(0.75);
            load_settings loaded = calm;
            loaded.bursts = {{0, 6 * second, 6 * second, 2.1},
                             {teamCount, 6 * second, 6 * second, factor}};
            // The lookups come last here, so that their burst does not change the others' jobs.
            load_settings reference = calm;
            for (load_settings *settings : {&loaded, &reference}) {
                std::rotate(settings->classes.begin(), settings->classes.begin() + 1,
                            settings->classes.end());
            }
            loaded.bursts = {{teamCount - 1, 6 * second, 6 * second, factor},
                             {teamCount, 6 * second, 6 * second, 2.1}};
            const auto before =
                sum(bramleygrade::testing::simulateLoad(reference, seed), 0, teamCount - 1);
            const load_outcome outcome = bramleygrade::testing::simulateLoad(loaded, seed);
            const auto after = sum(outcome, 0, teamCount - 1);
            BOOST_TEST_CONTEXT("factor " << factor << ", seed " << seed)
            {
                report("nineteen, calm", before);
                report("nineteen, beside the burst", after);
                report("the twentieth", outcome.classes[teamCount - 1]);
                BOOST_TEST(after.jobs == before.jobs);
                BOOST_TEST(after.refused == 0);
                BOOST_TEST(onTimeShare(after) >= onTimeShare(before) - measurable);
                BOOST_TEST(outcome.classes[teamCount - 1].beyondShare > 0);
                BOOST_TEST(onTimeShare(outcome.classes[teamCount]) >= 0.99); // short jobs
            }
        }
    }
}

// Guards against fairness that costs more than the load itself: all teams burst to 1.3 times the
// room for 4 s at 83 % offered load. Without teams the same load is the reference.
BOOST_AUTO_TEST_CASE(bursts_of_all_teams_cost_no_more_than_without_teams)
{
    constexpr double tolerance = 0.01;
    for (const std::uint64_t seed : {1, 2, 3}) {
        load_settings settings = makeTeamLoad(0.83);
        for (std::size_t team = 1; team <= teamCount; ++team) {
            settings.bursts.push_back({team, 6 * second, 4 * second, 1.3 / 0.83});
        }
        load_settings withoutTeams = settings;
        withoutTeams.hasTeams = false;
        const load_outcome outcome = bramleygrade::testing::simulateLoad(settings, seed);
        const load_outcome reference = bramleygrade::testing::simulateLoad(withoutTeams, seed);
        const auto all = sum(outcome, 1, teamCount + 1);
        const auto expected = sum(reference, 1, teamCount + 1);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            report("with teams", all);
            report("without teams", expected);
            BOOST_TEST(all.refused == 0); // all jobs are within the slack of their teams
            BOOST_TEST(onTimeShare(all) >= onTimeShare(expected) - tolerance);
            BOOST_TEST(onTimeShare(outcome.classes[0]) >= 0.99);
        }
    }
}

// Guards against a team that is better off than another while all send 4 times their rate for 6 s.
BOOST_AUTO_TEST_CASE(all_teams_burst_and_none_is_starved)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        load_settings settings = makeTeamLoad(0.75);
        for (std::size_t team = 1; team <= teamCount; ++team) {
            settings.bursts.push_back({team, 6 * second, 6 * second, 4});
        }
        const load_outcome outcome = bramleygrade::testing::simulateLoad(settings, seed);
        int least = 1'000'000;
        int most = 0;
        for (std::size_t team = 1; team <= teamCount; ++team) {
            least = std::min(least, outcome.classes[team].completedOnTime);
            most = std::max(most, outcome.classes[team].completedOnTime);
        }
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            report("all teams", sum(outcome, 1, teamCount + 1));
            BOOST_TEST_MESSAGE("on time, of the worst and the best team: " << least << ", "
                                                                           << most);
            BOOST_TEST(least > 0);
            BOOST_TEST(2 * least >= most);
            BOOST_TEST(onTimeShare(outcome.classes[0]) >= 0.99);
        }
    }
}
