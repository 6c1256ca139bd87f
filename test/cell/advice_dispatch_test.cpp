#define BOOST_TEST_MODULE advice_dispatch
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "entry/entry.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;

namespace {

/// A scheduler among other entries that never answer.
struct dispatch_fixture
{
    dispatch_fixture()
        : entry(loop, makeSettings())
    {
        entry.role = entry_role::scheduler;
        entry.leaderState = std::make_unique<leader_state>();
        for (int number = 0; number < 30; ++number) {
            addWorker("worker-" + std::to_string(number));
        }
        entry.ports.advice = [this](const cell::advice_order &order, timestamp,
                                    const std::function<void(advice_result)> &) {
            ownCalls.push_back(order.step.job);
        };
    }

    static cell_settings makeSettings()
    {
        cell_settings settings;
        settings.name = "entry-00";
        settings.peerAddress = "127.0.0.1:1";
        settings.logLinesPerSecond = 0;
        return settings;
    }

    /// Adds a worker without runs that may take tasks.
    void addWorker(const std::string &id)
    {
        cell::worker_state &worker = entry.leaderState->cell.workers[id];
        worker.entry.id = id;
        worker.entry.capacity = {1'000'000, 1'000'000, 0};
        worker.recorded = true;
        worker.life.fenced = true;
        worker.life.clock = 1;
        worker.headroomOfUrgent = worker.entry.capacity;
        worker.headroomOfOthers = worker.entry.capacity;
    }

    /// Adds entries until there are `count`.
    void addMembers(int count)
    {
        for (int number = 1; number < count; ++number) {
            entry.members["entry-" + std::to_string(number / 10) + std::to_string(number % 10)] =
                "127.0.0.1:1";
        }
    }

    /// Adds the job `id` and returns a call about its first step.
    cell::advice_order makeOrder(const std::string &id, bool longCall, int priority)
    {
        cell::job_spec spec;
        spec.id = id;
        spec.steps.emplace_back();
        cell::queue_policy policy;
        policy.needsAdvice = true;
        policy.latencyTarget = 60 * second;
        cell::acceptJob(entry.leaderState->cell, spec, policy, steadyNow());
        cell::advice_order order;
        order.step.job = id;
        order.longCall = longCall;
        order.priority = priority;
        for (int worker = 0; worker < 30; ++worker) {
            order.workers.push_back("worker-" + std::to_string(worker));
        }
        return order;
    }

    /// Queues `count` calls of each kind in one decision.
    void queue(int count)
    {
        cell::orders orders;
        for (int number = 0; number < count; ++number) {
            orders.advice.push_back(makeOrder("long-" + std::to_string(number), true, 0));
            orders.advice.push_back(makeOrder("short-" + std::to_string(number), false, 0));
        }
        runOrders(entry, orders);
    }

    int callsInFlight(const std::string &member)
    {
        return entry.leaderState->adviceClients[member].inFlight;
    }

    boost::asio::io_context loop;
    entry_state entry;
    std::vector<std::string> ownCalls;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(each_kind_of_call_has_its_own_entries_and_limit, dispatch_fixture)
{
    addMembers(4);
    queue(20);
    BOOST_TEST(callsInFlight("entry-00") == 1);
    BOOST_TEST(callsInFlight("entry-01") == 1);
    BOOST_TEST(callsInFlight("entry-02") == 1);
    BOOST_TEST(callsInFlight("entry-03") == 2);
}

BOOST_FIXTURE_TEST_CASE(queued_calls_are_sent_by_priority_and_not_for_ended_jobs, dispatch_fixture)
{
    cell::orders orders;
    orders.advice.push_back(makeOrder("first", false, 1));
    orders.advice.push_back(makeOrder("second", false, 1));
    runOrders(entry, orders);
    orders.advice = {makeOrder("third", false, 1), makeOrder("ended", false, 0),
                     makeOrder("urgent", false, 0)};
    runOrders(entry, orders);
    cell::orders ignored;
    cell::cancelJob(entry.leaderState->cell, "ended", steadyNow(), ignored);
    BOOST_TEST((ownCalls == std::vector<std::string> {"first", "second"}));
    entry.leaderState->adviceClients["entry-00"].inFlight = 1;
    dispatchAdvice(entry);
    BOOST_TEST((ownCalls == std::vector<std::string> {"first", "second", "urgent"}));
    entry.leaderState->adviceClients["entry-00"].inFlight = 1;
    dispatchAdvice(entry);
    BOOST_TEST(ownCalls.back() == "third");
}

// Guards against a decision that blocks the event loop of a new scheduler for seconds: each call
// queued after a takeover passed over the whole queue (incident csuc-grown-inc1).
BOOST_FIXTURE_TEST_CASE(thousands_of_calls_are_queued_without_delay, dispatch_fixture)
{
    addMembers(37);
    const timestamp startedAt = steadyNow();
    queue(2'000);
    BOOST_TEST((steadyNow() - startedAt) / millisecond < 1'000);
}
