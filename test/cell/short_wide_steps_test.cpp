#define BOOST_TEST_MODULE short_wide_steps
#include <boost/test/included/unit_test.hpp>

#include "testing/cell/load_simulation.h"

using namespace bramleygrade;
using bramleygrade::testing::load_class;
using bramleygrade::testing::load_class_outcome;
using bramleygrade::testing::load_outcome;
using bramleygrade::testing::load_settings;

namespace {

cell::queue_policy makePolicy(const std::string &name, int priority, int maxAttempts,
                              double slackFactor, microseconds latencyTarget,
                              const cell::advice_timing &advice)
{
    cell::queue_policy policy;
    policy.name = name;
    policy.priority = priority;
    policy.maxAttempts = maxAttempts;
    policy.slackFactor = slackFactor;
    policy.latencyTarget = latencyTarget;
    policy.needsAdvice = true;
    policy.advice = advice;
    return policy;
}

load_class makeGangs()
{
    load_class gangs;
    gangs.policy = makePolicy("gangs", 1, 4, 2.2, second, {442 * millisecond, 6'370, 2 * second});
    gangs.jobsPerSecond = 5.2;
    gangs.initialJobs = 18;
    gangs.worth = 7.29;
    gangs.lateWorth = 1.46;
    gangs.runSeconds = {4, 0.5, 10};
    gangs.steps = {1.2, 0.4, 3};
    gangs.tasks = {20, 0.8, 120};
    gangs.cpuMilli = {9'000, 0.4, 15'000};
    gangs.memoryMb = {26'000, 0.5, 51'000};
    gangs.unevenness = 0.15;
    gangs.estimateError = 0.2;
    gangs.gangShare = 1;
    gangs.checkpointingShare = 0.5;
    gangs.failingShare = 0.05;
    gangs.allowedShare = 0.3;
    return gangs;
}

load_class makeBatches()
{
    load_class batches;
    batches.policy =
        makePolicy("batches", 2, 4, 4, 3 * second, {104 * millisecond, 1'430, 2 * second});
    batches.jobsPerSecond = 10.7;
    batches.initialJobs = 25;
    batches.worth = 2.21;
    batches.lateWorth = 0.442;
    batches.runSeconds = {2.2, 0.5, 5.4};
    batches.steps = {1.5, 0.4, 3.8};
    batches.tasks = {25, 0.8, 150};
    batches.cpuMilli = {3'500, 0.45, 10'000};
    batches.memoryMb = {13'000, 0.6, 38'000};
    batches.unevenness = 0.3;
    batches.estimateError = 0.5;
    batches.checkpointingShare = 0.8;
    batches.spreadShare = 0.12;
    batches.failingShare = 0.02;
    batches.allowedShare = 0.45;
    return batches;
}

load_class makeBookings()
{
    load_class bookings;
    bookings.policy =
        makePolicy("bookings", 0, 2, 1.5, 250 * millisecond, {14'300, 208, 2 * second});
    bookings.jobsPerSecond = 77;
    bookings.worth = 0.431;
    bookings.lateWorth = 0.0862;
    bookings.runSeconds = {1, 0.5, 2.5};
    bookings.steps = {1, 0, 1};
    bookings.tasks = {3.2, 0.8, 19};
    bookings.cpuMilli = {5'000, 0.45, 15'000};
    bookings.memoryMb = {14'000, 0.6, 43'000};
    bookings.unevenness = 0.3;
    bookings.estimateError = 0.5;
    bookings.gangShare = 0.3;
    bookings.failingShare = 0.05;
    bookings.allowedShare = 0.7;
    return bookings;
}

/// Wide gangs on large workers, of which the advisory service allows few.
load_settings makeWideSteps()
{
    load_settings settings;
    settings.workers = 350;
    settings.workersPerRack = 12;
    settings.capacity = {32'000, 131'072, 0};
    settings.speeds = {0.8, 1.0, 1.25};
    settings.entries = 37;
    settings.length = 34 * second;
    settings.checkpointInterval = second;
    settings.restoreTime = 250 * millisecond;
    settings.stopTimeout = 900 * millisecond;
    settings.gangTimeout = 4 * second;
    settings.classes = {makeGangs(), makeBatches(), makeBookings()};
    settings.bursts = {{2, 6'500 * millisecond, 4 * second, 1.9},
                       {0, 22 * second, 4 * second, 1.9}};
    return settings;
}

double earnedShare(const load_class_outcome &outcome)
{
    return outcome.worthEarned / outcome.worthOwed;
}

} // namespace

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
