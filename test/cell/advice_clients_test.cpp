#define BOOST_TEST_MODULE advice_clients
#include <boost/test/unit_test.hpp>

#include <numeric>

#include "cell/advice/advice_clients.h"

using namespace bramleygrade::cell;

namespace {

/// Makes calls of one kind until no client is free, and returns the open calls of each client.
std::vector<int> fillClients(std::size_t count, bool longCalls)
{
    std::vector<advice_client_load> clients(count);
    while (const auto chosen = chooseAdviceClient(clients, longCalls)) {
        ++clients[*chosen].openCalls;
    }
    std::vector<int> open;
    open.reserve(count);
    for (const advice_client_load &client : clients) {
        open.push_back(client.openCalls);
    }
    return open;
}

advice_order makeOrder(const char *queue, bool late, bool holdsCapacity)
{
    advice_order order;
    order.queue = queue;
    order.late = late;
    order.holdsCapacity = holdsCapacity;
    return order;
}

advice_order makeOrder(const char *queue, int queuePriority, const char *job,
                       bramleygrade::timestamp waitsSince)
{
    advice_order order = makeOrder(queue, false, false);
    order.queuePriority = queuePriority;
    order.step.job = job;
    order.waitsSince = waitsSince;
    return order;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_sixth_of_the_clients_is_kept_for_short_calls)
{
    struct row
    {
        std::size_t clients;
        int longCalls;
        int shortCalls;
    };
    const row rows[] = {
        {0, 0, 0}, {1, 1, 2}, {2, 1, 3}, {6, 5, 7}, {7, 5, 9}, {37, 30, 44},
    };
    for (const row &row : rows) {
        BOOST_TEST_CONTEXT(row.clients << " clients")
        {
            const std::vector<int> longCalls = fillClients(row.clients, true);
            const std::vector<int> shortCalls = fillClients(row.clients, false);
            BOOST_TEST(std::accumulate(longCalls.begin(), longCalls.end(), 0) == row.longCalls);
            BOOST_TEST(std::accumulate(shortCalls.begin(), shortCalls.end(), 0) == row.shortCalls);
        }
    }
}

BOOST_AUTO_TEST_CASE(no_short_call_waits_for_a_long_one)
{
    std::vector<advice_client_load> clients(7);
    while (const auto chosen = chooseAdviceClient(clients, true)) {
        ++clients[*chosen].openCalls;
    }
    const auto chosen = chooseAdviceClient(clients, false);
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(clients[*chosen].openCalls == 0);
}

BOOST_AUTO_TEST_CASE(a_client_in_backoff_makes_no_call)
{
    BOOST_TEST(!chooseAdviceClient({{0, true}, {0, true}}, false).has_value());
    BOOST_TEST((chooseAdviceClient({{0, true}, {0, false}}, false) == std::size_t {1}));
}

// Issue 38: wide gangs need several calls, and each waited behind the calls of all later jobs.
BOOST_AUTO_TEST_CASE(short_job_that_needs_several_calls_waits_for_its_turn_only_once)
{
    advice_queue waiting;
    waiting.emplace(1, makeOrder("gangs", 1, "later", 20));
    waiting.emplace(1, makeOrder("gangs", 1, "latest", 30));
    waiting.emplace(1, makeOrder("gangs", 1, "second call of the first", 10));
    std::vector<std::string> made;
    while (!waiting.empty()) {
        const auto next = findNextAdvice(waiting, {});
        made.push_back(next->second.step.job);
        waiting.erase(next);
    }
    const std::vector<std::string> expected = {"second call of the first", "later", "latest"};
    BOOST_TEST(made == expected, boost::test_tools::per_element());
}

// Issue 38: the queue of lower priority took as many clients as the more urgent one.
BOOST_AUTO_TEST_CASE(a_job_queue_gets_twice_the_clients_of_the_next_lower_priority)
{
    constexpr int clients = 30;
    std::map<std::string, int> open;
    for (int call = 0; call < clients; ++call) {
        advice_queue waiting;
        waiting.emplace(2, makeOrder("batches", 2, "b", 0));
        waiting.emplace(1, makeOrder("gangs", 1, "a", 10));
        ++open[findNextAdvice(waiting, open)->second.queue];
    }
    BOOST_TEST(open["gangs"] == 20);
    BOOST_TEST(open["batches"] == 10);
}

// Issue 19: the calls of one queue occupied all clients, and another queue made none for 24 s.
BOOST_AUTO_TEST_CASE(the_job_queue_with_the_fewest_open_calls_goes_first)
{
    struct row
    {
        const char *name;
        std::vector<std::pair<int, advice_order>> waiting;
        std::map<std::string, int> openCalls;
        const char *next;
    };
    const row rows[] = {
        {"priority",
         {{2, makeOrder("b", false, false)}, {1, makeOrder("a", false, false)}},
         {},
         "a"},
        {"fewest open calls before priority",
         {{2, makeOrder("b", false, false)}, {1, makeOrder("a", false, false)}},
         {{"a", 2}, {"b", 1}},
         "b"},
        {"held capacity before fewest open calls",
         {{2, makeOrder("b", false, false)}, {1, makeOrder("a", false, true)}},
         {{"a", 2}, {"b", 1}},
         "a"},
        {"on time before late",
         {{1'002, makeOrder("b", true, true)}, {1, makeOrder("a", false, false)}},
         {{"a", 2}},
         "a"},
    };
    for (const row &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            advice_queue waiting(row.waiting.begin(), row.waiting.end());
            BOOST_TEST(findNextAdvice(waiting, row.openCalls)->second.queue == row.next);
        }
    }
}
