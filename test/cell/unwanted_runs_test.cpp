#define BOOST_TEST_MODULE unwanted_runs
#include <boost/test/unit_test.hpp>

#include "driven_cell.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using bramleygrade::testing::cell_fixture;
using bramleygrade::testing::driven_cell;

namespace {

/// Time in which a stop has to succeed once the worker can be reached: the pause between two polls
/// of a silent worker and between two checks, and the longest stop.
constexpr microseconds stopLimit = 1'500 * millisecond;
constexpr microseconds longRun = 60 * second;

/// Why a run is not wanted any more.
enum class cause { job_cancelled, job_failed, start_arrives_late };

struct cut_case
{
    const char *name;
    cause why;
    bool longRunning;
    microseconds cutFor;
};

const cut_case cutCases[] = {
    {"cancelled, short cut", cause::job_cancelled, false, 2 * second},
    {"cancelled", cause::job_cancelled, false, 3'500 * millisecond},
    {"cancelled, lasting task", cause::job_cancelled, true, 3'500 * millisecond},
    {"cancelled, cut almost as long as a lease", cause::job_cancelled, true, 4'700 * millisecond},
    {"failed", cause::job_failed, false, 3'500 * millisecond},
    {"failed, cut almost as long as a lease", cause::job_failed, false, 4'700 * millisecond},
    {"started late", cause::start_arrives_late, false, 3'500 * millisecond},
    {"lasting task, started late", cause::start_arrives_late, true, 3'500 * millisecond},
};

/// Runs a job on all three workers, one of which is cut off when its run is not wanted any more.
struct cut_fixture : driven_cell
{
    explicit cut_fixture(const cut_case &given)
    {
        policy.maxAttempts = 1;
        runFor(100 * millisecond);
        if (given.why == cause::start_arrives_late) {
            unreachable.insert(cutWorker);
        }
        step_spec step = makeStep(3, 8'000);
        step.longRunning = given.longRunning;
        submit(makeJob("a", {step}), longRun);
        runFor(100 * millisecond);
        unreachable.insert(cutWorker);
        const timestamp healsAt = now + given.cutFor;
        runFor(200 * millisecond);
        if (given.why == cause::job_failed) {
            failRunElsewhere();
        } else {
            orders out;
            cancelJob(cell, "a", now, out);
            carryOut(out);
        }
        runFor(healsAt - now);
        unreachable.clear();
        if (given.why == cause::start_arrives_late) {
            for (const auto &[task, order] : newestStarts) {
                if (order.worker == cutWorker) {
                    startRun(workers.at(cutWorker), record, order, now);
                }
            }
        }
    }

    void failRunElsewhere()
    {
        bramleygrade::testing::simulated_run &run = workers.at("worker-1").runs.begin()->second;
        run.how = end_kind::failed;
        run.endsAt = now;
    }

    const std::string cutWorker = "worker-2";
};

} // namespace

// Guards against stops that were repeated for 3 s only: a run whose worker was cut off for longer
// went on for as long as its leases were renewed.
BOOST_AUTO_TEST_CASE(unasked_run_of_an_ended_job_goes_on_after_a_cut)
{
    for (const cut_case &given : cutCases) {
        BOOST_TEST_CONTEXT(given.name)
        {
            cut_fixture fixture(given);
            fixture.runFor(stopLimit);
            BOOST_TEST(fixture.workers.at(fixture.cutWorker).runs.empty());
            for (const auto &[id, worker] : fixture.cell.workers) {
                BOOST_TEST(worker.life.used.cpuMilli == 0, id);
            }
            // A silent worker is told once, not again and again.
            BOOST_TEST(fixture.lostStopCount <= 1);
        }
    }
}

// A successor knows no run of the ended job until a worker reports it.
BOOST_AUTO_TEST_CASE(unasked_run_of_an_ended_job_goes_on_after_a_takeover)
{
    struct row
    {
        const char *name;
        bool isEndedKnown;
    };
    for (const row &given : {row {"tombstone in the store", true}, row {"unknown job", false}}) {
        BOOST_TEST_CONTEXT(given.name)
        {
            cut_fixture former(cutCases[1]);
            driven_cell successor(2);
            successor.now = former.now;
            successor.cell.tookOverAt = former.now;
            successor.workers = former.workers;
            successor.record = former.record;
            if (given.isEndedKnown) {
                restoreEndedJob(successor.cell, "a", bramleygrade::cell::job_phase::cancelled,
                                successor.now);
            }
            successor.runFor(stopLimit);
            BOOST_TEST(successor.workers.at(former.cutWorker).runs.empty());
        }
    }
}

// Guards against capacity that was never freed: the run's job was erased before the run had ended.
BOOST_AUTO_TEST_CASE(lost_capacity_of_a_run_that_outlives_its_job)
{
    driven_cell fixture;
    fixture.cell.settings.endedKept = 5 * second;
    fixture.submit(cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 8'000)}), longRun);
    fixture.runFor(200 * millisecond);
    const std::string worker = fixture.newestStarts.begin()->second.worker;
    fixture.lostStops.insert(worker);
    orders out;
    cancelJob(fixture.cell, "a", fixture.now, out);
    fixture.carryOut(out);
    fixture.runFor(2 * fixture.cell.settings.endedKept);
    BOOST_TEST(fixture.workers.at(worker).runs.size() == 1U);
    BOOST_TEST(demandOnWorker(fixture.cell, worker).cpuMilli == 8'000);
    fixture.lostStops.clear();
    fixture.runFor(stopLimit);
    BOOST_TEST(fixture.workers.at(worker).runs.empty());
    BOOST_TEST(demandOnWorker(fixture.cell, worker).cpuMilli == 0);
    fixture.runFor(second);
    BOOST_TEST((findJob(fixture.cell, "a") == nullptr));
}

// Another worker reports a run of a task that has ended. Only a report that was asked for before
// the end was known may be out of date.
BOOST_AUTO_TEST_CASE(unasked_copy_of_a_task_that_has_ended_goes_on)
{
    for (const bool isOutdated : {true, false}) {
        BOOST_TEST_CONTEXT("outdated report: " << isOutdated)
        {
            cell_fixture fixture;
            orders out =
                fixture.run(cell_fixture::makeJob("a", {cell_fixture::makeStep(2, 1'000)}));
            const start_order start = out.starts.at(0);
            fixture.confirm(start);
            const timestamp before = fixture.now;
            fixture.now += second;
            fixture.end(start.worker, 1, start.task, start.attempt, end_kind::done);
            const std::string other = start.worker == "worker-1" ? "worker-2" : "worker-1";
            bramleygrade::cell::worker_report report;
            report.running.push_back({start.task, start.attempt, "", 50});
            report.workerClock = fixture.now;
            fixture.now += isOutdated ? 0 : second;
            orders stops;
            onReport(fixture.cell, fixture.makePoll(other), report,
                     isOutdated ? before : fixture.now, fixture.now, stops);
            BOOST_TEST(stops.stops.size() == (isOutdated ? 0U : 1U));
        }
    }
}
