#define BOOST_TEST_MODULE team_takeover
#include <boost/test/unit_test.hpp>

#include "cell/placement/waiting_jobs.h"
#include "team_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using cell_report = bramleygrade::cell::worker_report;
using bramleygrade::testing::team_fixture;

namespace {

/// A successor with a restored worker, worker-9, that has not reported; all others have no runs.
struct successor_fixture : team_fixture
{
    explicit successor_fixture(const resources &cap)
        : team_fixture({makeTeam("a", cap), makeTeam("b", cap)}, 2, false)
    {
        cell.settings.predecessorGrace = 500 * millisecond;
        restoreWorker(cell, makeWorker("worker-9"), now);
    }

    void restore(const std::string &id, const std::string &team, const step_spec &step)
    {
        job_state job;
        job.spec = makeTeamJob(id, team, {step});
        job.policy = policy;
        job.acceptedEpoch = 1;
        restoreJob(cell, job, now);
    }

    void failPoll(const std::string &worker)
    {
        orders ignored;
        onPollFailed(cell, makePoll(worker), order_outcome::unanswered, now, ignored);
    }

    /// Returns the number of tasks of 1,000 that start of a new job with 20 of them.
    std::size_t countNewStarts(const std::string &team)
    {
        return countStarts(
            makeTeamJob("new-" + std::to_string(++m_jobs), team, {makeStep(20, 1'000)}));
    }

private:
    int m_jobs = 0;
};

reported_run makeRun(const std::string &job, int index)
{
    return {{job, 0, 0, index}, 1, "", 10};
}

} // namespace

// Guards against starts past the cap while runs of a predecessor are not known yet: the capacity of
// the workers that have not reported counts for every team.
BOOST_AUTO_TEST_CASE(unreported_workers_count_for_every_capped_team)
{
    using happening = void (*)(successor_fixture &);
    struct row
    {
        const char *name;
        std::int64_t cap;
        happening happen;
        std::size_t started;
    };
    const row rows[] = {
        {"silent, leases not expired", 10'000, [](successor_fixture &f) { f.failPoll("worker-9"); },
         2},
        {"silent, the cap is smaller than the worker", 7'000,
         [](successor_fixture &f) { f.failPoll("worker-9"); }, 0},
        {"silent until all leases have expired", 10'000,
         [](successor_fixture &f) {
             f.failPoll("worker-9");
             f.now += 5'800 * millisecond;
         },
         10},
        {"reported without runs", 10'000, [](successor_fixture &f) { f.report("worker-9", {}); },
         10},
        {"reported with a run of the team", 10'000,
         [](successor_fixture &f) {
             cell_report report;
             report.running.push_back(makeRun("restored", 0));
             f.report("worker-9", report);
         },
         7},
        {"reported with an unexpected run", 10'000,
         [](successor_fixture &f) {
             cell_report report;
             report.running.push_back(makeRun("forgotten", 0));
             f.report("worker-9", report);
         },
         2},
        {"the registry shows less than the predecessor used", 10'000,
         [](successor_fixture &f) {
             f.entries.push_back(f.makeWorker("worker-9"));
             f.entries.back().capacity = {1'000, 16'000, 0};
             changeWorkers(f.cell, f.entries, f.now);
         },
         2},
    };
    for (const row &entry : rows) {
        successor_fixture fixture({entry.cap, 0, 0});
        fixture.restore("restored", "a", team_fixture::makeStep(1, 3'000));
        fixture.reconcileAll();
        entry.happen(fixture);
        fixture.decide();
        // The restored task runs, or waits for worker-9, or is started with the new ones.
        const auto restored = fixture.usedBy("a").cpuMilli / 3'000;
        const std::size_t started = fixture.countNewStarts("a");
        const std::size_t expected =
            entry.started - (restored > 0 && entry.started == 10 ? static_cast<std::size_t>(3) : 0);
        BOOST_TEST(started == expected, entry.name << ": " << started);
        BOOST_TEST(fixture.usedBy("a").cpuMilli <= entry.cap, entry.name);
    }
}

// Guards against start orders of a predecessor that are carried out without its successor counting
// them: the worker lists the run once it is fenced, and counts as a whole until then.
BOOST_AUTO_TEST_CASE(unanswered_starts_of_the_predecessor_count)
{
    successor_fixture fixture({10'000, 0, 0});
    fixture.restore("restored", "a", team_fixture::makeStep(4, 2'000));
    fixture.reconcileAll();
    BOOST_TEST(fixture.countNewStarts("a") == 2U);
    BOOST_TEST(fixture.countNewStarts("b") == 2U);
    cell_report report;
    report.running = {makeRun("restored", 0), makeRun("restored", 1)};
    fixture.report("worker-9", report);
    fixture.decide();
    BOOST_TEST(fixture.usedBy("a").cpuMilli == 10'000); // 4,000 adopted, 6,000 started
    BOOST_TEST(fixture.usedBy("b").cpuMilli == 10'000);
}

// Guards against scavenging tasks on silent workers that count by the capacity of the worker, which
// does not bound the processors that they ask for.
BOOST_AUTO_TEST_CASE(restored_scavenging_tasks_count_until_their_workers_have_reported)
{
    for (const bool scavenging : {false, true}) {
        successor_fixture fixture({20'000, 0, 0});
        step_spec step = team_fixture::makeStep(3, 5'000);
        step.scavenging = scavenging;
        fixture.restore("restored", "a", step);
        fixture.reconcileAll();
        BOOST_TEST(fixture.countNewStarts("a") == (scavenging ? 0U : 12U));
        BOOST_TEST(fixture.countNewStarts("b") == 12U);
    }
}

// Guards against jobs of older rows that count for a team, or are held back by a cap.
BOOST_AUTO_TEST_CASE(jobs_restored_without_a_team_count_for_none)
{
    successor_fixture fixture({4'000, 0, 0});
    fixture.restore("older-1", "", team_fixture::makeStep(3, 2'000));
    fixture.restore("older-2", "", team_fixture::makeStep(3, 2'000));
    fixture.reconcileAll();
    cell_report report;
    report.running = {makeRun("older-1", 0)};
    fixture.report("worker-9", report);
    BOOST_TEST(fixture.decide().starts.size() == 5U);
    BOOST_TEST(fixture.usedBy("a").cpuMilli == 0);
    BOOST_TEST(fixture.countNewStarts("a") == 4U);
}

// Guards against a start order of a predecessor that reaches a process which no scheduler has
// fenced: the restarted worker counts as a whole until it has answered a fence.
BOOST_AUTO_TEST_CASE(restarted_worker_counts_until_it_is_fenced)
{
    successor_fixture fixture({10'000, 0, 0});
    fixture.reconcileAll();
    fixture.report("worker-9", {});
    fixture.now += second;
    cell_report restarted;
    restarted.born = 5;
    restarted.workerClock = 1;
    orders out;
    onReport(fixture.cell, fixture.makePoll("worker-9"), restarted, fixture.now, fixture.now, out);
    BOOST_TEST(fixture.countNewStarts("a") == 2U);
    poll_order fence = fixture.makePoll("worker-9");
    fence.life = fixture.cell.workers.at("worker-9").life.number;
    fence.fence = true;
    restarted.workerClock = 2;
    onReport(fixture.cell, fence, restarted, fixture.now, fixture.now, out);
    BOOST_TEST(fixture.decide().starts.size() == 8U);
}

// Guards against a successor with an older configuration that starts tasks past the cap that it
// knows, as its predecessor knew of a higher one.
BOOST_AUTO_TEST_CASE(successor_with_an_older_configuration_keeps_its_own_cap)
{
    successor_fixture fixture({4'000, 0, 0});
    fixture.restore("restored", "a", team_fixture::makeStep(6, 2'000));
    fixture.reconcileAll();
    cell_report report;
    report.running = {makeRun("restored", 0), makeRun("restored", 1), makeRun("restored", 2)};
    fixture.report("worker-9", report);
    orders out = fixture.decide();
    BOOST_TEST(out.starts.empty());
    BOOST_TEST(out.stops.empty());
    BOOST_TEST(fixture.usedBy("a").cpuMilli == 6'000);
    fixture.setTeams({team_fixture::makeTeam("a", {8'000, 0, 0})});
    BOOST_TEST(fixture.decide().starts.size() == 1U);
}
