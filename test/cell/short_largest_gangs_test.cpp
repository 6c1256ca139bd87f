#define BOOST_TEST_MODULE short_largest_gangs
#include <boost/test/included/unit_test.hpp>

#include "testing/cell/load_presets.h"

using namespace bramleygrade;
using namespace bramleygrade::testing;

// Issue 38: the largest jobs of a queue of gangs were served less than half as often as all.
BOOST_AUTO_TEST_CASE(short_largest_gangs_served_less_than_half_as_often)
{
    // By the users' rules each size is served at least half as often as the whole class, and the
    // class earns its floor on days of this load.
    constexpr double leastServedRatio = 0.5;
    constexpr double classFloor = 0.38;
    for (const std::uint64_t seed : {2, 5, 6, 8}) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            const load_outcome outcome = simulateLoad(makeWideStepsAtPeak(), seed);
            const outcome_by_size gangs = sortBySize(outcome, 0);
            BOOST_TEST(gangs.largestTenth.served >= leastServedRatio * gangs.all.served);
            BOOST_TEST(gangs.nextFifth.served >= leastServedRatio * gangs.all.served);
            BOOST_TEST(gangs.all.earned >= classFloor);
            BOOST_TEST_MESSAGE("seed " << seed << ": gangs served: largest tenth "
                                       << gangs.largestTenth.served << ", next fifth "
                                       << gangs.nextFifth.served << ", all " << gangs.all.served
                                       << ", earned " << gangs.all.earned);
        }
    }
}
