#define BOOST_TEST_MODULE team_caps
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "cell/placement/waiting_jobs.h"
#include "team_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using cell_report = bramleygrade::cell::worker_report;
using bramleygrade::testing::team_fixture;

namespace {

step_spec makeStep(int count, std::int64_t cpu, bool gang = false, bool scavenging = false)
{
    step_spec step = team_fixture::makeStep(count, cpu);
    step.gang = gang;
    step.scavenging = scavenging;
    return step;
}

std::vector<team_policy> oneTeam(const resources &cap)
{
    return {team_fixture::makeTeam("a", cap)};
}

wait_reason reasonOf(const team_fixture &fixture, const std::string &job)
{
    return explainWait(fixture.cell, fixture.cell.jobs.at(job), {}, fixture.now).reason;
}

/// Delivers a report that lists no run and ends all starts as done.
void endAll(team_fixture &fixture, const std::vector<start_order> &starts, std::int64_t &sequence)
{
    for (const start_order &start : starts) {
        fixture.confirm(start);
        fixture.end(start.worker, ++sequence, start.task, start.attempt, end_kind::done);
    }
}

} // namespace

// Guards against a start that takes a team past its cap, in any resource and for any kind of step,
// and against a cap that holds back what it does not concern.
BOOST_AUTO_TEST_CASE(cap_limits_what_starts)
{
    struct row
    {
        const char *name;
        resources cap;
        const char *team;
        step_spec step;
        std::size_t started;
    };
    const row rows[] = {
        {"no cap", {}, "a", makeStep(5, 2'000), 5},
        {"the cap has room for all", {10'000, 0, 0}, "a", makeStep(5, 2'000), 5},
        {"a step wider than the cap", {7'000, 0, 0}, "a", makeStep(5, 2'000), 3},
        {"a cap of memory", {0, 250, 0}, "a", makeStep(5, 1'000), 2},
        {"the tighter of two caps", {4'000, 100, 0}, "a", makeStep(5, 1'000), 1},
        {"a cap of accelerators", {0, 0, 1}, "a", makeStep(5, 1'000), 5},
        {"a gang that fits", {8'000, 0, 0}, "a", makeStep(4, 2'000, true), 4},
        {"a gang that does not fit", {7'999, 0, 0}, "a", makeStep(4, 2'000, true), 0},
        {"a task larger than the cap", {1'999, 0, 0}, "a", makeStep(1, 2'000), 0},
        {"scavenging tasks count in full", {3'000, 0, 0}, "a", makeStep(5, 1'500, false, true), 2},
        {"a team that the configuration lacks", {1'000, 0, 0}, "b", makeStep(5, 2'000), 5},
        {"a job without a team", {1'000, 0, 0}, "", makeStep(5, 2'000), 5},
    };
    for (const row &entry : rows) {
        team_fixture fixture(oneTeam(entry.cap));
        const auto job = team_fixture::makeTeamJob("job", entry.team, {entry.step});
        BOOST_TEST(fixture.countStarts(job) == entry.started, entry.name);
        const auto used = static_cast<std::int64_t>(entry.started) * entry.step.demand.cpuMilli;
        if (*entry.team != '\0') {
            BOOST_TEST(fixture.usedBy(entry.team).cpuMilli == used, entry.name);
        }
        const auto expected = entry.started < static_cast<std::size_t>(entry.step.count)
            ? wait_reason::team_cap
            : wait_reason::startable;
        fixture.decide(); // the first round still found room
        BOOST_TEST((reasonOf(fixture, "job") == expected), entry.name);
    }
}

// Guards against a step wider than the cap that stops after its first wave, or overlaps waves.
BOOST_AUTO_TEST_CASE(steps_wider_than_the_cap_run_in_waves)
{
    team_fixture fixture(oneTeam({4'000, 0, 0}));
    orders out = fixture.run(team_fixture::makeTeamJob("job", "a", {makeStep(5, 2'000)}));
    std::int64_t sequence = 0;
    std::vector<std::size_t> waves;
    while (!out.starts.empty() && waves.size() < 10) {
        waves.push_back(out.starts.size());
        BOOST_TEST(fixture.usedBy("a").cpuMilli <= 4'000);
        endAll(fixture, out.starts, sequence);
        out = fixture.decide();
    }
    BOOST_TEST(waves == (std::vector<std::size_t> {2, 2, 1}), boost::test_tools::per_element());
    BOOST_TEST(fixture.usedBy("a").cpuMilli == 0);
}

// Guards against a run that no longer counts while it may still exist, and one that counts for
// ever. The cap has room for one task; the second may start only when the first is known to be
// gone.
BOOST_AUTO_TEST_CASE(every_run_that_may_exist_counts)
{
    using happening = void (*)(team_fixture &, const start_order &);
    struct row
    {
        const char *name;
        happening happen;
        std::size_t startsAfterwards;
    };
    const row rows[] = {
        {"ordered, not answered yet", [](team_fixture &, const start_order &) {}, 0},
        {"running", [](team_fixture &f, const start_order &start) { f.confirm(start); }, 0},
        {"unanswered, not fenced",
         [](team_fixture &f, const start_order &start) {
             orders out;
             onStartOutcome(f.cell, start, order_outcome::unanswered, f.now, out);
         },
         0},
        {"refused",
         [](team_fixture &f, const start_order &start) {
             orders out;
             onStartOutcome(f.cell, start, order_outcome::refused_ticket, f.now, out);
         },
         1},
        {"being stopped",
         [](team_fixture &f, const start_order &start) {
             f.confirm(start);
             orders out;
             cancelJob(f.cell, "first", f.now, out);
         },
         0},
        {"stopped",
         [](team_fixture &f, const start_order &start) {
             f.confirm(start);
             orders out;
             cancelJob(f.cell, "first", f.now, out);
             f.end(start.worker, 1, start.task, start.attempt, end_kind::stopped);
         },
         1},
        {"silent worker, lease not expired",
         [](team_fixture &f, const start_order &start) {
             f.confirm(start);
             orders out;
             onPollFailed(f.cell, f.makePoll(start.worker), order_outcome::unanswered, f.now, out);
             f.now += 4 * second;
         },
         0},
        {"silent worker, lease expired",
         [](team_fixture &f, const start_order &start) {
             f.confirm(start);
             orders out;
             onPollFailed(f.cell, f.makePoll(start.worker), order_outcome::unanswered, f.now, out);
             f.now += 6 * second;
         },
         1},
        {"restarted worker, not fenced yet",
         [](team_fixture &f, const start_order &start) {
             f.confirm(start);
             f.now += second;
             orders out;
             cell_report report;
             report.born = 7;
             report.workerClock = 5;
             onReport(f.cell, f.makePoll(start.worker), report, f.now, f.now, out);
         },
         0},
    };
    for (const row &entry : rows) {
        team_fixture fixture(oneTeam({2'000, 0, 0}));
        fixture.now += 10 * second; // no lease of an earlier scheduler is left
        const auto first =
            fixture.run(team_fixture::makeTeamJob("first", "a", {makeStep(1, 2'000)}));
        BOOST_REQUIRE(first.starts.size() == 1U);
        BOOST_TEST(
            fixture.countStarts(team_fixture::makeTeamJob("second", "a", {makeStep(1, 2'000)}))
                == 0U,
            entry.name);
        entry.happen(fixture, first.starts[0]);
        BOOST_TEST(fixture.decide().starts.size() == entry.startsAfterwards, entry.name);
        BOOST_TEST(fixture.usedBy("a").cpuMilli <= 2'000, entry.name);
    }
}

// Guards against a cap that is exceeded, or not used, while a worker still lists a run of a job
// whose retention time is over.
BOOST_AUTO_TEST_CASE(runs_of_ended_jobs_count_until_they_are_over)
{
    team_fixture fixture(oneTeam({9'000, 0, 0}));
    const orders first = fixture.run(team_fixture::makeTeamJob("first", "a", {makeStep(1, 2'000)}));
    fixture.confirm(first.starts.at(0));
    orders out;
    cancelJob(fixture.cell, "first", fixture.now, out);
    fixture.store();
    cell_report report;
    report.running.push_back({first.starts[0].task, first.starts[0].attempt, "", 0});
    fixture.now += fixture.cell.settings.endedKept;
    fixture.report(first.starts[0].worker, report);
    fixture.decide();
    BOOST_TEST((findJob(fixture.cell, "first") != nullptr));
    BOOST_TEST(fixture.usedBy("a").cpuMilli == 2'000);
    fixture.report(first.starts[0].worker, report);
    BOOST_TEST(fixture.countStarts(team_fixture::makeTeamJob("b", "a", {makeStep(9, 1'000)}))
               == 7U);
    fixture.report(first.starts[0].worker, {});
    BOOST_TEST(fixture.usedBy("a").cpuMilli == 7'000);
    BOOST_TEST(fixture.decide().starts.size() == 2U);
    fixture.now += second;
    fixture.decide();
    BOOST_TEST((findJob(fixture.cell, "first") == nullptr));
}

// A worker that lists a run of a job that nobody knows may use all it has for such runs.
BOOST_AUTO_TEST_CASE(runs_of_unknown_jobs_count_as_unexpected_runs)
{
    team_fixture fixture(oneTeam({9'000, 0, 0}));
    cell_report report;
    report.running.push_back({{"unknown", 0, 0, 0}, 1, "", 0});
    fixture.report("worker-1", report);
    BOOST_TEST(fixture.countStarts(team_fixture::makeTeamJob("b", "a", {makeStep(9, 1'000)}))
               == 1U);
    fixture.report("worker-1", {});
    BOOST_TEST(fixture.decide().starts.size() == 8U);
}

// Guards against runs that are stopped as the cap shrinks, against starts before there is room, and
// against jobs that stay behind when the cap grows again.
BOOST_AUTO_TEST_CASE(lowered_cap_stops_nothing_and_starts_nothing)
{
    team_fixture fixture(oneTeam({8'000, 0, 0}));
    const orders first = fixture.run(team_fixture::makeTeamJob("job", "a", {makeStep(10, 2'000)}));
    BOOST_REQUIRE(first.starts.size() == 4U);
    fixture.setTeams(oneTeam({3'000, 0, 0}));
    std::int64_t sequence = 0;
    const std::size_t startsAfterEnds[] = {0, 0, 0, 1};
    for (std::size_t ended = 0; ended < first.starts.size(); ++ended) {
        const orders before = fixture.decide();
        BOOST_TEST(before.stops.empty());
        BOOST_TEST(before.starts.empty());
        endAll(fixture, {first.starts[ended]}, sequence);
        BOOST_TEST(fixture.decide().starts.size() == startsAfterEnds[ended]);
    }
    fixture.setTeams(oneTeam({8'000, 0, 0}));
    BOOST_TEST(fixture.decide().starts.size() == 3U);
    fixture.setTeams({});
    BOOST_TEST(fixture.decide().starts.size() == 2U); // the rest, without any cap
}

// Guards against totals that lack the runs from before the configuration had teams.
BOOST_AUTO_TEST_CASE(totals_are_complete_when_the_configuration_gets_teams)
{
    team_fixture fixture({});
    BOOST_TEST(fixture.countStarts(team_fixture::makeTeamJob("job", "a", {makeStep(4, 2'000)}))
               == 4U);
    BOOST_TEST(fixture.cell.teams.byName.empty());
    fixture.setTeams(oneTeam({9'000, 0, 0}));
    BOOST_TEST(fixture.usedBy("a").cpuMilli == 8'000);
    BOOST_TEST(fixture.countStarts(team_fixture::makeTeamJob("b", "a", {makeStep(4, 1'000)}))
               == 1U);
}

// Guards against a gang that waits forever beside a stream of smaller steps of its team, and
// against a gang that blocks its team although it can never fit.
BOOST_AUTO_TEST_CASE(gangs_get_their_turn_under_the_cap)
{
    struct row
    {
        const char *name;
        resources capLater;
        bool isFirstLongRunning;
        std::size_t gangStarts;
        std::size_t smallStarts;
    };
    const row rows[] = {
        {"the room is kept for the gang", {8'000, 0, 0}, false, 0, 0},
        {"the cap was lowered below the gang", {5'000, 0, 0}, false, 0, 1},
        {"the cap was raised", {16'000, 0, 0}, false, 4, 3},
        {"a service leaves too little for the gang", {8'000, 0, 0}, true, 0, 3},
    };
    for (const row &entry : rows) {
        team_fixture fixture(oneTeam({8'000, 0, 0}));
        step_spec first = makeStep(2, 2'000);
        first.longRunning = entry.isFirstLongRunning;
        BOOST_TEST(fixture.countStarts(team_fixture::makeTeamJob("first", "a", {first})) == 2U);
        fixture.setTeams(oneTeam(entry.capLater));
        const auto gang = team_fixture::makeTeamJob("gang", "a", {makeStep(4, 2'000, true)});
        BOOST_TEST(fixture.countStarts(gang) == entry.gangStarts, entry.name);
        fixture.now += millisecond; // the objective of the gang is the earlier one
        const auto small = team_fixture::makeTeamJob("small", "a", {makeStep(3, 1'000)});
        const std::size_t started = fixture.countStarts(small);
        const std::size_t expected = entry.smallStarts;
        BOOST_TEST(started == expected, entry.name << ": " << started);
    }
}

// Guards against work of others that is discarded, and against capacity that stands idle, for a
// gang that its team's cap keeps from starting.
BOOST_AUTO_TEST_CASE(steps_at_the_cap_hold_ask_and_preempt_nothing)
{
    team_fixture fixture(oneTeam({8'000, 0, 0}));
    step_spec filler = makeStep(6, 4'000);
    filler.checkpointing = true;
    queue_policy low = fixture.policy;
    low.priority = 2;
    acceptJob(fixture.cell, team_fixture::makeJob("filler", {filler}), low, fixture.now);
    acceptJob(fixture.cell, team_fixture::makeTeamJob("first", "a", {makeStep(1, 100)}),
              fixture.policy, fixture.now);
    fixture.store();
    for (const start_order &start : fixture.decide().starts) {
        fixture.confirm(start);
    }
    queue_policy advised = fixture.policy;
    advised.needsAdvice = true;
    for (const bool gang : {true, false}) {
        const std::string id = gang ? "gang" : "single";
        const auto step = gang ? makeStep(4, 2'000, true) : makeStep(1, 7'950);
        acceptJob(fixture.cell, team_fixture::makeTeamJob(id, "a", {step}),
                  gang ? fixture.policy : advised, fixture.now);
    }
    fixture.store();
    fixture.now += 20 * second; // both are late, so that the gang would preempt
    for (const auto &worker : fixture.entries) {
        cell_report report;
        for (const task_id &id : fixture.cell.workers.at(worker.id).life.runs) {
            report.running.push_back({id, 1, "", 10});
        }
        fixture.report(worker.id, report);
    }
    const orders out = fixture.decide();
    BOOST_TEST(out.stops.empty());
    BOOST_TEST(out.advice.empty());
    BOOST_TEST(out.starts.empty());
    BOOST_TEST(fixture.cell.counters.preemptedRuns == 0U);
    BOOST_TEST((reasonOf(fixture, "gang") == wait_reason::team_cap));
    BOOST_TEST((reasonOf(fixture, "single") == wait_reason::team_cap));
}

// Guards against jobs that are accepted and can never run, and against refusals without a figure.
BOOST_AUTO_TEST_CASE(jobs_that_can_never_fit_are_refused)
{
    struct row
    {
        const char *name;
        resources cap;
        const char *team;
        step_spec step;
        const char *reason;
    };
    const row rows[] = {
        {"fits", {4'000, 0, 0}, "a", makeStep(9, 4'000), ""},
        {"task",
         {4'000, 0, 0},
         "a",
         makeStep(9, 4'001),
         "one task of step 1 needs cpu=4001, over the cap of team a, cpu=4000"},
        {"gang",
         {4'000, 0, 0},
         "a",
         makeStep(3, 2'000, true),
         "the gang of step 1 needs cpu=6000, over the cap of team a, cpu=4000"},
        {"memory",
         {0, 50, 0},
         "a",
         makeStep(1, 1),
         "one task of step 0 needs memMb=100, over the cap of team a, memMb=50"},
        {"scavenging",
         {4'000, 0, 0},
         "a",
         makeStep(1, 4'001, false, true),
         "one task of step 1 needs cpu=4001, over the cap of team a, cpu=4000"},
        {"other team", {4'000, 0, 0}, "b", makeStep(1, 9'000), ""},
        {"no team", {4'000, 0, 0}, "", makeStep(1, 9'000), ""},
        {"no cap", {}, "a", makeStep(1, 9'000), ""},
    };
    for (const row &entry : rows) {
        cell_config config;
        config.teams = oneTeam(entry.cap);
        const auto spec =
            team_fixture::makeTeamJob("job", entry.team, {makeStep(1, 10), entry.step});
        BOOST_TEST(findCapConflict(config, spec).value_or("") == entry.reason, entry.name);
    }
}

// Guards against an answer that tells the caller to come back before the configuration can have
// changed, and against a refused job that is counted or marked.
BOOST_AUTO_TEST_CASE(refusal_for_the_cap_says_when_to_come_back)
{
    team_fixture fixture(oneTeam({4'000, 0, 0}));
    for (const std::int64_t cpu : {4'000, 4'001}) {
        job_spec spec = team_fixture::makeTeamJob("job", "a", {makeStep(1, cpu)});
        const auto refusal = admitOrRefuse(fixture.cell, spec, fixture.policy, fixture.now);
        BOOST_TEST(refusal.has_value() == (cpu > 4'000));
        if (refusal) {
            BOOST_TEST(refusal->retryAfter == 60 * second);
        }
    }
    const team_state &team = fixture.cell.teams.byName.at("a");
    BOOST_TEST(team.jobsAccepted == 1U);
    BOOST_TEST(team.jobsRefused == 1U);
    BOOST_TEST(team.inShareSubmissions.size() == 1U);
}
