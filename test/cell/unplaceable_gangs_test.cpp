#define BOOST_TEST_MODULE unplaceable_gangs
#include <boost/test/unit_test.hpp>

#include <functional>

#include "driven_cell.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using bramleygrade::testing::cell_fixture;
using bramleygrade::testing::driven_cell;

namespace {

constexpr int workerCount = 8;
/// Longest wait of a job for which there is room, by the users' rules.
constexpr microseconds maxWait = 3 * second;

step_spec makeGang(int count, std::int64_t cpu)
{
    step_spec gang = cell_fixture::makeStep(count, cpu);
    gang.gang = true;
    return gang;
}

/// Eight workers of eight processors.
struct gang_fixture : driven_cell
{
    gang_fixture()
    {
        policy.latencyTarget = 10 * second;
        for (int number = 4; number <= workerCount; ++number) {
            addWorker("worker-" + std::to_string(number));
        }
        runFor(200 * millisecond);
    }

    bool hasStarted(const std::string &job) const { return cell.jobs.at(job).begun; }

    /// Changes the registry entries of the workers from `first` on.
    void changeEntries(int first, const std::function<void(worker_entry &)> &change)
    {
        for (std::size_t index = static_cast<std::size_t>(first) - 1; index < entries.size();
             ++index) {
            change(entries[index]);
        }
        changeWorkers(cell, entries, now);
    }

    /// Submits a job with a gang of two each `interval`, and returns their ids.
    std::vector<std::string> runWithSmallGangs(microseconds length, microseconds interval,
                                               microseconds duration)
    {
        std::vector<std::string> ids;
        for (const timestamp end = now + length; now < end;) {
            ids.push_back("small-" + std::to_string(++smallGangs));
            submit(makeJob(ids.back(), {makeGang(2, 2'000)}), duration);
            runFor(interval);
        }
        return ids;
    }

    int smallGangs = 0;
};

struct unplaceable_case
{
    const char *name;
    step_spec gang;
    /// Makes the gang unplaceable once it is submitted.
    std::function<void(gang_fixture &)> change;
};

std::vector<unplaceable_case> unplaceableCases()
{
    const auto unchanged = [](gang_fixture &) {};
    step_spec labelled = makeGang(4, 8'000);
    labelled.requiredLabel = "fast";
    step_spec spread = makeGang(9, 1'000);
    spread.maxPerWorker = 1;
    return {
        {"wider than all workers", makeGang(9, 8'000), unchanged},
        {"a member is larger than any worker", makeGang(2, 8'001), unchanged},
        {"no worker has the label", labelled, unchanged},
        {"more members than workers, one each", spread, unchanged},
        {"a worker was lost", makeGang(8, 8'000),
         [](gang_fixture &fixture) { fixture.loseWorker("worker-8"); }},
        {"a worker drains", makeGang(8, 8'000),
         [](gang_fixture &fixture) {
             fixture.changeEntries(8, [](worker_entry &entry) { entry.draining = true; });
         }},
        {"a worker has shrunk", makeGang(8, 8'000),
         [](gang_fixture &fixture) {
             fixture.changeEntries(8, [](worker_entry &entry) { entry.capacity.cpuMilli = 7'000; });
         }},
        {"a lasting task takes the room", makeGang(8, 8'000),
         [](gang_fixture &fixture) {
             step_spec lasting = cell_fixture::makeStep(1, 1'000);
             lasting.longRunning = true;
             fixture.policy.priority = 0;
             fixture.policy.latencyTarget = 0;
             fixture.submit(cell_fixture::makeJob("lasting", {lasting}), 600 * second);
         }},
    };
}

} // namespace

// Guards against a gang that fits no more and withheld capacity for good: no other gang started,
// and other steps were kept from the withheld capacity, on idle workers.
BOOST_AUTO_TEST_CASE(lost_jobs_behind_a_gang_that_cannot_be_placed)
{
    for (const unplaceable_case &given : unplaceableCases()) {
        BOOST_TEST_CONTEXT(given.name)
        {
            gang_fixture fixture;
            // The gang waits for a run that takes a second.
            fixture.submit(cell_fixture::makeJob("first", {cell_fixture::makeStep(1, 8'000)}),
                           second);
            fixture.runFor(100 * millisecond);
            given.change(fixture);
            fixture.runFor(100 * millisecond);
            fixture.policy.priority = 1;
            fixture.submit(cell_fixture::makeJob("unplaceable", {given.gang}), second);
            fixture.runFor(2 * second);
            for (const std::string &id :
                 fixture.runWithSmallGangs(second, 250 * millisecond, 200 * millisecond)) {
                BOOST_TEST(fixture.hasStarted(id), id);
            }
            // All eight workers can be filled by steps of lower priority.
            fixture.policy.priority = 2;
            fixture.submit(cell_fixture::makeJob("batch", {cell_fixture::makeStep(48, 1'000)}),
                           600 * second);
            fixture.runFor(second);
            int running = 0;
            for (const task_state &task :
                 fixture.cell.jobs.at("batch").occurrences.at(0).steps[0].tasks) {
                running += task.phase == run_phase::running ? 1 : 0;
            }
            BOOST_TEST(running == 48);
            BOOST_TEST(!fixture.hasStarted("unplaceable"));
        }
    }
}

// Runs are stopped for a gang only if it can start then.
BOOST_AUTO_TEST_CASE(unplaceable_gang_preempts_nothing)
{
    gang_fixture fixture;
    fixture.policy.priority = 2;
    step_spec batch = cell_fixture::makeStep(8, 8'000);
    batch.checkpointing = true;
    fixture.submit(cell_fixture::makeJob("batch", {batch}), 60 * second);
    fixture.runFor(second);
    fixture.policy.priority = 0;
    fixture.policy.latencyTarget = 0;
    fixture.submit(cell_fixture::makeJob("unplaceable", {makeGang(9, 8'000)}), second);
    fixture.runFor(5 * second);
    BOOST_TEST(fixture.cell.counters.preemptedRuns == 0U);
}

// A gang that needs all workers gets its turn, however many small gangs follow it.
BOOST_AUTO_TEST_CASE(short_wide_gang_starves_behind_small_ones)
{
    struct row
    {
        const char *name;
        int count;
        std::int64_t cpuMilli;
    };
    for (const row &given : {row {"one on each worker", 8, 8'000}, row {"two on each", 16, 4'000},
                             row {"on most workers", 6, 8'000}}) {
        BOOST_TEST_CONTEXT(given.name)
        {
            gang_fixture fixture;
            constexpr microseconds smallRun = 2 * second;
            fixture.runWithSmallGangs(3 * second, 150 * millisecond, smallRun);
            fixture.submit(cell_fixture::makeJob("wide", {makeGang(given.count, given.cpuMilli)}),
                           second);
            const timestamp submittedAt = fixture.now;
            while (!fixture.hasStarted("wide") && fixture.now < submittedAt + 20 * second) {
                fixture.runWithSmallGangs(150 * millisecond, 150 * millisecond, smallRun);
            }
            // It waits only for the runs that began before it.
            BOOST_TEST(fixture.now - submittedAt <= smallRun + maxWait);
        }
    }
}

// The gang holds capacity again as soon as it can be placed.
// Guards against late gangs that wait for ever, as the small ones are on time.
BOOST_AUTO_TEST_CASE(short_wide_gang_starves_after_its_room_is_back)
{
    /// Wait after which the gang that has waited longest goes first though it is late.
    constexpr microseconds longestWait = 60 * second;
    constexpr microseconds smallRun = 2 * second;
    struct row
    {
        const char *name;
        microseconds latencyTarget;
        /// Time from the submission at which its turn begins at the latest, if there is room.
        microseconds turn;
        /// Gangs that can never be placed wait longer than the wide one.
        bool besideUnplaceable;
    };
    for (const row &given :
         {row {"on time", 60 * second, 0, false}, row {"late", 10 * second, longestWait, false},
          row {"late, beside unplaceable ones", 10 * second, longestWait, true}}) {
        BOOST_TEST_CONTEXT(given.name)
        {
            gang_fixture fixture;
            fixture.runWithSmallGangs(second, 150 * millisecond, smallRun);
            fixture.loseWorker("worker-8");
            if (given.besideUnplaceable) {
                fixture.submit(cell_fixture::makeJob("unplaceable", {makeGang(20, 8'000)}), second);
                fixture.runFor(second);
            }
            const timestamp submittedAt = fixture.now;
            fixture.policy.latencyTarget = given.latencyTarget;
            fixture.submit(cell_fixture::makeJob("wide", {makeGang(8, 8'000)}), second);
            fixture.policy.latencyTarget = 10 * second;
            const std::vector<std::string> ids =
                fixture.runWithSmallGangs(10 * second, 150 * millisecond, smallRun);
            BOOST_TEST(!fixture.hasStarted("wide"));
            fixture.runFor(maxWait);
            for (const std::string &id : ids) {
                BOOST_TEST(fixture.hasStarted(id), id);
            }
            fixture.addWorker("worker-9");
            const timestamp turn = std::max(fixture.now, submittedAt + given.turn);
            while (!fixture.hasStarted("wide") && fixture.now < turn + 20 * second) {
                fixture.runWithSmallGangs(150 * millisecond, 150 * millisecond, smallRun);
            }
            BOOST_TEST(fixture.now - turn <= smallRun + maxWait);
        }
    }
}
