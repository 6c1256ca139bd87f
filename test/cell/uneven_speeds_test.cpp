#define BOOST_TEST_MODULE uneven_speeds
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "testing/cell/load_presets.h"

using namespace bramleygrade;
using bramleygrade::testing::earnedShare;
using bramleygrade::testing::load_outcome;
using bramleygrade::testing::load_settings;
using bramleygrade::testing::simulateLoad;
using bramleygrade::testing::sumOutcomes;

namespace {

/// Deployments whose workers are alike within what docs/HARD-LOAD.md lists for other deployments.
struct like_case
{
    const char *name;
    load_settings (*make)();
    std::vector<double> speeds;
    std::vector<std::string> kinds;
};

load_settings makeUnevenLoad()
{
    return bramleygrade::testing::makeUnevenSpeeds();
}

const like_case likeCases[] = {
    {"wide gangs, spread 0.18", bramleygrade::testing::makeWideSteps, {0.8, 1.0, 1.25}, {}},
    {"large cell, spread 0.12", bramleygrade::testing::makeLargeCell, {1.0, 1.0, 1.3}, {}},
    {"the load of uneven workers on like ones", makeUnevenLoad, {0.8, 1.0, 1.25}, {"a", "b", "c"}},
};

std::ostream &operator<<(std::ostream &out, const like_case &given)
{
    return out << given.name;
}

struct two_ways
{
    load_outcome with;
    load_outcome without;
};

two_ways simulateBothWays(load_settings settings, std::uint64_t seed)
{
    two_ways outcomes;
    settings.workerSpeeds = true;
    outcomes.with = simulateLoad(settings, seed);
    settings.workerSpeeds = false;
    outcomes.without = simulateLoad(settings, seed);
    return outcomes;
}

} // namespace

// Guards against any decision that differs from before where workers are of like speed: the hash
// covers every start, stop and advice call with its time.
BOOST_DATA_TEST_CASE(like_workers_are_served_as_before, boost::unit_test::data::make(likeCases),
                     given)
{
    load_settings settings = given.make();
    settings.speeds = given.speeds;
    settings.kinds = given.kinds;
    const two_ways outcomes = simulateBothWays(settings, 1);
    BOOST_TEST(!outcomes.with.speedsUsed);
    BOOST_TEST(outcomes.with.ordersHash == outcomes.without.ordersHash);
    BOOST_TEST(outcomes.with.counters.starts > 10'000U);
}

// Guards against preemption that throws away more than it gains on workers of uneven speed, and
// against paying for less of it with the results of some class. The bounds are those of
// docs/HARD-LOAD.md: the work thrown away is halved, and no run's work is thrown away twice within
// a short time.
BOOST_DATA_TEST_CASE(uneven_workers_throw_away_half_of_the_work,
                     boost::unit_test::data::xrange(1, 4), seed)
{
    const load_settings settings = makeUnevenLoad();
    const two_ways outcomes = simulateBothWays(settings, static_cast<std::uint64_t>(seed));
    BOOST_TEST(outcomes.with.speedsUsed);
    const double lostWith = sumOutcomes(outcomes.with).preemptedCoreSeconds;
    const double lostWithout = sumOutcomes(outcomes.without).preemptedCoreSeconds;
    BOOST_TEST(lostWith <= lostWithout / 2);
    BOOST_TEST(outcomes.with.repeatedPreemptions == 0);
    for (std::size_t index = 0; index < settings.classes.size(); ++index) {
        BOOST_TEST_CONTEXT(settings.classes[index].policy.name)
        {
            BOOST_TEST(earnedShare(outcomes.with.classes[index])
                       >= earnedShare(outcomes.without.classes[index]));
        }
    }
}
