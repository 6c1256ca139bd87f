#define BOOST_TEST_MODULE ends_in_pages
#include <boost/test/unit_test.hpp>

#include "driven_cell.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using bramleygrade::testing::cell_fixture;
using bramleygrade::testing::driven_cell;
using bramleygrade::testing::simulated_worker;

namespace {

constexpr int tasksPerJob = 2'000;

/// How many tasks of a job have ended on one worker while there was no scheduler.
struct page_case
{
    const char *name;
    int ended;
    /// Tasks that end while the successor reads the list.
    int endsMeanwhile;
    /// Another scheduler takes over after this time; 0: none does.
    microseconds secondTakeover;
};

const page_case pageCases[] = {
    {"no end", 0, 0, 0},
    {"less than a page", 499, 0, 0},
    {"a page", 500, 0, 0},
    {"a page and one", 501, 0, 0},
    {"two pages", 1'000, 0, 0},
    {"four pages", 1'800, 0, 0},
    {"ends go on", 700, 600, 0},
    {"ends go on up to a page", 400, 100, 0},
    {"another takeover", 1'800, 0, 40 * millisecond},
    {"another takeover, ends go on", 1'200, 300, 60 * millisecond},
};

job_spec makeWideJob()
{
    step_spec step = cell_fixture::makeStep(tasksPerJob, 1);
    step.demand.memoryMb = 1;
    return cell_fixture::makeJob("a", {step});
}

/// A successor of the scheduler that started all tasks of a job on one worker.
struct successor_fixture : driven_cell
{
    /// The stored list of workers has those that the former scheduler used.
    explicit successor_fixture(std::int64_t epoch)
        : driven_cell(epoch)
    {
        cell.workers.clear();
        cell.workerRowBytes.clear();
        for (const worker_entry &worker : entries) {
            restoreWorker(cell, worker, now);
        }
        changeWorkers(cell, entries, now);
    }

    /// The worker runs all tasks of the job; the first `ended` of them have ended.
    void startAll(int ended, int endsMeanwhile)
    {
        know(makeWideJob(), second);
        simulated_worker &worker = workers.at("worker-1");
        worker.leaseUntil = now + 5 * second;
        for (int index = 0; index < ended + endsMeanwhile; ++index) {
            const task_id task {"a", 0, 0, index};
            const timestamp endsAt =
                index < ended ? now - second : now + 30 * millisecond * (1 + index % 2);
            worker.runs[task] = {1, now - 2 * second, endsAt, end_kind::done, {1, 1, 0}};
            record.runningOn[task].insert("worker-1");
        }
    }

    /// Restores the job with the tasks that `former` has stored as done.
    void restore(const job_state *former)
    {
        job_state job;
        job.spec = makeWideJob();
        job.policy = policy;
        job.acceptedEpoch = 1;
        if (former != nullptr) {
            ensureOccurrence(job, 0).steps[0].tasks = former->occurrences.at(0).steps[0].tasks;
            for (task_state &task : job.occurrences.at(0).steps[0].tasks) {
                const bool done = task.done;
                task = {};
                task.done = done;
                job.occurrences.at(0).steps[0].doneCount += done ? 1 : 0;
            }
        }
        restoreJob(cell, job, now);
    }

    /// Returns how many of the tasks from `first` on and before `last` were started again.
    int countStarted(int first, int last)
    {
        int started = 0;
        for (int index = first; index < last; ++index) {
            started += record.runCount[{"a", 0, 0, index}] > 0 ? 1 : 0;
        }
        return started;
    }
};

} // namespace

// Guards against a successor that took the first 500 ends of a worker for all of them, and started
// the tasks again whose ends came after these.
BOOST_AUTO_TEST_CASE(twice_done_tasks_start_again_as_their_ends_are_not_read_yet)
{
    for (const page_case &given : pageCases) {
        BOOST_TEST_CONTEXT(given.name)
        {
            successor_fixture first(2);
            first.startAll(given.ended, given.endsMeanwhile);
            first.restore(nullptr);
            successor_fixture second(3);
            successor_fixture *last = &first;
            if (given.secondTakeover > 0) {
                first.runFor(given.secondTakeover);
                second.now = first.now;
                second.cell.tookOverAt = first.now;
                second.workers = first.workers;
                second.record = first.record;
                second.restore(findJob(first.cell, "a"));
                last = &second;
            }
            last->runFor(3 * bramleygrade::second);
            const int all = given.ended + given.endsMeanwhile;
            BOOST_TEST(last->countStarted(0, all) == 0);
            BOOST_TEST(last->countStarted(all, tasksPerJob) == tasksPerJob - all);
            BOOST_TEST(last->record.violations.empty());
        }
    }
}

// A worker that restarts while its ends are read lists those of its new life in pages as well.
BOOST_AUTO_TEST_CASE(twice_done_tasks_start_again_after_a_restart_of_their_worker)
{
    for (const int endsOfNewLife : {10, 500, 900}) {
        BOOST_TEST_CONTEXT("ends of the new life: " << endsOfNewLife)
        {
            constexpr std::int64_t born = 1'790'000'000'000;
            successor_fixture fixture(2);
            fixture.restore(nullptr);
            fixture.startAll(0, 0);
            // The predecessor used the former life, and has started tasks on the new one.
            worker_entry former = fixture.entries.front();
            former.born = born;
            fixture.cell.workers.erase(former.id);
            restoreWorker(fixture.cell, former, fixture.now);
            fixture.entries.front().born = born + 1'000;
            fixture.workers.at(former.id).born = born + 1'000;
            changeWorkers(fixture.cell, fixture.entries, fixture.now);
            fixture.startAll(endsOfNewLife, 0);
            fixture.runFor(8 * second);
            BOOST_TEST(fixture.countStarted(0, endsOfNewLife) == 0);
            BOOST_TEST(fixture.countStarted(endsOfNewLife, tasksPerJob)
                       == tasksPerJob - endsOfNewLife);
        }
    }
}
