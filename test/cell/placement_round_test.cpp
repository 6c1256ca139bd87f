#define BOOST_TEST_MODULE placement_round
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

#include "cell_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using bramleygrade::testing::cell_fixture;

namespace {

/// A scheduler whose queue needs advice.
struct advised_fixture : cell_fixture
{
    advised_fixture()
    {
        policy.needsAdvice = true;
        policy.advice = {20 * millisecond, millisecond, 2 * second};
        policy.latencyTarget = 60 * second;
    }

    /// Accepts and stores a job with one step; its call for advice is queued by the next decision.
    void submit(const std::string &id, const step_spec &step)
    {
        cell::acceptJob(cell, makeJob(id, {step}), policy, now);
        store();
    }

    /// Answers that all workers of the call are allowed.
    void allow(const advice_order &order)
    {
        std::vector<std::pair<std::string, std::string>> allowed;
        for (const std::string &worker : order.workers) {
            allowed.emplace_back(worker, "ticket");
        }
        cell::onAdvice(cell, order, allowed, policy.advice.valid, now);
    }

    void addWorkers(int count)
    {
        for (int number = 0; number < count; ++number) {
            entries.push_back(makeWorker("added-" + std::to_string(1'000 + number)));
        }
        cell::changeWorkers(cell, entries, now);
        store();
        reconcileAll();
    }
};

step_spec makeGang(int count, std::int64_t cpu)
{
    step_spec gang = cell_fixture::makeStep(count, cpu);
    gang.gang = true;
    return gang;
}

} // namespace

// Load: more calls for advice than clients, so that calls wait for seconds.
BOOST_FIXTURE_TEST_CASE(queued_call_asks_about_workers_that_have_room_when_it_is_sent,
                        advised_fixture)
{
    submit("early", makeStep(1, 8'000));
    advice_order queued = decide().advice.at(0);
    // Another job takes all but one worker while the call waits.
    policy.needsAdvice = false;
    BOOST_REQUIRE(run(makeJob("other", {makeStep(2, 8'000)})).starts.size() == 2U);
    policy.needsAdvice = true;
    BOOST_REQUIRE(prepareAdvice(cell, queued, now));
    BOOST_REQUIRE(queued.workers.size() == 1U);
    BOOST_TEST(freeCapacity(cell.workers.at(queued.workers[0])).cpuMilli == 8'000);
}

// Load: wide steps on full workers asked again and again about the few with room, so that their
// calls took up the entries that wide gangs needed.
BOOST_FIXTURE_TEST_CASE(call_of_a_wide_step_also_asks_about_full_workers, advised_fixture)
{
    addWorkers(21);
    policy.needsAdvice = false;
    BOOST_REQUIRE(run(makeJob("other", {makeStep(22, 8'000)})).starts.size() == 22U);
    policy.needsAdvice = true;
    submit("wide", makeStep(20, 4'000));
    advice_order order = decide().advice.at(0);
    BOOST_REQUIRE(prepareAdvice(cell, order, now));
    // 0.3 of the fixed 20 ms pays for 6 workers of 1 ms each; 2 of them have room.
    BOOST_TEST(order.workers.size() == 6U);
    const auto hasRoom = [&](const std::string &id) {
        return freeCapacity(cell.workers.at(id)).cpuMilli >= 4'000;
    };
    BOOST_TEST(std::count_if(order.workers.begin(), order.workers.end(), hasRoom) == 2);
}

BOOST_FIXTURE_TEST_CASE(concurrent_calls_ask_about_different_workers, advised_fixture)
{
    addWorkers(9);
    std::set<std::string> asked;
    std::size_t askedInAll = 0;
    for (const char *job : {"a", "b", "c"}) {
        submit(job, makeStep(2, 4'000));
        advice_order order = decide().advice.at(0);
        BOOST_REQUIRE(prepareAdvice(cell, order, now));
        asked.insert(order.workers.begin(), order.workers.end());
        askedInAll += order.workers.size();
    }
    BOOST_TEST(asked.size() == askedInAll);
}

BOOST_FIXTURE_TEST_CASE(claims_of_a_call_end_with_its_answer_or_failure, advised_fixture)
{
    for (const bool answered : {true, false}) {
        const std::string id = answered ? "answered" : "failed";
        submit(id, makeStep(2, 4'000));
        advice_order order = decide().advice.at(0);
        BOOST_REQUIRE(prepareAdvice(cell, order, now));
        BOOST_TEST(cell.workers.at(order.workers[0]).expectedDemand.cpuMilli > 0);
        if (answered) {
            cell::onAdvice(cell, order, {}, policy.advice.valid, now);
        } else {
            cell::onAdviceFailed(cell, order, now);
        }
        for (const auto &[worker, state] : cell.workers) {
            BOOST_TEST_CONTEXT(id << " " << worker)
            {
                BOOST_TEST(state.expectedDemand.cpuMilli == 0);
            }
        }
        orders ignored;
        cell::cancelJob(cell, id, now, ignored);
    }
}

BOOST_FIXTURE_TEST_CASE(call_of_a_step_without_workers_to_ask_is_dropped, advised_fixture)
{
    submit("a", makeStep(1, 8'000));
    advice_order queued = decide().advice.at(0);
    policy.needsAdvice = false;
    BOOST_REQUIRE(run(makeJob("other", {makeStep(3, 8'000)})).starts.size() == 3U);
    BOOST_TEST(!prepareAdvice(cell, queued, now));
    BOOST_TEST(cell.queuedShortCalls == 0U);
    BOOST_TEST(!findJob(cell, "a")->occurrences.at(0).steps[0].advicePending);
}

// Load: as many gangs as fill the workers wait for tickets. Each held its capacity, so that a third
// of the workers was idle while other work waited.
BOOST_FIXTURE_TEST_CASE(short_idle_capacity_held_for_many_gangs, advised_fixture)
{
    addWorkers(21);
    constexpr int gangs = 24;
    for (int number = 0; number < gangs; ++number) {
        submit("gang-" + std::to_string(number), makeGang(2, 4'000));
    }
    for (advice_order &order : decide().advice) {
        BOOST_REQUIRE(prepareAdvice(cell, order, now));
        allow(order);
    }
    now += policy.advice.valid; // the workers are known, the tickets have expired
    decide();
    policy.needsAdvice = false;
    policy.priority = 1;
    // An eighth of 192 processors may be held, and what the last gang within it needs.
    constexpr int held = 24 + 8;
    const auto starts = run(makeJob("other", {makeStep(24 * 8, 1'000)})).starts;
    BOOST_TEST(starts.size() >= static_cast<std::size_t>(24 * 8 - held));
}

BOOST_FIXTURE_TEST_CASE(gang_with_time_left_preempts_nothing, advised_fixture)
{
    policy.needsAdvice = false;
    policy.priority = 2;
    step_spec batch = makeStep(3, 6'000);
    batch.checkpointing = true;
    for (const start_order &start : run(makeJob("batch", {batch})).starts) {
        confirm(start);
    }
    policy.priority = 1;
    policy.latencyTarget = 10 * second;
    BOOST_TEST(run(makeJob("gang", {makeGang(3, 4'000)})).stops.empty());
    // Objective after 12 s: 1 s of work, twice, and the latency target.
    now += 10 * second + 600 * millisecond;
    BOOST_TEST(!decide().stops.empty());
}

// Load: thousands of steps wait. A round that planned all of them blocked the scheduler for 0.4 s
// at a time, so that it started less the more there was to start.
BOOST_FIXTURE_TEST_CASE(lost_round_that_plans_every_waiting_step, advised_fixture)
{
    policy.needsAdvice = false;
    constexpr int jobs = 2'000;
    run(makeJob("filler", {makeStep(12, 2'000)}));
    for (int number = 0; number < jobs; ++number) {
        cell::acceptJob(cell, makeJob("job-" + std::to_string(number), {makeGang(5, 2'000)}),
                        policy, now);
    }
    store();
    const std::uint64_t before = cell.counters.plannedSteps;
    decide();
    BOOST_TEST(cell.counters.plannedSteps - before <= 100U);
}

// All steps are tried in the end, though the most urgent ones cannot be placed.
BOOST_FIXTURE_TEST_CASE(limited_rounds_reach_steps_behind_those_that_do_not_fit, advised_fixture)
{
    policy.needsAdvice = false;
    step_spec unplaceable = makeStep(1, 1'000);
    unplaceable.requiredLabel = "missing";
    for (int number = 0; number < 300; ++number) {
        cell::acceptJob(cell, makeJob("urgent-" + std::to_string(number), {unplaceable}), policy,
                        now);
    }
    policy.latencyTarget = 120 * second;
    cell::acceptJob(cell, makeJob("other", {makeStep(1, 1'000)}), policy, now);
    store();
    bool started = false;
    for (int round = 0; round < 10 && !started; ++round) {
        started = !decide().starts.empty();
        now += 10 * millisecond;
    }
    BOOST_TEST(started);
}
