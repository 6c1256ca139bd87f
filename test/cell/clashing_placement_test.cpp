#define BOOST_TEST_MODULE clashing_placement
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <set>

#include "cell_fixture.h"
#include "testing/cell/load_presets.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using bramleygrade::testing::cell_fixture;

namespace {

/// Three workers of eight processors; image `slow` is known to clash with image `noisy`.
struct clash_fixture : cell_fixture
{
    using cell_fixture::cell_fixture;

    step_spec makeImageStep(const std::string &image, int count, std::int64_t cpu) const
    {
        step_spec step = makeStep(count, cpu);
        step.image = image;
        return step;
    }

    /// Notes the pair as the evaluation does.
    void notice(const std::string &image, const std::string &other)
    {
        interference_table &table = cell.interference;
        const int first = countStart(table, image, now).image;
        const int second = countStart(table, other, now).image;
        tracked_image &slowed = table.images[static_cast<std::size_t>(first)];
        slowed.pairs.resize(maxTrackedImages);
        slowed.pairs[static_cast<std::size_t>(second)].noticed = true;
        slowed.clashing |= imageBit(second);
        table.images[static_cast<std::size_t>(second)].clashing |= imageBit(first);
        ++table.noticedPairs;
    }

    std::vector<std::string> workersOf(const orders &out) const
    {
        std::vector<std::string> workers;
        for (const start_order &start : out.starts) {
            workers.push_back(start.worker);
        }
        return workers;
    }

    std::uint64_t separated() const { return cell.interference.separatedTasks; }
};

/// What runs already, what is submitted then, and what is expected of it.
struct placement_case
{
    const char *name;
    /// Tasks of image `noisy`, one on each worker, from the first one on.
    int noisyTasks;
    std::int64_t noisyCpu;
    const char *image;
    int count;
    std::int64_t cpu;
    bool gang;
    /// Tasks that start on a worker with image `noisy`.
    int expectedBeside;
    std::uint64_t expectedSeparated;
};

const placement_case placementCases[] = {
    {"a task goes where the other is not", 1, 2'000, "slow", 1, 2'000, false, 0, 1},
    {"an image that does not clash goes where it fits best", 1, 2'000, "quiet", 1, 2'000, false, 1,
     0},
    {"there is no other worker", 3, 2'000, "slow", 1, 2'000, false, 1, 0},
    {"there is room elsewhere for some tasks only", 1, 2'000, "slow", 6, 4'000, false, 1, 0},
    {"all room is needed", 1, 4'000, "slow", 5, 4'000, false, 1, 0},
    {"a gang goes where the other is not", 1, 2'000, "slow", 2, 6'000, true, 0, 1},
    {"a gang that fits on two other workers", 1, 1'000, "slow", 4, 3'500, true, 0, 2},
    {"a gang needs all workers", 1, 2'000, "slow", 3, 6'000, true, 1, 0},
};

std::ostream &operator<<(std::ostream &out, const placement_case &given)
{
    return out << given.name;
}

} // namespace

// Tasks are kept apart where there is room, and start at once where there is none.
BOOST_DATA_TEST_CASE(task_beside_a_clashing_one, boost::unit_test::data::make(placementCases),
                     given)
{
    clash_fixture fixture;
    step_spec noisy = fixture.makeImageStep("noisy", given.noisyTasks, given.noisyCpu);
    noisy.maxPerWorker = 1;
    std::set<std::string> noisyWorkers;
    for (const std::string &worker :
         fixture.workersOf(fixture.run(clash_fixture::makeJob("noisy", {noisy})))) {
        noisyWorkers.insert(worker);
    }
    BOOST_REQUIRE(noisyWorkers.size() == static_cast<std::size_t>(given.noisyTasks));
    fixture.notice("slow", "noisy");
    step_spec step = fixture.makeImageStep(given.image, given.count, given.cpu);
    step.gang = given.gang;
    const std::vector<std::string> workers =
        fixture.workersOf(fixture.run(clash_fixture::makeJob("job", {step})));
    const int fitting = std::min(given.count, 5); // of tasks of half a worker beside the noisy one
    BOOST_TEST(workers.size() == static_cast<std::size_t>(fitting));
    int beside = 0;
    for (const std::string &worker : workers) {
        beside += noisyWorkers.count(worker) > 0 ? 1 : 0;
    }
    BOOST_TEST(beside == given.expectedBeside);
    BOOST_TEST(fixture.separated() == given.expectedSeparated);
}

// The clash holds for both directions, whichever of the two is slowed.
BOOST_FIXTURE_TEST_CASE(noisy_task_beside_a_slowed_one, clash_fixture)
{
    notice("slow", "noisy");
    const auto first = run(makeJob("slow", {makeImageStep("slow", 1, 2'000)}));
    const auto second = run(makeJob("noisy", {makeImageStep("noisy", 1, 2'000)}));
    BOOST_REQUIRE(first.starts.size() == 1U);
    BOOST_REQUIRE(second.starts.size() == 1U);
    BOOST_TEST(first.starts[0].worker != second.starts[0].worker);
    BOOST_TEST(cell.interference.images[0].pairs[1].separated == 1U);
}

BOOST_FIXTURE_TEST_CASE(tasks_of_an_image_that_clashes_with_itself, clash_fixture)
{
    notice("selfish", "selfish");
    const auto first = workersOf(run(makeJob("a", {makeImageStep("selfish", 3, 1'000)})));
    BOOST_TEST(std::set<std::string>(first.begin(), first.end()).size() == 3U);
    const auto second = workersOf(run(makeJob("b", {makeImageStep("selfish", 9, 2'000)})));
    BOOST_TEST(second.size() == 9U);
}

// The queue's name stands in for the image.
BOOST_FIXTURE_TEST_CASE(tasks_without_an_image, clash_fixture)
{
    notice("slow", "queue");
    const auto first = run(makeJob("plain", {makeStep(1, 2'000)}));
    const auto second = run(makeJob("slow", {makeImageStep("slow", 1, 2'000)}));
    BOOST_REQUIRE(first.starts.size() == 1U);
    BOOST_REQUIRE(second.starts.size() == 1U);
    BOOST_TEST(first.starts[0].worker != second.starts[0].worker);
}

// A worker that failed recently is not preferred to one with a clashing task, and neither is one
// away from the input data.
BOOST_FIXTURE_TEST_CASE(clash_outweighs_failures_and_locality, clash_fixture)
{
    notice("slow", "noisy");
    run(makeJob("noisy", {makeImageStep("noisy", 1, 2'000)}));
    cell.workers.at("worker-2").life.failureScore = 2;
    cell.workers.at("worker-3").entry.rack = "rack-2";
    step_spec step = makeImageStep("slow", 1, 2'000);
    step.preferredRack = "rack-1";
    const auto out = run(makeJob("slow", {step}));
    BOOST_REQUIRE(out.starts.size() == 1U);
    BOOST_TEST(out.starts[0].worker == "worker-1");
}

namespace {

/// Speeds of the three workers, of which the first has image `noisy`, and where a task of image
/// `slow` is expected.
struct speed_case
{
    const char *name;
    double logRunTimes[3];
    bool longRunning;
    const char *expected;
};

const speed_case speedCases[] = {
    {"the only fast worker has a clash", {-0.4, 0.4, 0.4}, false, "worker-1"},
    {"another worker is as fast", {-0.4, 0.4, -0.4}, false, "worker-3"},
    {"the only worker that is slow has a clash", {0.4, -0.4, -0.4}, true, "worker-1"},
    {"another worker is as slow", {0.4, -0.4, 0.4}, true, "worker-3"},
};

std::ostream &operator<<(std::ostream &out, const speed_case &given)
{
    return out << given.name;
}

} // namespace

// Guards against a clash that moves a task to a worker whose speed suits it less: the speeds of
// workers come first, and clashes decide among workers of one speed only.
BOOST_DATA_TEST_CASE(clash_outweighs_the_speed_of_workers, boost::unit_test::data::make(speedCases),
                     given)
{
    clash_fixture fixture;
    fixture.cell.settings.workerSpeeds = false; // keeps the speeds that are set here
    fixture.notice("slow", "noisy");
    const auto noisy = fixture.workersOf(
        fixture.run(clash_fixture::makeJob("noisy", {fixture.makeImageStep("noisy", 1, 2'000)})));
    BOOST_REQUIRE(noisy == std::vector<std::string> {"worker-1"});
    for (int index = 0; index < 3; ++index) {
        fixture.cell.workers.at("worker-" + std::to_string(index + 1)).logRunTime =
            given.logRunTimes[index];
    }
    step_spec step = fixture.makeImageStep("slow", 1, 2'000);
    step.longRunning = given.longRunning;
    const auto workers = fixture.workersOf(fixture.run(clash_fixture::makeJob("slow", {step})));
    BOOST_TEST(workers == std::vector<std::string> {given.expected},
               boost::test_tools::per_element());
}

// What is known is lost when another scheduler takes over; runs that it adopts count as neighbours.
BOOST_AUTO_TEST_CASE(adopted_run_is_overlooked_as_a_neighbour)
{
    clash_fixture fixture;
    const auto out =
        fixture.run(clash_fixture::makeJob("noisy", {fixture.makeImageStep("noisy", 1, 2'000)}));
    BOOST_REQUIRE(out.starts.size() == 1U);
    const task_id task = out.starts[0].task;
    const std::string id = out.starts[0].worker;
    clash_fixture successor(2);
    job_state restored;
    restored.spec = fixture.cell.jobs.at("noisy").spec;
    restored.policy = successor.policy;
    restored.acceptedEpoch = 1;
    restored.stored = true;
    restoreJob(successor.cell, restored, successor.now);
    cell::worker_report report;
    report.running.push_back({task, out.starts[0].attempt, "", 0});
    successor.report(id, report);
    BOOST_TEST(successor.cell.workers.at(id).images.present == imageBit(0));
    cell::worker_report ended;
    ended.ended.push_back({1, task, out.starts[0].attempt, end_kind::done, ""});
    successor.report(id, ended);
    BOOST_TEST(successor.cell.workers.at(id).images.present == 0U);
    BOOST_TEST(successor.cell.interference.images[0].evidence.jobs == 0);
}

// Runs of a worker that is lost are no neighbours any more.
BOOST_FIXTURE_TEST_CASE(neighbour_on_a_worker_that_lost_its_runs, clash_fixture)
{
    const auto out = run(makeJob("noisy", {makeImageStep("noisy", 1, 2'000)}));
    worker_state &worker = cell.workers.at(out.starts[0].worker);
    BOOST_TEST(worker.images.present == imageBit(0));
    orders released;
    releaseAllRuns(cell, worker, now, released);
    BOOST_TEST(worker.images.present == 0U);
    BOOST_TEST(worker.images.runs.empty());
}

BOOST_FIXTURE_TEST_CASE(setting_is_ignored, clash_fixture)
{
    cell.settings.separateClashingTasks = false;
    notice("slow", "noisy");
    const auto first = run(makeJob("noisy", {makeImageStep("noisy", 1, 2'000)}));
    const auto second = run(makeJob("slow", {makeImageStep("slow", 1, 2'000)}));
    BOOST_TEST(first.starts[0].worker == second.starts[0].worker);
    BOOST_TEST(cell.workers.at("worker-1").images.runs.empty());
}

namespace {

/// Forty workers with two queues of short tasks, of which the first is slowed by the second.
testing::load_settings makeClashingLoad(double factor, double rate, microseconds length)
{
    testing::load_settings settings;
    settings.workers = 40;
    settings.workersPerRack = 10;
    settings.capacity = {16'000, 65'536, 0};
    settings.speeds = {0.9, 1.0, 1.1};
    settings.entries = 4;
    settings.length = length;
    for (const char *name : {"slowed", "noisy", "quiet"}) {
        testing::load_class jobs;
        jobs.policy.name = name;
        jobs.policy.slackFactor = 1.5;
        jobs.policy.latencyTarget = 250 * millisecond;
        jobs.policy.maxAttempts = 3;
        jobs.jobsPerSecond = rate;
        jobs.runSeconds = {1, 0.5, 4};
        jobs.tasks = {2, 0.5, 6};
        jobs.cpuMilli = {3'000, 0.4, 8'000};
        jobs.memoryMb = {2'000, 0.4, 8'000};
        jobs.unevenness = 0.3;
        jobs.estimateError = 0.3;
        jobs.failingShare = 0.01;
        settings.classes.push_back(jobs);
    }
    if (factor > 1) {
        settings.clashes = {{0, 1, factor}};
    }
    return settings;
}

} // namespace

// Without clashes the setting changes nothing: all orders of the same history are equal.
BOOST_AUTO_TEST_CASE(orders_differ_without_clashes)
{
    std::vector<testing::load_settings> histories {makeClashingLoad(1, 16, 120 * second),
                                                   testing::makeWideSteps()};
    for (testing::load_settings &settings : histories) {
        settings.separateClashingTasks = true;
        const testing::load_outcome with = testing::simulateLoad(settings, 3);
        settings.separateClashingTasks = false;
        const testing::load_outcome without = testing::simulateLoad(settings, 3);
        BOOST_TEST(with.counters.starts > 1'000U);
        BOOST_TEST(with.ordersHash == without.ordersHash);
        BOOST_TEST(with.interferenceEvents.empty());
    }
}

// Load: three queues of different shapes and no clash. The placement makes what is beside a run
// depend on the load and on the order of the jobs, which must not be taken for a clash.
BOOST_AUTO_TEST_CASE(false_pair_under_load)
{
    testing::load_settings settings = makeClashingLoad(1, 16, 900 * second);
    settings.classes[0].tasks = {8, 0.8, 40};
    settings.classes[0].jobsPerSecond = 6;
    settings.classes[1].runSeconds = {3, 0.8, 15};
    settings.classes[1].estimateError = 0.9;
    settings.classes[1].jobsPerSecond = 8;
    settings.classes[2].steps = {2, 0.5, 4};
    settings.classes[2].gangShare = 0.3;
    settings.classes[2].jobsPerSecond = 10;
    settings.bursts = {{0, 100 * second, 200 * second, 1.6}, {2, 250 * second, 200 * second, 1.6}};
    for (const std::uint64_t seed : {21, 22, 23}) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            const testing::load_outcome outcome = testing::simulateLoad(settings, seed);
            BOOST_TEST_MESSAGE("starts " << outcome.counters.starts << ", used "
                                         << outcome.meanUsedShare << ", most evident "
                                         << outcome.mostEvident);
            BOOST_TEST(outcome.interferenceEvents.empty());
        }
    }
}

// Load: two queues on forty workers at half their capacity; tasks of one take twice as long beside
// the other's. The pair is noticed, and of the slowed tasks' time less is spent beside the others.
BOOST_AUTO_TEST_CASE(clash_goes_unnoticed_under_load)
{
    testing::load_settings settings = makeClashingLoad(2, 16, 240 * second);
    for (const std::uint64_t seed : {1, 2, 3}) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            settings.separateClashingTasks = true;
            const testing::load_outcome with = testing::simulateLoad(settings, seed);
            settings.separateClashingTasks = false;
            const testing::load_outcome without = testing::simulateLoad(settings, seed);
            for (const std::string &event : with.interferenceEvents) {
                BOOST_TEST_MESSAGE(event);
            }
            BOOST_TEST_MESSAGE("slowed share "
                               << with.slowedShare << " against " << without.slowedShare
                               << ", on time " << with.classes[0].completedOnTime << " against "
                               << without.classes[0].completedOnTime << " of "
                               << with.classes[0].jobs << ", used " << with.meanUsedShare
                               << " against " << without.meanUsedShare << ", separated "
                               << with.separatedTasks);
            BOOST_REQUIRE(with.interferenceEvents.size() == 1U);
            BOOST_TEST(with.interferenceEvents[0].rfind(
                           "interference_noticed image=slowed beside=noisy", 0)
                       == 0U);
            BOOST_TEST(with.separatedTasks > 0U);
            BOOST_TEST(with.slowedShare < without.slowedShare);
            BOOST_TEST(with.classes[0].completedOnTime >= without.classes[0].completedOnTime);
        }
    }
}
