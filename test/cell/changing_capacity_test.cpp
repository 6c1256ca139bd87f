#define BOOST_TEST_MODULE changing_capacity
#include <boost/test/unit_test.hpp>

#include "cell/placement/waiting_jobs.h"
#include "cell_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using bramleygrade::testing::cell_fixture;

namespace {

/// A scheduler with the workers of the base class, of which only the first is in use unless the
/// test adds others.
struct capacity_fixture : cell_fixture
{
    explicit capacity_fixture(int workers = 1)
    {
        entries.resize(static_cast<std::size_t>(workers));
        cell::changeWorkers(cell, entries, now);
    }

    /// The registry shows this capacity of the worker from now on.
    void setCapacity(std::size_t index, const resources &capacity)
    {
        entries.at(index).capacity = capacity;
        cell::changeWorkers(cell, entries, now);
    }

    /// Decides as the scheduler does on an event, without a placement round forced by the test.
    cell::orders decideIfNeeded()
    {
        cell::orders out;
        cell::decide(cell, now, out);
        return out;
    }

    /// Runs the job and confirms its starts.
    std::vector<start_order> runConfirmed(const job_spec &spec)
    {
        std::vector<start_order> starts = run(spec).starts;
        for (const start_order &start : starts) {
            confirm(start);
        }
        return starts;
    }
};

step_spec makeDemandingStep(int count, const resources &demand)
{
    step_spec step = cell_fixture::makeStep(count, 0);
    step.demand = demand;
    return step;
}

job_spec makeSingleTask(const std::string &id, const resources &demand)
{
    return cell_fixture::makeJob(id, {makeDemandingStep(1, demand)});
}

} // namespace

BOOST_AUTO_TEST_CASE(limit_start_on_a_worker_that_shrank)
{
    struct test_case
    {
        const char *name;
        resources shrunk;
        bool starts;
    };
    const test_case testCases[] = {
        {"room left", {6'000, 8'000, 2}, true},
        {"no processors left", {4'999, 16'000, 4}, false},
        {"no memory left", {8'000, 4'999, 4}, false},
        {"no accelerators left", {8'000, 16'000, 1}, false},
        {"below the demand in use", {1'000, 1'000, 0}, false},
        {"nothing", {0, 0, 0}, false},
    };
    for (const test_case &testCase : testCases) {
        capacity_fixture fixture;
        fixture.setCapacity(0, {8'000, 16'000, 4});
        BOOST_REQUIRE(fixture.runConfirmed(makeSingleTask("running", {4'000, 4'000, 1})).size()
                      == 1U);
        fixture.setCapacity(0, testCase.shrunk);
        const auto starts = fixture.run(makeSingleTask("next", {1'000, 1'000, 1})).starts;
        BOOST_TEST(!starts.empty() == testCase.starts, testCase.name);
    }
}

BOOST_AUTO_TEST_CASE(limit_start_beside_runs_that_are_being_stopped)
{
    capacity_fixture fixture;
    const auto running = fixture.runConfirmed(makeSingleTask("running", {6'000, 100, 0}));
    BOOST_REQUIRE(running.size() == 1U);
    fixture.setCapacity(0, {6'000, 16'000, 0});
    BOOST_TEST(fixture.run(makeSingleTask("next", {1'000, 100, 0})).starts.empty());
    orders out;
    cancelJob(fixture.cell, "running", fixture.now, out);
    BOOST_REQUIRE(out.stops.size() == 1U);
    BOOST_TEST(fixture.decide().starts.empty());
    fixture.end("worker-1", 1, running[0].task, running[0].attempt, end_kind::stopped);
    BOOST_TEST(fixture.decideIfNeeded().starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(limit_start_beside_an_unanswered_start)
{
    capacity_fixture fixture;
    const auto starts = fixture.run(makeSingleTask("unanswered", {4'000, 100, 0})).starts;
    BOOST_REQUIRE(starts.size() == 1U);
    orders out;
    onStartOutcome(fixture.cell, starts[0], order_outcome::unanswered, fixture.now, out);
    fixture.setCapacity(0, {4'000, 16'000, 0});
    const orders fence = fixture.run(makeSingleTask("next", {1'000, 100, 0}));
    BOOST_TEST(fence.starts.empty());
    BOOST_REQUIRE(!fence.polls.empty());
    BOOST_REQUIRE(fence.polls.back().fence);
    cell::worker_report report;
    report.running.push_back({starts[0].task, starts[0].attempt, "", 0});
    report.workerClock = fixture.now;
    onReport(fixture.cell, fence.polls.back(), report, fixture.now, fixture.now, out);
    BOOST_TEST(fixture.decide().starts.empty());
}

BOOST_AUTO_TEST_CASE(limit_start_beside_runs_of_a_previous_scheduler)
{
    cell_fixture fixture(2, false);
    fixture.entries.resize(1);
    fixture.entries[0].capacity = {6'000, 16'000, 0};
    changeWorkers(fixture.cell, fixture.entries, fixture.now);
    fixture.decide();
    acceptJob(fixture.cell, makeSingleTask("known", {4'000, 100, 0}), fixture.policy, fixture.now);
    fixture.store();
    BOOST_TEST(fixture.decide().starts.empty()); // the worker has not reported yet
    cell::worker_report answer;
    answer.running.push_back({{"known", 0, 0, 0}, 1'001, "", 10});
    answer.running.push_back({{"unknown", 0, 0, 0}, 1, "", 10});
    fixture.report("worker-1", answer);
    BOOST_TEST(fixture.run(makeSingleTask("next", {2'000, 100, 0})).starts.empty());
    answer.running.pop_back();
    fixture.report("worker-1", answer);
    BOOST_TEST(fixture.decide().starts.size() == 1U);
    BOOST_TEST(fixture.run(makeSingleTask("other", {1'000, 100, 0})).starts.empty());
}

BOOST_AUTO_TEST_CASE(limit_task_that_fits_again_after_growth)
{
    capacity_fixture fixture;
    fixture.setCapacity(0, {500, 16'000, 0});
    BOOST_TEST(fixture.run(makeSingleTask("waiting", {4'000, 100, 0})).starts.empty());
    fixture.decideIfNeeded();
    fixture.setCapacity(0, {4'000, 16'000, 0});
    BOOST_TEST(fixture.decideIfNeeded().starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(limit_advised_task_that_fits_again_after_growth)
{
    capacity_fixture fixture;
    fixture.policy.needsAdvice = true;
    fixture.policy.advice = {20 * millisecond, millisecond, 2 * second};
    fixture.setCapacity(0, {500, 16'000, 0});
    acceptJob(fixture.cell, makeSingleTask("waiting", {4'000, 100, 0}), fixture.policy,
              fixture.now);
    fixture.store();
    for (advice_order &order : fixture.decide().advice) {
        BOOST_TEST(!prepareAdvice(fixture.cell, order, fixture.now));
    }
    fixture.setCapacity(0, {4'000, 16'000, 0});
    fixture.now += 100 * millisecond;
    std::vector<advice_order> calls = fixture.decideIfNeeded().advice;
    BOOST_REQUIRE(calls.size() == 1U);
    BOOST_TEST(prepareAdvice(fixture.cell, calls[0], fixture.now));
}

// Capacity is reserved on two workers; one of them shrinks before the preempted runs have ended.
BOOST_AUTO_TEST_CASE(limit_gang_with_a_reservation_on_a_worker_that_shrank)
{
    capacity_fixture fixture(3);
    step_spec batch = cell_fixture::makeStep(3, 6'000);
    batch.checkpointing = true;
    batch.estimate = 1'000 * second;
    fixture.policy.priority = 2;
    fixture.runConfirmed(cell_fixture::makeJob("batch", {batch}));
    fixture.policy.priority = 1;
    step_spec gang = cell_fixture::makeStep(2, 6'000);
    gang.gang = true;
    fixture.policy.latencyTarget = 0;
    fixture.policy.slackFactor = 1;
    const auto stops = fixture.run(cell_fixture::makeJob("gang", {gang})).stops;
    BOOST_REQUIRE(stops.size() == 2U);
    const std::size_t shrunk = stops[0].worker == "worker-1" ? 0 : 1;
    fixture.setCapacity(shrunk, {1'000, 16'000, 0});
    std::map<std::string, std::int64_t> sequences;
    const auto endAll = [&](const std::vector<stop_order> &orders) {
        for (const stop_order &stop : orders) {
            fixture.end(stop.worker, ++sequences[stop.worker], stop.task, stop.attempt,
                        end_kind::stopped);
        }
    };
    endAll(stops);
    std::vector<start_order> starts;
    for (int step = 0; step < 50 && starts.size() < 2; ++step) {
        const orders out = fixture.decide();
        for (const start_order &start : out.starts) {
            fixture.confirm(start);
            BOOST_TEST(start.worker != fixture.entries[shrunk].id);
            if (start.task.job == "gang") {
                starts.push_back(start);
            }
        }
        endAll(out.stops);
        fixture.now += 100 * millisecond;
    }
    BOOST_TEST(starts.size() == 2U);
}
// Workers whose accelerators were reduced below their use counted as room for gangs that need
// none: other runs were preempted and the gang could not start there.
BOOST_AUTO_TEST_CASE(limit_runs_preempted_on_an_overcommitted_worker)
{
    capacity_fixture fixture;
    fixture.setCapacity(0, {8'000, 16'000, 2});
    fixture.runConfirmed(makeSingleTask("accelerated", {1'000, 100, 2}));
    step_spec batch = cell_fixture::makeStep(1, 6'000);
    batch.checkpointing = true;
    fixture.policy.priority = 2;
    BOOST_REQUIRE(fixture.runConfirmed(cell_fixture::makeJob("batch", {batch})).size() == 1U);
    fixture.setCapacity(0, {8'000, 16'000, 1});
    fixture.policy.priority = 1;
    fixture.policy.latencyTarget = 0;
    fixture.policy.slackFactor = 1;
    step_spec gang = cell_fixture::makeStep(1, 4'000);
    gang.gang = true;
    BOOST_TEST(fixture.run(cell_fixture::makeJob("gang", {gang})).stops.empty());
}

BOOST_AUTO_TEST_CASE(limit_waiting_task_explained_as_startable)
{
    capacity_fixture fixture;
    fixture.runConfirmed(makeSingleTask("running", {4'000, 100, 0}));
    fixture.setCapacity(0, {2'000, 16'000, 0});
    job_spec scavenger = makeSingleTask("waiting", {1'000, 100, 0});
    scavenger.steps[0].scavenging = true;
    BOOST_TEST(fixture.run(scavenger).starts.empty());
    const step_wait wait =
        explainWait(fixture.cell, *findJob(fixture.cell, "waiting"), {}, fixture.now);
    BOOST_TEST(waitReasonName(wait.reason) == std::string("no_capacity"));
}
// A scavenging task needs no free processor, so a worker with few of them may take it.
BOOST_AUTO_TEST_CASE(limit_scavenging_task_that_asks_no_small_worker)
{
    capacity_fixture fixture;
    fixture.policy.needsAdvice = true;
    fixture.policy.advice = {20 * millisecond, millisecond, 2 * second};
    fixture.setCapacity(0, {2'000, 16'000, 0});
    job_spec scavenger = makeSingleTask("scavenger", {4'000, 100, 0});
    scavenger.steps[0].scavenging = true;
    std::vector<advice_order> calls = fixture.run(scavenger).advice;
    BOOST_REQUIRE(calls.size() == 1U);
    BOOST_TEST(prepareAdvice(fixture.cell, calls[0], fixture.now));
}

// The worker with the fewest processors had the lowest cost, also after the task had failed there.
BOOST_AUTO_TEST_CASE(limit_scavenging_task_drawn_to_the_smallest_worker)
{
    capacity_fixture fixture(2);
    fixture.setCapacity(0, {100, 16'000, 0});
    job_spec scavenger = makeSingleTask("scavenger", {4'000, 100, 0});
    scavenger.steps[0].scavenging = true;
    const auto starts = fixture.run(scavenger).starts;
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].worker == "worker-2");
}

// A worker that shrank while the registry is out of date refused as many starts as seemed to fit,
// every 0.8 s.
BOOST_AUTO_TEST_CASE(limit_starts_refused_again_and_again)
{
    capacity_fixture fixture;
    std::map<timestamp, int> rounds;
    orders out = fixture.run(cell_fixture::makeJob("refused", {cell_fixture::makeStep(8, 1'000)}));
    const timestamp endsAt = fixture.now + 10 * second;
    while (fixture.now < endsAt) {
        for (const start_order &start : out.starts) {
            ++rounds[fixture.now];
            orders ignored;
            onStartOutcome(fixture.cell, start, order_outcome::refused_capacity, fixture.now,
                           ignored);
        }
        fixture.now += 100 * millisecond;
        out = fixture.decide();
    }
    // Pauses of 0.8, 1.6 and then 3.2 s.
    BOOST_TEST(rounds.size() <= 5U);
    BOOST_TEST(rounds.size() >= 4U);
    fixture.setCapacity(0, {9'000, 16'000, 0});
    BOOST_TEST(fixture.decideIfNeeded().starts.size() == 8U); // the registry is up to date
}
