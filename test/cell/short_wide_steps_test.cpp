#define BOOST_TEST_MODULE short_wide_steps
#include <boost/test/unit_test.hpp>

#include "testing/cell/load_presets.h"

using namespace bramleygrade;
using bramleygrade::testing::earnedShare;
using bramleygrade::testing::load_class_outcome;
using bramleygrade::testing::load_outcome;
using bramleygrade::testing::load_settings;
using bramleygrade::testing::makeWideSteps;

// Issue 19: wide gangs were served late and work was thrown away.
BOOST_AUTO_TEST_CASE(wide_steps_earn_the_floor)
{
    // Floors of the deployment's calm day: the whole load and its worst class.
    constexpr double totalFloor = 0.456;
    constexpr double classFloor = 0.42;
    const load_settings settings = makeWideSteps();
    for (const std::uint64_t seed : {1, 2}) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            const load_outcome outcome = bramleygrade::testing::simulateLoad(settings, seed);
            load_class_outcome total;
            for (std::size_t index = 0; index < settings.classes.size(); ++index) {
                const load_class_outcome &served = outcome.classes[index];
                const std::string &name = settings.classes[index].policy.name;
                BOOST_TEST_MESSAGE(
                    name << ": jobs " << served.jobs << ", on time " << served.completedOnTime
                         << ", late " << served.completedLate << ", earned " << earnedShare(served)
                         << ", core-seconds wasted " << served.wastedCoreSeconds);
                BOOST_TEST_CONTEXT(name)
                {
                    BOOST_TEST(earnedShare(served) >= classFloor);
                }
                total.worthOwed += served.worthOwed;
                total.worthEarned += served.worthEarned;
            }
            BOOST_TEST_MESSAGE("total: earned "
                               << earnedShare(total) << ", workers used " << outcome.meanUsedShare
                               << ", preempted runs " << outcome.counters.preemptedRuns
                               << ", refused tickets " << outcome.refusedTickets
                               << ", advice calls " << outcome.counters.adviceCalls);
            BOOST_TEST(earnedShare(total) >= totalFloor);
        }
    }
}
