#define BOOST_TEST_MODULE pending_jobs
#include <boost/test/unit_test.hpp>

#include <functional>

#include "driven_cell.h"
#include "entry/rows.h"

namespace bramleygrade::cell {

namespace {

using testing::cell_fixture;
using testing::driven_cell;

/// What callers are told of a queue with a single job.
void checkPending(const scheduler &cell, bool pending)
{
    const job_phase phase = visiblePhase(cell.jobs.at("a"));
    BOOST_TEST(countPendingJobs(cell, "queue") == (pending ? 1 : 0));
    BOOST_TEST(countPendingByQueue(cell).count("queue") == (pending ? 1U : 0U));
    BOOST_TEST((phase == (pending ? job_phase::queued : job_phase::running)));
}

/// A cell that has ordered the start of job "a", whose tasks need most of a worker each.
struct ordered_fixture : cell_fixture
{
    explicit ordered_fixture(int tasks = 1, bool gang = false)
    {
        step_spec step = makeStep(tasks, 5'000);
        step.gang = gang;
        starts = run(makeJob("a", {step})).starts;
    }

    const start_order &start() const { return starts.at(0); }

    orders answer(order_outcome outcome, std::size_t index = 0)
    {
        orders out;
        onStartOutcome(cell, starts.at(index), outcome, now, out);
        return out;
    }

    /// The worker lists a run of the task, or its end.
    orders list(int attempt)
    {
        worker_report answer;
        answer.running.push_back({start().task, attempt, "", 10});
        return report(start().worker, answer);
    }

    orders listEnd(end_kind how, int attempt)
    {
        return end(start().worker, 1, start().task, attempt, how);
    }

    /// The worker leaves the registry and answers nothing until its leases have ended.
    void loseWorker()
    {
        const std::string lost = start().worker;
        for (auto entry = entries.begin(); entry != entries.end(); ++entry) {
            if (entry->id == lost) {
                entries.erase(entry);
                break;
            }
        }
        changeWorkers(cell, entries, now);
        orders ignored;
        onPollFailed(cell, makePoll(lost), order_outcome::unanswered, now, ignored);
        for (const timestamp end = now + 8 * second; now < end; now += 20 * millisecond) {
            for (const poll_order &poll : decide().polls) {
                if (poll.worker == lost) {
                    onPollFailed(cell, poll, order_outcome::unanswered, now, ignored);
                } else {
                    report(poll.worker, {});
                }
            }
            store();
        }
    }

    /// Another process runs under the worker's id.
    void restartWorker()
    {
        worker_report answer;
        answer.born = 1'790'000'000'000;
        report(start().worker, answer);
    }

    void stopRuns()
    {
        orders out;
        stopAllRuns(cell, *findJob(cell, "a"), now, out);
        for (const stop_order &stop : out.stops) {
            onStopOutcome(cell, stop, order_outcome::accepted, now);
        }
    }

    std::vector<start_order> starts;
};

struct pending_case
{
    const char *name;
    std::function<void(ordered_fixture &)> happens;
    int tasks = 1;
    bool gang = false;
};

const pending_case casesWithoutEffect[] = {
    {"the order is on its way", [](ordered_fixture &) {}},
    {"no answer", [](ordered_fixture &cell) { cell.answer(order_outcome::unanswered); }},
    {"not sent", [](ordered_fixture &cell) { cell.answer(order_outcome::not_sent); }},
    {"refused for room",
     [](ordered_fixture &cell) { cell.answer(order_outcome::refused_capacity); }},
    {"refused for its ticket",
     [](ordered_fixture &cell) { cell.answer(order_outcome::refused_ticket); }},
    {"refused for its lease",
     [](ordered_fixture &cell) { cell.answer(order_outcome::refused_expired); }},
    {"refused for a higher token",
     [](ordered_fixture &cell) { cell.answer(order_outcome::refused_fence); }},
    {"refused as stopped before",
     [](ordered_fixture &cell) { cell.answer(order_outcome::refused_stale); }},
    {"refused by another process",
     [](ordered_fixture &cell) { cell.answer(order_outcome::refused_incarnation); }},
    {"the worker is lost with the order", [](ordered_fixture &cell) { cell.loseWorker(); }},
    {"no answer, and the worker is lost",
     [](ordered_fixture &cell) {
         cell.answer(order_outcome::unanswered);
         cell.loseWorker();
     }},
    {"the worker restarts", [](ordered_fixture &cell) { cell.restartWorker(); }},
    {"stopped before the answer", [](ordered_fixture &cell) { cell.stopRuns(); }},
    {"no answer, stopped",
     [](ordered_fixture &cell) {
         cell.answer(order_outcome::unanswered);
         cell.stopRuns();
     }},
    {"all tasks are refused",
     [](ordered_fixture &cell) {
         for (std::size_t index = 0; index < cell.starts.size(); ++index) {
             cell.answer(order_outcome::refused_capacity, index);
         }
     },
     3},
    {"a gang of which no member is accepted",
     [](ordered_fixture &cell) {
         cell.answer(order_outcome::unanswered, 0);
         cell.answer(order_outcome::refused_capacity, 1);
     },
     2, true},
};

const pending_case casesWithEffect[] = {
    {"accepted", [](ordered_fixture &cell) { cell.answer(order_outcome::accepted); }},
    {"no answer, listed as running",
     [](ordered_fixture &cell) {
         cell.answer(order_outcome::unanswered);
         cell.list(cell.start().attempt);
     }},
    {"accepted after the worker was taken for lost",
     [](ordered_fixture &cell) {
         cell.loseWorker();
         cell.answer(order_outcome::accepted);
     }},
    {"accepted, and the worker is lost",
     [](ordered_fixture &cell) {
         cell.answer(order_outcome::accepted);
         cell.loseWorker();
     }},
    {"accepted, and the worker restarts",
     [](ordered_fixture &cell) {
         cell.answer(order_outcome::accepted);
         cell.restartWorker();
     }},
    {"a run of a former order is listed", [](ordered_fixture &cell) { cell.list(99); }},
    {"ended as failed",
     [](ordered_fixture &cell) { cell.listEnd(end_kind::failed, cell.start().attempt); }},
    {"ended as stopped",
     [](ordered_fixture &cell) { cell.listEnd(end_kind::stopped, cell.start().attempt); }},
    {"ended as its lease lapsed",
     [](ordered_fixture &cell) { cell.listEnd(end_kind::lease_lapsed, cell.start().attempt); }},
    {"a former run ended", [](ordered_fixture &cell) { cell.listEnd(end_kind::stopped, 0); }},
    {"failed, and the next start is refused",
     [](ordered_fixture &cell) {
         cell.listEnd(end_kind::failed, cell.start().attempt);
         for (const start_order &next : cell.decide().starts) {
             orders ignored;
             onStartOutcome(cell.cell, next, order_outcome::refused_capacity, cell.now, ignored);
         }
     }},
    {"one of several tasks",
     [](ordered_fixture &cell) {
         cell.answer(order_outcome::refused_capacity, 0);
         cell.answer(order_outcome::accepted, 1);
         cell.answer(order_outcome::unanswered, 2);
     },
     3},
    {"one member of a gang",
     [](ordered_fixture &cell) {
         cell.answer(order_outcome::accepted, 0);
         cell.answer(order_outcome::unanswered, 1);
     },
     2, true},
};

/// Restores the job in a later scheduler from the rows that `former` has stored.
void takeOver(scheduler &former, driven_cell &successor)
{
    const job_state &job = former.jobs.at("a");
    std::int64_t wall = 0;
    auto restored = entry::decodeJob("a", entry::encodeJob(job, 0), wall);
    BOOST_REQUIRE(restored.has_value());
    // A job is written again only when a change of it was recorded.
    if (former.unstored.count("a") > 0 && entry::needsProgressRow(job)) {
        BOOST_REQUIRE(entry::decodeProgress(entry::encodeProgress(job).rows, *restored));
    }
    restoreJob(successor.cell, std::move(*restored), successor.now);
}

} // namespace

// Guards against jobs that wait and were not counted as pending, as the order to start a task was
// taken for its start: of ten jobs that waited for a lost worker callers were told of none.
BOOST_AUTO_TEST_CASE(mixed_jobs_whose_starts_had_no_effect_are_not_pending)
{
    for (const pending_case &given : casesWithoutEffect) {
        BOOST_TEST_CONTEXT(given.name)
        {
            ordered_fixture fixture(given.tasks, given.gang);
            BOOST_REQUIRE(fixture.starts.size() == static_cast<std::size_t>(given.tasks));
            given.happens(fixture);
            checkPending(fixture.cell, true);
        }
    }
}

// A job has begun for good once a worker has begun one of its tasks, also if the next order has no
// effect.
BOOST_AUTO_TEST_CASE(jobs_of_which_a_task_has_begun_are_not_pending)
{
    for (const pending_case &given : casesWithEffect) {
        BOOST_TEST_CONTEXT(given.name)
        {
            ordered_fixture fixture(given.tasks, given.gang);
            given.happens(fixture);
            checkPending(fixture.cell, false);
        }
    }
}

BOOST_AUTO_TEST_CASE(pending_jobs_are_the_same_after_a_takeover)
{
    const auto check = [](const pending_case &given, bool pending) {
        BOOST_TEST_CONTEXT(given.name)
        {
            ordered_fixture fixture(given.tasks, given.gang);
            given.happens(fixture);
            if (!pending) {
                fixture.loseWorker(); // a worker that is left lists what it runs
            }
            recordChange(fixture.cell, "a", false);
            driven_cell successor(2);
            takeOver(fixture.cell, successor);
            checkPending(successor.cell, pending);
        }
    };
    for (const pending_case &given : casesWithoutEffect) {
        check(given, true);
    }
    for (const pending_case &given : casesWithEffect) {
        check(given, false);
    }
}

// The successor learns of a run from its worker; what no worker lists any more is stored.
BOOST_AUTO_TEST_CASE(that_a_job_has_begun_is_stored_before_its_run_is_forgotten)
{
    struct row
    {
        const char *name;
        std::function<void(ordered_fixture &)> happens;
    };
    const row rows[] = {
        {"the worker is lost",
         [](ordered_fixture &cell) {
             cell.answer(order_outcome::accepted);
             cell.store();
             worker_state &worker = cell.cell.workers.at(cell.start().worker);
             orders ignored;
             releaseAllRuns(cell.cell, worker, cell.now, ignored);
         }},
        {"the run was stopped",
         [](ordered_fixture &cell) {
             cell.store();
             cell.listEnd(end_kind::stopped, cell.start().attempt);
             const worker_state &worker = cell.cell.workers.at(cell.start().worker);
             BOOST_TEST(worker.life.acknowledgedEnd == 0);
         }},
        {"a former run was stopped",
         [](ordered_fixture &cell) {
             cell.store();
             cell.listEnd(end_kind::stopped, 0);
             const worker_state &worker = cell.cell.workers.at(cell.start().worker);
             BOOST_TEST(worker.life.acknowledgedEnd == 0);
         }},
        {"accepted after the worker was taken for lost",
         [](ordered_fixture &cell) {
             orders ignored;
             releaseAllRuns(cell.cell, cell.cell.workers.at(cell.start().worker), cell.now,
                            ignored);
             cell.answer(order_outcome::accepted);
         }},
    };
    for (const row &given : rows) {
        BOOST_TEST_CONTEXT(given.name)
        {
            ordered_fixture fixture;
            given.happens(fixture);
            BOOST_TEST(fixture.cell.unstored.count("a") == 1U);
            driven_cell successor(2);
            takeOver(fixture.cell, successor);
            checkPending(successor.cell, false);
            // It is stored once.
            fixture.store();
            BOOST_TEST(recordBegin(fixture.cell, *findJob(fixture.cell, "a")) == 0U);
            BOOST_TEST(recordBegin(successor.cell, *findJob(successor.cell, "a")) == 0U);
        }
    }
}

// Two workers are full, the third is lost at the moment when ten jobs are ordered to it.
BOOST_AUTO_TEST_CASE(mixed_jobs_that_wait_after_the_loss_of_their_worker_are_not_pending)
{
    driven_cell cell;
    cell.submit(cell_fixture::makeJob("long", {cell_fixture::makeStep(2, 8'000)}), 30 * second);
    cell.runFor(second);
    std::string idle;
    for (const auto &[id, worker] : cell.workers) {
        idle = worker.runs.empty() ? id : idle;
    }
    cell.unreachable.insert(idle);
    for (int number = 0; number < 10; ++number) {
        const std::string id = "job-" + std::to_string(number);
        cell.submit(cell_fixture::makeJob(id, {cell_fixture::makeStep(1, 800)}), second);
    }
    for (int tenths = 1; tenths <= 100; ++tenths) {
        cell.runFor(100 * millisecond);
        BOOST_TEST(countPendingJobs(cell.cell, "queue") == 10, "after " << tenths << " tenths");
    }
}

} // namespace bramleygrade::cell
