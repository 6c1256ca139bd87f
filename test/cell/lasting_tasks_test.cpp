#define BOOST_TEST_MODULE lasting_tasks
#include <boost/test/unit_test.hpp>

#include "driven_cell.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using bramleygrade::testing::driven_cell;

namespace {

/// Longest time that a task that lasts may not run, by the users' rules.
constexpr microseconds maxPause = 9 * second;
constexpr microseconds stepTime = 20 * millisecond;
constexpr microseconds loadInterval = 500 * millisecond;

struct load_case
{
    const char *name;
    int lastingPriority;
    int loadPriority;
    std::int64_t lastingCpu;
};

const load_case loadCases[] = {
    {"load of a lower priority", 0, 2, 8'000},
    {"load of the same priority", 1, 1, 8'000},
    {"a small lasting task", 0, 2, 1'000},
};

/// Three workers of eight processors, a lasting task whose first run fails, and more work than the
/// workers can do, which is on time when it arrives.
struct loaded_fixture : driven_cell
{
    explicit loaded_fixture(const load_case &given)
        : load(given)
    {
        step_spec lasting = makeStep(1, given.lastingCpu);
        lasting.longRunning = true;
        policy.priority = given.lastingPriority;
        submit(makeJob("lasting", {lasting}), 0);
        record.behaviour[task] = {10 * second, 1};
        policy.priority = given.loadPriority;
        policy.latencyTarget = 3 * second;
        runFor(second);
    }

    /// Returns the longest time that the lasting task did not run.
    microseconds runUnderLoad(microseconds length)
    {
        microseconds longest = 0;
        timestamp ranAt = now;
        timestamp nextJobAt = now;
        for (const timestamp end = now + length; now < end;) {
            if (now >= nextJobAt) {
                nextJobAt += loadInterval;
                submit(makeJob("load-" + std::to_string(++jobs), {makeStep(1, 8'000)}), 2 * second);
            }
            runFor(stepTime);
            ranAt = record.runningOn[task].empty() ? ranAt : now;
            longest = std::max(longest, now - ranAt);
        }
        return longest;
    }

    load_case load;
    task_id task {"lasting", 0, 0, 0};
    int jobs = 0;
};

} // namespace

// Guards against a task that lasts and fails under load: it counted as late for good, so that all
// work that was on time went first, whatever its priority, and it did not run again.
BOOST_AUTO_TEST_CASE(lost_lasting_tasks_that_fail_under_load_start_after_all_work_on_time)
{
    for (const load_case &given : loadCases) {
        BOOST_TEST_CONTEXT(given.name)
        {
            loaded_fixture fixture(given);
            BOOST_REQUIRE(fixture.record.runCount[fixture.task] == 1);
            BOOST_TEST(fixture.runUnderLoad(30 * second) <= maxPause);
            BOOST_TEST(fixture.record.runCount[fixture.task] >= 2);
        }
    }
}

// Work of a higher priority still goes first.
BOOST_AUTO_TEST_CASE(lasting_tasks_wait_for_work_of_a_higher_priority)
{
    loaded_fixture fixture({"load of a higher priority", 2, 0, 8'000});
    fixture.runUnderLoad(20 * second);
    BOOST_TEST(fixture.record.runCount[fixture.task] == 1);
}
