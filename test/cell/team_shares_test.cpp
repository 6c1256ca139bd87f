#define BOOST_TEST_MODULE team_shares
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "cell/teams/team_shares.h"
#include "entry/team_metrics.h"
#include "team_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using cell_report = bramleygrade::cell::worker_report;
using bramleygrade::testing::team_fixture;

namespace {

std::vector<team_policy> twoTeams(double weightOfA = 1, double weightOfB = 1)
{
    return {team_fixture::makeTeam("a", {}, weightOfA), team_fixture::makeTeam("b", {}, weightOfB)};
}

/// Ends one run of the team and returns the orders of the next decision.
orders endOne(team_fixture &fixture, const std::string &team, std::int64_t &sequence)
{
    for (auto &[id, worker] : fixture.cell.workers) {
        for (const task_id &task : worker.life.runs) {
            if (fixture.cell.jobs.at(task.job).spec.team != team) {
                continue;
            }
            const int attempt = findTask(fixture.cell.jobs.at(task.job), task)->attempt;
            cell_report report;
            report.ended.push_back({++sequence, task, attempt, end_kind::done, ""});
            for (const task_id &other : worker.life.runs) {
                if (!(other == task)) {
                    report.running.push_back(
                        {other, findTask(fixture.cell.jobs.at(other.job), other)->attempt, "", 10});
                }
            }
            fixture.report(id, report);
            fixture.now += millisecond;
            return fixture.decide();
        }
    }
    return {};
}

/// Accepts a job that the admission lets in, and returns whether it did.
bool submit(team_fixture &fixture, job_spec spec, const queue_policy &policy)
{
    if (admitOrRefuse(fixture.cell, spec, policy, fixture.now)) {
        return false;
    }
    acceptJob(fixture.cell, spec, policy, fixture.now);
    return true;
}

} // namespace

// Guards against jobs within a team's rate that count as beyond its share, and against a burst that
// takes the rest of the window from the team.
BOOST_AUTO_TEST_CASE(jobs_over_the_rate_are_beyond_the_share)
{
    struct row
    {
        const char *name;
        const char *team;
        double weight;
        std::int64_t slack;
        int jobs;
        microseconds interval;
        int beyond;
    };
    const row rows[] = {
        {"at its rate", "a", 2, 0, 40, 500 * millisecond, 0},
        {"a burst within the slack", "a", 2, 20, 30, 0, 0},
        {"a burst over the slack", "a", 2, 20, 40, 0, 10},
        {"twice its rate, no slack", "a", 2, 0, 40, 250 * millisecond, 20},
        {"no weight and no slack", "a", 0, 0, 5, second, 5},
        {"no team", "", 2, 0, 50, 0, 0},
        {"a team that the configuration lacks", "c", 2, 0, 50, 0, 0},
    };
    for (const row &entry : rows) {
        team_fixture fixture(twoTeams(entry.weight));
        fixture.cell.settings.teamWindowSlack = entry.slack;
        int beyond = 0;
        for (int job = 0; job < entry.jobs; ++job) {
            job_spec spec = team_fixture::makeTeamJob("job", entry.team, {});
            BOOST_TEST(!admitOrRefuse(fixture.cell, spec, fixture.policy, fixture.now));
            beyond += spec.beyondShare ? 1 : 0;
            fixture.now += entry.interval;
        }
        BOOST_TEST(beyond == entry.beyond, entry.name << ": " << beyond);
    }
}

BOOST_AUTO_TEST_CASE(dominant_share_is_that_of_the_scarcest_resource)
{
    struct row
    {
        const char *name;
        resources used;
        double weight;
        double expected;
    };
    const resources all {1'000, 2'000, 10};
    const row rows[] = {
        {"nothing", {}, 1, 0},
        {"processors", {500, 100, 0}, 1, 0.5},
        {"memory", {100, 1'500, 0}, 1, 0.75},
        {"accelerators", {100, 100, 9}, 1, 0.9},
        {"weighted", {500, 100, 0}, 2, 0.25},
    };
    for (const row &entry : rows) {
        BOOST_TEST(weightedDominantShare(entry.used, all, entry.weight) == entry.expected,
                   entry.name);
    }
    BOOST_TEST(weightedDominantShare({}, all, 0) > weightedDominantShare(all, all, 0.001));
}

// Guards against a team whose earlier or larger backlog keeps the others from their part of the
// workers, whatever the order of the objectives.
BOOST_AUTO_TEST_CASE(free_capacity_is_divided_by_weight)
{
    struct row
    {
        const char *name;
        double weightOfA;
        double weightOfB;
        std::size_t startsOfA;
    };
    const row rows[] = {
        {"equal weights", 1, 1, 12}, {"twice the weight", 2, 1, 16}, {"no weight", 0, 1, 0}};
    for (const row &entry : rows) {
        team_fixture fixture(twoTeams(entry.weightOfA, entry.weightOfB));
        for (int job = 0; job < 24; ++job) {
            const auto number = std::to_string(job);
            acceptJob(
                fixture.cell,
                team_fixture::makeTeamJob("a" + number, "a", {team_fixture::makeStep(1, 1'000)}),
                fixture.policy, fixture.now);
        }
        fixture.now += second;
        acceptJob(fixture.cell,
                  team_fixture::makeTeamJob("b", "b", {team_fixture::makeStep(24, 1'000)}),
                  fixture.policy, fixture.now);
        fixture.store();
        const orders out = fixture.decide();
        const auto ofA =
            std::count_if(out.starts.begin(), out.starts.end(),
                          [](const start_order &start) { return start.task.job != "b"; });
        BOOST_TEST(out.starts.size() == 24U, entry.name);
        // A wide step starts up to 8 tasks in one turn.
        BOOST_TEST(std::abs(ofA - static_cast<std::ptrdiff_t>(entry.startsOfA)) <= 4,
                   entry.name << ": " << ofA);
    }
}

// Guards against an idle team that gets no room when it returns, and against one that gets more
// than its share for the time in which it was idle.
BOOST_AUTO_TEST_CASE(team_that_returns_gets_its_share_and_no_more)
{
    team_fixture fixture(twoTeams());
    std::int64_t sequence = 0;
    BOOST_TEST(fixture.countStarts(
                   team_fixture::makeTeamJob("first", "a", {team_fixture::makeStep(200, 1'000)}))
               == 24U);
    fixture.now += 60 * second;
    for (const auto &worker : fixture.entries) {
        cell_report report;
        for (const task_id &id : fixture.cell.workers.at(worker.id).life.runs) {
            report.running.push_back({id, 1, "", 10});
        }
        fixture.report(worker.id, report);
    }
    BOOST_TEST(fixture.countStarts(
                   team_fixture::makeTeamJob("second", "b", {team_fixture::makeStep(200, 1'000)}))
               == 0U);
    for (int ended = 0; ended < 12; ++ended) {
        const orders out = endOne(fixture, "a", sequence);
        BOOST_REQUIRE(out.starts.size() == 1U);
        BOOST_TEST(out.starts[0].task.job == "second", "after " << ended << " ends");
    }
    for (int ended = 0; ended < 20; ++ended) {
        endOne(fixture, ended % 2 == 0 ? "a" : "b", sequence);
        BOOST_TEST(std::abs(fixture.usedBy("a").cpuMilli - fixture.usedBy("b").cpuMilli) <= 2'000);
    }
}

// Guards against jobs beyond a share that start before jobs within one, or preempt their runs.
BOOST_AUTO_TEST_CASE(jobs_beyond_a_share_come_last)
{
    for (const bool hasTeams : {true, false}) {
        team_fixture fixture(hasTeams ? twoTeams() : std::vector<team_policy> {});
        job_spec beyond =
            team_fixture::makeTeamJob("beyond", "a", {team_fixture::makeStep(24, 1'000)});
        beyond.beyondShare = true;
        acceptJob(fixture.cell, beyond, fixture.policy, fixture.now);
        fixture.now += second;
        queue_policy low = fixture.policy;
        low.priority = 3;
        acceptJob(fixture.cell,
                  team_fixture::makeTeamJob("within", "a", {team_fixture::makeStep(20, 1'000)}),
                  low, fixture.now);
        fixture.store();
        const orders out = fixture.decide();
        const auto within =
            std::count_if(out.starts.begin(), out.starts.end(),
                          [](const start_order &start) { return start.task.job == "within"; });
        BOOST_TEST(within == (hasTeams ? 20 : 0));
        BOOST_TEST(out.starts.size() == 24U);
    }
}

// Guards against a queue that grows without bound, against refusals while there is room or while
// the figures are not known, and against a time to come back that is too early.
BOOST_AUTO_TEST_CASE(jobs_that_would_wait_for_too_long_are_refused)
{
    struct row
    {
        const char *name;
        /// Expected wait, in seconds of the cell's work.
        int wait;
        bool beyond;
        bool settled;
        bool hasTeams;
        microseconds retryAfter;
    };
    // The objective is 3 s after the submission, and the run takes 1 s: a job beyond its share may
    // wait for 3 x 3 s - 1 s.
    const row rows[] = {
        {"idle", 0, true, true, true, 0},
        {"beyond, in time", 7, true, true, true, 0},
        {"beyond, too late", 12, true, true, true, 4 * second},
        {"within, too late for a job beyond", 12, false, true, true, 0},
        {"within, twice as late", 20, false, true, true, 4 * second},
        {"just taken over", 20, true, false, true, 0},
        {"no teams", 20, true, true, false, 0},
    };
    for (const row &entry : rows) {
        team_fixture fixture(entry.hasTeams ? twoTeams() : std::vector<team_policy> {});
        fixture.cell.settings.teamWindowSlack = entry.beyond ? 0 : 20;
        fixture.setTeams(entry.hasTeams ? twoTeams(entry.beyond ? 0 : 1)
                                        : std::vector<team_policy> {});
        fixture.now += entry.settled ? 3 * second : second;
        fixture.reconcileAll();
        // 24 processors are taken, and the rest waits.
        fixture.run(team_fixture::makeTeamJob(
            "filler", "b", {team_fixture::makeStep(24 * (entry.wait + 1), 1'000)}));
        fixture.now += second / 2;
        job_spec spec = team_fixture::makeTeamJob("job", "a", {team_fixture::makeStep(1, 1'000)});
        const auto refusal = admitOrRefuse(fixture.cell, spec, fixture.policy, fixture.now);
        BOOST_TEST(refusal.has_value() == (entry.retryAfter > 0), entry.name);
        if (refusal) {
            BOOST_TEST(refusal->retryAfter == entry.retryAfter, entry.name);
            BOOST_TEST(refusal->reason.find("team a") != std::string::npos, entry.name);
        }
    }
}

// Guards against a refusal while a takeover leaves workers without a report.
BOOST_AUTO_TEST_CASE(nothing_is_refused_for_its_wait_while_workers_are_unreconciled)
{
    for (const bool reconciled : {true, false}) {
        team_fixture fixture(twoTeams(0));
        fixture.cell.settings.teamWindowSlack = 0;
        fixture.now += 3 * second;
        fixture.reconcileAll();
        fixture.run(team_fixture::makeTeamJob("filler", "b", {team_fixture::makeStep(960, 1'000)}));
        fixture.cell.workers.at("worker-1").life.reconciled = reconciled;
        fixture.now += second;
        BOOST_TEST(submit(fixture,
                          team_fixture::makeTeamJob("job", "a", {team_fixture::makeStep(1, 1'000)}),
                          fixture.policy)
                   == !reconciled);
    }
}

// Guards against a team that waits for its own cap and delays the admission of others, and against
// jobs accepted into a queue that its cap lets through too slowly.
BOOST_AUTO_TEST_CASE(work_that_waits_for_a_cap_counts_for_its_team_only)
{
    team_fixture fixture({team_fixture::makeTeam("a", {}, 0), team_fixture::makeTeam("b", {}, 0)});
    fixture.setTeams(
        {team_fixture::makeTeam("a", {2'000, 0, 0}, 0), team_fixture::makeTeam("b", {}, 0)});
    fixture.cell.settings.teamWindowSlack = 0;
    fixture.now += 3 * second;
    fixture.reconcileAll();
    fixture.run(team_fixture::makeTeamJob("filler", "a", {team_fixture::makeStep(400, 1'000)}));
    fixture.decide();
    fixture.now += second;
    const auto one = {team_fixture::makeStep(1, 1'000)};
    BOOST_TEST(!submit(fixture, team_fixture::makeTeamJob("job-a", "a", one), fixture.policy));
    BOOST_TEST(submit(fixture, team_fixture::makeTeamJob("job-b", "b", one), fixture.policy));
}

// Guards against metrics whose number grows with the teams, teams that are lost from the sum, names
// that break the exposition, and values that stay after the scheduler has changed.
BOOST_AUTO_TEST_CASE(metrics_show_the_largest_teams_and_the_sum_of_the_others)
{
    team_table teams;
    teams.active = true;
    for (int team = 0; team < 30; ++team) {
        teams.byName["team-" + std::to_string(team)].used.cpuMilli = team;
    }
    teams.byName["\"\n"].used.cpuMilli = 100;
    entry::entry_metrics metrics;
    for (int time = 0; time < 2; ++time) {
        entry::refreshTeamMetrics(metrics, &teams);
        const auto &gauges = metrics.gauges;
        const auto shown = std::count_if(gauges.begin(), gauges.end(), [](const auto &gauge) {
            return gauge.first.rfind("team_cpu_milli_used{", 0) == 0;
        });
        BOOST_TEST(shown == 25);
        BOOST_TEST(gauges.at("team_cpu_milli_used{team=\"team-29\"}") == 29);
        BOOST_TEST(gauges.at("team_cpu_milli_used{team=\"other\"}") == 0 + 1 + 2 + 3 + 4 + 5 + 6);
        BOOST_TEST(gauges.at("team_cpu_milli_used{team=\"__\"}") == 100);
    }
    entry::refreshTeamMetrics(metrics, nullptr);
    BOOST_TEST(metrics.gauges.empty());
}
