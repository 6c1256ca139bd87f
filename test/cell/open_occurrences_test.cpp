#define BOOST_TEST_MODULE open_occurrences
#include <boost/test/unit_test.hpp>

#include <random>

#include "cell/jobs/open_occurrences.h"
#include "driven_cell.h"
#include "entry/rows.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using bramleygrade::testing::cell_fixture;
using bramleygrade::testing::driven_cell;

namespace {

/// A job whose occurrences are all due at `due`.
job_spec makeRepeatedJob(const std::string &id, int occurrences, std::vector<step_spec> steps)
{
    job_spec spec = cell_fixture::makeJob(id, std::move(steps));
    spec.occurrences = occurrences;
    return spec;
}

step_spec makeLaterStep(int count, std::int64_t cpu)
{
    step_spec step = cell_fixture::makeStep(count, cpu);
    step.after = {0};
    return step;
}

void submitDueNow(driven_cell &driver, const job_spec &spec, microseconds duration)
{
    driver.submit(spec, duration);
    findJob(driver.cell, spec.id)->firstDueAt = driver.now;
}

std::size_t countRanges(const job_state &job)
{
    std::size_t ranges = job.completed.ranges.size();
    for (const auto &[doneSteps, parked] : job.parked) {
        ranges += parked.ranges.size();
    }
    return ranges;
}

int countDone(const driven_cell &driver, const std::string &job, int step)
{
    return static_cast<int>(
        std::count_if(driver.record.doneTasks.begin(), driver.record.doneTasks.end(),
                      [&](const task_id &task) { return task.job == job && task.step == step; }));
}

} // namespace

// Guards against the state of occurrences that cannot run yet: 100,000 of them, due at one moment,
// took more memory than the process has, and every successor's (review case 7).
BOOST_AUTO_TEST_CASE(fault_memory_of_occurrences_that_are_due_together)
{
    struct row
    {
        const char *name;
        int occurrences;
        int tasks;
        int steps;
        int jobs;
    };
    for (const row &given :
         {row {"one job of the review", 100'000, 8, 1, 1},
          row {"the most occurrences", 1'000'000, 1, 1, 1},
          row {"wide occurrences", 50'000, 400, 1, 1}, row {"many steps", 50'000, 1, 40, 1},
          row {"several jobs", 100'000, 8, 2, 20},
          row {"the widest occurrences", 1'000, 10'000, 1, 1}}) {
        BOOST_TEST_CONTEXT(given.name)
        {
            driven_cell driver;
            driver.runFor(100 * millisecond);
            for (int number = 0; number < given.jobs; ++number) {
                std::vector<step_spec> steps(static_cast<std::size_t>(given.steps),
                                             cell_fixture::makeStep(given.tasks, 500));
                submitDueNow(driver,
                             makeRepeatedJob("j" + std::to_string(number), given.occurrences,
                                             std::move(steps)),
                             second);
            }
            std::size_t mostTasks = 0;
            std::size_t mostBytes = 0;
            for (int round = 0; round < 50; ++round) {
                driver.runFor(100 * millisecond);
                std::size_t bytes = 0;
                for (const auto &[id, job] : driver.cell.jobs) {
                    mostTasks = std::max(mostTasks, countOpenTasks(job));
                    bytes += bytesOfJob(job.spec) + bytesOfFurther(job);
                }
                mostBytes = std::max(mostBytes, bytes);
            }
            const std::size_t oneOccurrence =
                static_cast<std::size_t>(given.tasks) * static_cast<std::size_t>(given.steps);
            BOOST_TEST(mostTasks <= std::max(std::size_t {2'000}, 2 * oneOccurrence));
            BOOST_TEST(mostBytes <= std::size_t {60} * 1'024 * 1'024);
            BOOST_TEST(driver.record.starts > 0U);
            BOOST_TEST(driver.record.violations.empty());
        }
    }
}

// Guards against jobs that wait behind one with very many occurrences.
BOOST_AUTO_TEST_CASE(lost_jobs_beside_one_whose_occurrences_are_due_together)
{
    driven_cell driver;
    driver.runFor(100 * millisecond);
    submitDueNow(driver, makeRepeatedJob("many", 100'000, {cell_fixture::makeStep(8, 500)}),
                 second);
    driver.runFor(second);
    for (int number = 0; number < 20; ++number) {
        const job_spec spec = cell_fixture::makeJob("small-" + std::to_string(number),
                                                    {cell_fixture::makeStep(2, 500)});
        driver.submit(spec, second);
    }
    driver.runFor(10 * second);
    for (int number = 0; number < 20; ++number) {
        BOOST_TEST(countDone(driver, "small-" + std::to_string(number), 0) == 2);
    }
    BOOST_TEST(countDone(driver, "many", 0) > 100);
}

// Every occurrence runs once, in the order of its steps, also around takeovers, whatever is open,
// parked or completed at that moment.
BOOST_AUTO_TEST_CASE(occurrences_run_once_around_takeovers)
{
    for (const unsigned seed : {1U, 2U, 3U, 4U}) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::minstd_rand random(seed);
            const int occurrences = 1'500;
            const job_spec spec = makeRepeatedJob(
                "a", occurrences,
                {cell_fixture::makeStep(2, 200), makeLaterStep(1, 200), makeLaterStep(3, 100)});
            auto driver = std::make_unique<driven_cell>();
            driver->runFor(100 * millisecond);
            submitDueNow(*driver, spec, second);
            const timestamp dueAt = driver->now;
            bool isDone = false;
            for (std::int64_t epoch = 2; !isDone && epoch < 400; ++epoch) {
                driver->runFor(static_cast<microseconds>(random() % 40 + 5) * 100 * millisecond);
                driver->store();
                const job_state *job = findJob(driver->cell, "a");
                isDone = job->finalPhase.has_value();
                if (isDone) {
                    break;
                }
                BOOST_TEST(countRanges(*job) < 600U);
                std::int64_t wall = 0;
                auto restored = entry::decodeJob("a", entry::encodeJob(*job, 0), wall);
                restored->firstDueAt = dueAt;
                if (entry::needsProgressRow(*job)) {
                    BOOST_REQUIRE(
                        entry::decodeProgress(entry::encodeProgress(*job).rows, *restored));
                }
                BOOST_TEST(restored->occurrencesCompleted == job->occurrencesCompleted);
                auto next = std::make_unique<driven_cell>(epoch);
                next->now = driver->now;
                next->cell = scheduler {};
                beginEpoch(next->cell, epoch, next->now);
                cell_config config;
                config.version = 1;
                config.queues.push_back(next->policy);
                changeConfig(next->cell, config);
                next->workers = driver->workers;
                next->record = driver->record;
                for (const worker_entry &worker : next->entries) {
                    restoreWorker(next->cell, worker, next->now);
                }
                restoreJob(next->cell, std::move(*restored), next->now);
                changeWorkers(next->cell, next->entries, next->now);
                driver = std::move(next);
            }
            BOOST_TEST(isDone);
            BOOST_TEST((findJob(driver->cell, "a")->finalPhase == cell::job_phase::completed));
            BOOST_TEST(driver->record.violations.empty());
            for (int step = 0; step < 3; ++step) {
                BOOST_TEST(countDone(*driver, "a", step)
                           == occurrences * spec.steps[static_cast<std::size_t>(step)].count);
            }
        }
    }
}

// Guards against occurrences that cannot go on and keep later ones from starting, or that all stay
// in memory.
BOOST_AUTO_TEST_CASE(lost_occurrences_behind_others_that_no_worker_can_continue)
{
    constexpr int occurrences = 3'000;
    driven_cell driver;
    driver.runFor(100 * millisecond);
    submitDueNow(driver,
                 makeRepeatedJob("a", occurrences,
                                 {cell_fixture::makeStep(1, 100), makeLaterStep(1, 9'000)}),
                 second);
    driver.runFor(60 * second);
    const job_state &job = *findJob(driver.cell, "a");
    BOOST_TEST(countDone(driver, "a", 0) == occurrences);
    BOOST_TEST(countOpenTasks(job) <= 1'100U);
    BOOST_TEST(countRanges(job) <= 20U);
    BOOST_TEST(entry::encodeProgress(job).rows.size() == 1U);
    // Room for the second step lets all of them go on.
    driver.entries.push_back(cell_fixture::makeWorker("large"));
    driver.entries.back().capacity = {900'000, 1'000'000, 0};
    driver.addSimulated(driver.entries.back());
    changeWorkers(driver.cell, driver.entries, driver.now);
    driver.runFor(60 * second);
    BOOST_TEST((findJob(driver.cell, "a")->finalPhase == cell::job_phase::completed));
    BOOST_TEST(countDone(driver, "a", 1) == occurrences);
}

// Guards against state that a worker's report creates.
BOOST_AUTO_TEST_CASE(fault_memory_of_occurrences_that_a_worker_makes_up)
{
    cell_fixture fixture;
    fixture.run(makeRepeatedJob("a", 1'000'000, {cell_fixture::makeStep(8, 500)}));
    job_state &job = *findJob(fixture.cell, "a");
    const std::size_t before = job.occurrences.size();
    cell::worker_report report;
    for (int number = 0; number < 50'000; ++number) {
        report.running.push_back({{"a", 999'999 - number, 0, 0}, 1, "", 5});
    }
    const orders out = fixture.report("worker-1", report);
    BOOST_TEST(job.occurrences.size() == before);
    BOOST_TEST(out.stops.size() == 50'000U);
    for (const task_id &id :
         {task_id {"a", -1, 0, 0}, task_id {"a", 1'000'000, 0, 0}, task_id {"a", 0, 1, 0},
          task_id {"a", 0, 0, 8}, task_id {"a", 0, 0, -1}, task_id {"a", 0, -1, 0}}) {
        BOOST_TEST(findTask(job, id) == nullptr);
    }
}

// Guards against completed occurrences that a takeover creates anew, each with all its tasks.
BOOST_AUTO_TEST_CASE(fault_memory_of_completed_occurrences_after_a_takeover)
{
    cell_fixture fixture;
    job_state job;
    job.spec = makeRepeatedJob("a", 1'000'000, {cell_fixture::makeStep(8, 500)});
    job.policy = fixture.policy;
    BOOST_REQUIRE(entry::decodeProgress(
        R"({"begun":true,"completed":[[0,899999],[900001,999990]],"occurrences":[]})", job));
    BOOST_TEST(job.occurrences.empty());
    BOOST_TEST(job.occurrencesCompleted == 999'990);
    job.firstDueAt = fixture.now;
    restoreJob(fixture.cell, job, fixture.now);
    const orders out = fixture.decide();
    const job_state &restored = *findJob(fixture.cell, "a");
    BOOST_TEST(restored.occurrences.size() == 10U);
    BOOST_TEST(restored.occurrences.count(900'000) == 1U);
    BOOST_TEST(!out.starts.empty());
}

// Guards against jobs that stay in memory with all their tasks after they have ended.
BOOST_AUTO_TEST_CASE(fault_memory_of_ended_jobs)
{
    driven_cell driver;
    driver.runFor(100 * millisecond);
    for (int number = 0; number < 30; ++number) {
        job_spec spec = cell_fixture::makeJob("job-" + std::to_string(number),
                                              {cell_fixture::makeStep(20, 100)});
        spec.payload = std::string(4'000, 'a');
        driver.submit(spec, second);
    }
    BOOST_TEST(driver.cell.reservedBytes > std::size_t {30} * 4'000);
    driver.runFor(60 * second);
    BOOST_TEST(driver.cell.reservedBytes == 0U);
    for (const auto &[id, job] : driver.cell.jobs) {
        BOOST_TEST((visiblePhase(job) == cell::job_phase::completed));
        BOOST_TEST(job.occurrences.empty());
        BOOST_TEST(job.spec.payload.empty());
    }
    BOOST_TEST(driver.cell.jobs.size() == 30U);
}

BOOST_AUTO_TEST_CASE(occurrence_sets_keep_ranges)
{
    std::minstd_rand random(7);
    for (int round = 0; round < 200; ++round) {
        occurrence_set set;
        std::set<int> expected;
        for (int change = 0; change < 60; ++change) {
            const int first = static_cast<int>(random() % 40);
            if (random() % 3 == 0) {
                removeNumber(set, first);
                expected.erase(first);
            } else {
                const int last = first + static_cast<int>(random() % 6) - 1;
                insertRange(set, first, last);
                for (int number = first; number <= last; ++number) {
                    expected.insert(number);
                }
            }
        }
        int previousLast = -2;
        for (const auto &[first, last] : set.ranges) {
            BOOST_TEST(first <= last);
            BOOST_TEST(first > previousLast + 1);
            previousLast = last;
        }
        for (int number = -1; number < 50; ++number) {
            BOOST_TEST(contains(set, number) == (expected.count(number) > 0));
            int absent = number;
            while (expected.count(absent) > 0) {
                ++absent;
            }
            BOOST_TEST(firstAbsent(set, number) == absent);
        }
    }
}

BOOST_AUTO_TEST_CASE(occurrences_beyond_the_range_of_times_are_never_due)
{
    job_state job;
    job.firstDueAt = 1'000 * second;
    job.spec.interval = distantFuture / 10;
    BOOST_TEST(dueTimeOf(job, 0) == 1'000 * second);
    BOOST_TEST(dueTimeOf(job, 9) < distantFuture);
    BOOST_TEST(dueTimeOf(job, 1'000'000) == distantFuture);
    job.spec.interval = 0;
    BOOST_TEST(dueTimeOf(job, 1'000'000) == 1'000 * second);
}
