#define BOOST_TEST_MODULE client_limits
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "entry/client_limits.h"

using namespace bramleygrade;

namespace {

constexpr std::size_t mebibyte = 1U << 20U;

struct budget_case
{
    const char *name;
    std::size_t limit;
    std::size_t used;
    std::size_t asked;
    bool given;
};

std::ostream &operator<<(std::ostream &out, const budget_case &given)
{
    return out << given.name;
}

const budget_case budgets[] = {
    {"without a limit", SIZE_MAX, 5, 10, true},
    {"up to the limit", 100, 40, 60, true},
    {"one byte more", 100, 40, 61, false},
    {"nothing, at the limit", 100, 100, 0, true},
    {"anything, over a limit that was lowered", 100, 200, 1, false},
    {"more than all numbers", SIZE_MAX, 5, SIZE_MAX, false},
};

struct process
{
    std::int64_t memoryLimitMb;
    std::size_t descriptors;
};

std::ostream &operator<<(std::ostream &out, const process &given)
{
    return out << given.memoryLimitMb << " MB, " << given.descriptors << " descriptors";
}

const process processes[] = {{32, 150},    {64, 150},       {260, 150},
                             {260, 3'000}, {260, SIZE_MAX}, {4'000, 9'000}};

} // namespace

// Guards against a reservation over the limit, or one that is refused and yet counted.
BOOST_DATA_TEST_CASE(reservations_stay_under_the_limit, boost::unit_test::data::make(budgets),
                     given)
{
    net::receive_budget budget {given.limit, given.used, 0};
    BOOST_TEST(reserve(budget, given.asked) == given.given);
    BOOST_TEST(budget.used == given.used + (given.given ? given.asked : 0));
    BOOST_TEST(budget.refused == (given.given ? 0U : 1U));
    release(budget, given.given ? given.asked : 0);
    BOOST_TEST(budget.used == given.used);
}

// Guards against ports that together take the memory or the descriptors of the process, and leave
// nothing to its own calls.
BOOST_DATA_TEST_CASE(ports_leave_room_for_the_process, boost::unit_test::data::make(processes),
                     given)
{
    const entry::client_limits limits =
        entry::limitsOfClients(given.memoryLimitMb, given.descriptors);
    const std::size_t memory = static_cast<std::size_t>(given.memoryLimitMb) * mebibyte;
    std::size_t heldBytes = 0;
    std::size_t connections = 0;
    for (const net::server_limits *const port :
         {&limits.callers, &limits.readiness, &limits.peers, &limits.metrics}) {
        heldBytes += port->maxHeldBytes;
        connections += port->maxConnections;
        BOOST_TEST(port->maxConnections >= 8U);
        BOOST_TEST(port->maxHeldBytes >= 4 * (port->maxHeaderBytes + 4'096));
    }
    BOOST_TEST(limits.receivedBytes <= memory / 3);
    BOOST_TEST(heldBytes + memory / 32 <= limits.receivedBytes);
    BOOST_TEST(connections <= given.descriptors);
}

// Guards against limits that clients inside those of the users' pages meet.
BOOST_AUTO_TEST_CASE(defaults_admit_the_largest_requests_many_times)
{
    const entry::client_limits limits = entry::limitsOfClients(260, 3'000);
    constexpr std::size_t largestRequest = 262'144 + 16'384;
    BOOST_TEST(limits.callers.maxHeldBytes >= 100 * largestRequest);
    BOOST_TEST(limits.peers.maxHeldBytes >= limits.peers.maxBodyBytes + largestRequest);
    BOOST_TEST(limits.callers.maxConnections >= 1'000U);
    BOOST_TEST(limits.peers.maxConnections >= 1'000U);
}
