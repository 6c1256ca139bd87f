#define BOOST_TEST_MODULE run_times
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

#include "cell/workers/run_times.h"
#include "cell_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using bramleygrade::testing::cell_fixture;

namespace {

/// Steps that declared and took these times alternately, and what is expected of a new one.
struct run_time_case
{
    const char *name;
    microseconds declared[2];
    microseconds observed[2];
    microseconds newDeclared;
    microseconds expected;
};

const run_time_case runTimeCases[] = {
    {"declared times are exact",
     {second, 4 * second},
     {second, 4 * second},
     2 * second,
     2 * second},
    {"declared times are half of the true ones",
     {second, 4 * second},
     {2 * second, 8 * second},
     3 * second,
     6 * second},
    {"all runs are alike and declared times are far off",
     {100 * millisecond, 10 * second},
     {3 * second, 3 * second},
     20 * second,
     3 * second},
};

std::ostream &operator<<(std::ostream &out, const run_time_case &given)
{
    return out << given.name;
}

} // namespace

BOOST_DATA_TEST_CASE(expectation_weighs_declared_and_observed_times,
                     boost::unit_test::data::make(runTimeCases), given)
{
    run_time_record record;
    for (int step = 0; step < 200; ++step) {
        recordRunTime(record, given.declared[step % 2], given.observed[step % 2],
                      given.observed[step % 2]);
    }
    const microseconds expected = expectRunTime(record, given.newDeclared);
    BOOST_TEST(static_cast<double>(expected) == static_cast<double>(given.expected),
               boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(declared_time_is_used_while_few_steps_have_completed)
{
    run_time_record record;
    for (int step = 0; step < 5; ++step) {
        recordRunTime(record, second, 5 * second, 5 * second);
    }
    BOOST_TEST(expectRunTime(record, 2 * second) == 2 * second);
}

BOOST_AUTO_TEST_CASE(times_that_are_not_positive_are_ignored)
{
    run_time_record record;
    for (int step = 0; step < 20; ++step) {
        recordRunTime(record, 0, second, second);
        recordRunTime(record, second, 0, second);
        recordRunTime(record, second, second, 0);
    }
    BOOST_TEST(record.steps == 0);
    BOOST_TEST(expectRunTime(record, 0) == 0);
}

namespace {

/// Workers that take two thirds, once and 1.5 times the declared time of a step of one second.
struct speeds_fixture : cell_fixture
{
    speeds_fixture() { step.maxPerWorker = 1; }

    /// Runs a job with one task of the step on each worker. The members of a gang take as long as
    /// the slowest one.
    void completeJob(const std::string &id)
    {
        const auto starts = run(makeJob(id, {step})).starts;
        BOOST_REQUIRE(starts.size() == 3U);
        const timestamp startedAt = now;
        ++sequence;
        for (const start_order &start : starts) {
            confirm(start);
        }
        for (const char *worker : {"worker-3", "worker-2", "worker-1"}) {
            const auto start =
                std::find_if(starts.begin(), starts.end(),
                             [&](const start_order &order) { return order.worker == worker; });
            BOOST_REQUIRE((start != starts.end()));
            now = startedAt + runTimes.at(step.gang ? "worker-1" : worker);
            end(worker, sequence, start->task, start->attempt, end_kind::done);
        }
        store();
    }

    /// Checks the objective of a new job: twice the second that the step takes on a worker of mean
    /// speed, and the latency target.
    void checkObjective()
    {
        run(makeJob("newest", {step}));
        const job_state &newest = cell.jobs.at("newest");
        BOOST_TEST(static_cast<double>(newest.objectiveAt - newest.receivedAt)
                       == static_cast<double>(3 * second),
                   boost::test_tools::tolerance(0.05));
    }

    const std::map<std::string, microseconds> runTimes {
        {"worker-1", 1'500 * millisecond}, {"worker-2", second}, {"worker-3", 666'667}};
    step_spec step = makeStep(3, 1'000);
    std::int64_t sequence = 0;
};

} // namespace

// Load: workers of different speeds. Gangs take as long as their slowest worker; their objectives
// counted that time, so that they were expected on time, and had nothing preempted, until too late.
BOOST_FIXTURE_TEST_CASE(short_objective_that_counts_run_times_of_slow_workers, speeds_fixture)
{
    for (int number = 0; number < 300; ++number) {
        completeJob("job-" + std::to_string(number));
    }
    checkObjective();
}

BOOST_FIXTURE_TEST_CASE(short_objective_of_gangs_that_counts_their_slowest_worker, speeds_fixture)
{
    for (int number = 0; number < 300; ++number) {
        step.gang = number >= 50; // gangs say nothing about the speed of single workers
        completeJob("job-" + std::to_string(number));
    }
    checkObjective();
}
