#define BOOST_TEST_MODULE waiting_jobs
#include <boost/test/unit_test.hpp>

#include "cell/placement/waiting_jobs.h"
#include "cell_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using bramleygrade::testing::cell_fixture;

namespace {

step_state &firstStep(cell_fixture &fixture)
{
    return findJob(fixture.cell, "a")->occurrences.at(0).steps.at(0);
}

void allowOn(cell_fixture &fixture, const std::string &worker, timestamp validUntil)
{
    firstStep(fixture).advice[worker] = {true, "ticket", validUntil};
}

void fill(cell_fixture &fixture, const std::string &worker)
{
    worker_state &state = fixture.cell.workers.at(worker);
    state.life.used = state.entry.capacity;
}

void fillAll(cell_fixture &fixture)
{
    for (const auto &entry : fixture.entries) {
        fill(fixture, entry.id);
    }
}

/// Adds job `a`, stored and with one ready step of three tasks of 4 of a worker's 8 processors.
void addJob(cell_fixture &fixture, bool needsAdvice)
{
    fixture.policy.needsAdvice = needsAdvice;
    acceptJob(fixture.cell, cell_fixture::makeJob("a", {cell_fixture::makeStep(3, 4'000)}),
              fixture.policy, fixture.now);
    fixture.store();
    ensureOccurrence(*findJob(fixture.cell, "a"), 0);
}

} // namespace

BOOST_AUTO_TEST_CASE(the_wait_of_a_step_is_explained)
{
    struct row
    {
        const char *name;
        bool needsAdvice;
        std::function<void(cell_fixture &)> arrange;
        wait_reason reason;
        std::size_t tasks;
    };
    using reason = wait_reason;
    const row rows[] = {
        {"room", false, [](cell_fixture &) {}, reason::startable, 3},
        {"a run exists", false,
         [](cell_fixture &f) { firstStep(f).tasks[0].phase = run_phase::running; },
         reason::startable, 2},
        {"not stored", false, [](cell_fixture &f) { findJob(f.cell, "a")->stored = false; },
         reason::job_not_stored, 3},
        {"restored, one worker has not reported", false,
         [](cell_fixture &f) {
             findJob(f.cell, "a")->restored = true;
             f.cell.workers.at("worker-2").life.reconciled = false;
         },
         reason::workers_not_reconciled, 3},
        {"restored, all workers have reported", false,
         [](cell_fixture &f) { findJob(f.cell, "a")->restored = true; }, reason::startable, 3},
        {"stop without an end", false,
         [](cell_fixture &f) {
             for (task_state &task : firstStep(f).tasks) {
                 task.phase = run_phase::stopping;
                 task.orderedAt = f.now - 2 * second;
             }
         },
         reason::runs_not_ended, 3},
        {"start without an answer", false,
         [](cell_fixture &f) {
             for (task_state &task : firstStep(f).tasks) {
                 task.phase = run_phase::unconfirmed;
                 task.orderedAt = f.now - 2 * second;
             }
         },
         reason::order_unanswered, 3},
        {"recent start without an answer", false,
         [](cell_fixture &f) {
             for (task_state &task : firstStep(f).tasks) {
                 task.phase = run_phase::starting;
                 task.orderedAt = f.now - 100 * millisecond;
             }
         },
         reason::startable, 0},
        {"broken gang with an active member", false,
         [](cell_fixture &f) {
             findJob(f.cell, "a")->spec.steps[0].gang = true;
             firstStep(f).gangBroken = true;
             firstStep(f).tasks[0].phase = run_phase::running;
         },
         reason::runs_not_ended, 2},
        {"another service", false,
         [](cell_fixture &f) { findJob(f.cell, "a")->policy.service = "other"; },
         reason::no_eligible_worker, 3},
        {"all workers silent", false,
         [](cell_fixture &f) {
             for (auto &[id, worker] : f.cell.workers) {
                 worker.life.unansweredPolls = 1;
             }
         },
         reason::no_usable_worker, 3},
        {"workers full", false, fillAll, reason::no_capacity, 3},
        {"gang with room for a part", false,
         [](cell_fixture &f) {
             findJob(f.cell, "a")->spec.steps[0].gang = true;
             fill(f, "worker-1");
             fill(f, "worker-2");
         },
         reason::no_capacity, 3},
        {"at the limit of tasks on one worker", false,
         [](cell_fixture &f) {
             findJob(f.cell, "a")->spec.steps[0].maxPerWorker = 1;
             fill(f, "worker-2");
             fill(f, "worker-3");
             firstStep(f).tasks[0].phase = run_phase::running;
             firstStep(f).tasks[0].worker = "worker-1";
         },
         reason::no_capacity, 2},
        {"room reserved for a gang", false,
         [](cell_fixture &f) {
             acceptJob(f.cell, cell_fixture::makeJob("gang", {cell_fixture::makeStep(1, 1'000)}),
                       f.policy, f.now);
             job_state &gang = *findJob(f.cell, "gang");
             step_state &step = ensureOccurrence(gang, 0).steps[0];
             step.reservedUntil = f.now + second;
             for (const auto &entry : f.entries) {
                 step.reservations[entry.id] = {6'000, 0, 0};
             }
         },
         reason::reserved_for_gang, 3},
        {"advice never asked", true, [](cell_fixture &) {}, reason::advice_missing, 3},
        {"advice call queued", true,
         [](cell_fixture &f) {
             firstStep(f).advicePending = true;
             firstStep(f).adviceQueued = true;
         },
         reason::advice_queued, 3},
        {"advice pending", true, [](cell_fixture &f) { firstStep(f).advicePending = true; },
         reason::advice_pending, 3},
        {"gang passed over as other gangs hold too much", false,
         [](cell_fixture &f) {
             findJob(f.cell, "a")->spec.steps.front().gang = true;
             firstStep(f).obstacle = gang_obstacle::held_capacity_limit;
         },
         reason::gang_capacity_limit, 3},
        {"gang wider than the workers", false,
         [](cell_fixture &f) {
             findJob(f.cell, "a")->spec.steps.front().gang = true;
             firstStep(f).obstacle = gang_obstacle::exceeds_workers;
         },
         reason::gang_exceeds_workers, 3},
        {"no worker allowed", true,
         [](cell_fixture &f) {
             for (const auto &entry : f.entries) {
                 firstStep(f).advice[entry.id].allowed = false;
             }
         },
         reason::not_allowed, 3},
        {"valid ticket and room", true,
         [](cell_fixture &f) { allowOn(f, "worker-1", f.now + second); }, reason::startable, 3},
        {"ticket expired", true, [](cell_fixture &f) { allowOn(f, "worker-1", f.now); },
         reason::tickets_expired, 3},
        {"allowed workers full", true,
         [](cell_fixture &f) {
             for (const auto &entry : f.entries) {
                 allowOn(f, entry.id, f.now + second);
             }
             fillAll(f);
         },
         reason::allowed_workers_full, 3},
    };
    for (const row &entry : rows) {
        cell_fixture fixture;
        addJob(fixture, entry.needsAdvice);
        entry.arrange(fixture);
        const step_wait wait = explainWait(fixture.cell, *findJob(fixture.cell, "a"),
                                           sumReservations(fixture.cell, fixture.now), fixture.now);
        BOOST_TEST(std::string(waitReasonName(wait.reason)) == waitReasonName(entry.reason),
                   entry.name << ": " << waitReasonName(wait.reason));
        BOOST_TEST(wait.tasks == entry.tasks, entry.name);
    }
}

BOOST_AUTO_TEST_CASE(a_waiting_job_is_reported_at_growing_intervals_until_it_makes_progress)
{
    cell_fixture fixture;
    addJob(fixture, false);
    fillAll(fixture);
    const timestamp startedAt = fixture.now;
    waiting_jobs jobs;
    std::vector<microseconds> reportedAfter;
    for (int elapsed = 0; elapsed <= 18; ++elapsed) {
        fixture.now = startedAt + elapsed * second;
        if (!reportWaitingJobs(jobs, fixture.cell, {}, fixture.now).empty()) {
            reportedAfter.push_back(elapsed);
        }
    }
    const std::vector<microseconds> expected = {2, 4, 8, 16};
    BOOST_TEST(reportedAfter == expected, boost::test_tools::per_element());
    BOOST_TEST(jobs.at("a").newest.tasks == 3U);

    firstStep(fixture).tasks[0].phase = run_phase::running;
    BOOST_TEST(reportWaitingJobs(jobs, fixture.cell, {}, fixture.now).empty());
    BOOST_TEST(jobs.at("a").since == fixture.now); // one task has started
    for (task_state &task : firstStep(fixture).tasks) {
        task.phase = run_phase::running;
    }
    reportWaitingJobs(jobs, fixture.cell, {}, fixture.now);
    BOOST_TEST(jobs.empty());
}

BOOST_AUTO_TEST_CASE(reports_of_waiting_jobs_are_bounded)
{
    cell_fixture fixture;
    for (int number = 0; number < 20; ++number) {
        acceptJob(fixture.cell,
                  cell_fixture::makeJob("job-" + std::to_string(number),
                                        {cell_fixture::makeStep(1, 9'000)}),
                  fixture.policy, fixture.now);
    }
    fixture.store();
    fixture.decide();
    waiting_jobs jobs;
    BOOST_TEST(reportWaitingJobs(jobs, fixture.cell, {}, fixture.now).empty());
    fixture.now += 3 * second;
    const wait_report_limits limits;
    std::set<std::string> reported;
    for (int call = 0; call < 3; ++call) {
        const auto ids = reportWaitingJobs(jobs, fixture.cell, limits, fixture.now);
        BOOST_TEST(ids.size() <= limits.reportsPerCall);
        reported.insert(ids.begin(), ids.end());
    }
    BOOST_TEST(reported.size() == 20U);
}
