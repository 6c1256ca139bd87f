#define BOOST_TEST_MODULE life_without_fence
#include <boost/test/unit_test.hpp>

#include "cell/workers/worker_list.h"
#include "cut_off_fixture.h"
#include "entry/rows.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using namespace bramleygrade::testing;

// A successor took a new life that its predecessor had not fenced for the one that had the orders.
BOOST_AUTO_TEST_CASE(twice_successor_of_a_scheduler_that_saw_the_restart)
{
    for (const bool isListed : {true, false}) {
        BOOST_TEST_CONTEXT((isListed ? "the registry shows the new life" : "its entry is gone"))
        {
            ordered_start before;
            before.restartWorkerOf(before.order);
            before.now = before.restartedAt;
            before.listRestart();
            const std::string row = entry::encodeWorkerRow(before.cell.workers, 0);

            cut_off_fixture after(2);
            after.now = before.now;
            beginEpoch(after.cell, 2, after.now);
            const timestamp leaseEnd = after.now + 12 * second + longestLease;
            job_state job;
            job.spec = cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)});
            job.policy = after.policy;
            job.acceptedEpoch = 1;
            restoreJob(after.cell, job, after.now);
            for (worker_entry &listed : after.entries) {
                listed.born = listed.id == before.order.worker ? newBorn : formerBorn;
            }
            for (worker_entry stored : entry::decodeWorkers(row)) {
                stored.capacity = {8'000, 16'000, 0};
                stored.born = stored.id == before.order.worker ? newBorn : formerBorn;
                restoreWorker(after.cell, stored, after.now);
            }
            after.restartWorkerOf(before.order);
            if (!isListed) {
                after.entries.erase(std::find_if(
                    after.entries.begin(), after.entries.end(),
                    [&](const auto &listed) { return listed.id == before.order.worker; }));
            }
            after.settle();
            const auto startedAt = after.runUntilStart();
            BOOST_REQUIRE(startedAt.has_value());
            BOOST_TEST(*startedAt >= leaseEnd);
        }
    }
}

// The restart is written at once: a successor that does not know of it would not wait.
BOOST_AUTO_TEST_CASE(twice_restart_that_is_not_written_for_a_successor)
{
    for (const bool isListed : {true, false}) {
        BOOST_TEST_CONTEXT((isListed ? "shown by the registry" : "shown by an answer"))
        {
            ordered_start fixture;
            const std::string id = fixture.order.worker;
            fixture.store();
            fixture.restartWorkerOf(fixture.order);
            fixture.now = fixture.restartedAt;
            if (isListed) {
                fixture.listRestart();
            } else {
                orders ignored;
                onReport(fixture.cell, fixture.makePoll(id), fixture.reportOf(id), fixture.now,
                         fixture.now, ignored);
            }
            const worker_state &worker = fixture.cell.workers.at(id);
            BOOST_REQUIRE(worker.listRow.has_value());
            const std::vector<std::string> written = beginWrite(fixture.cell, {100}, oneRow);
            BOOST_TEST((std::find(written.begin(), written.end(), workerRowChange(*worker.listRow))
                        != written.end()));
        }
    }
}

// A late poll for the former life extended the lease of a run that the new life had confirmed.
BOOST_AUTO_TEST_CASE(twice_run_confirmed_by_a_new_life_that_is_not_fenced)
{
    ordered_start fixture;
    poll_order late = fixture.makePoll(fixture.order.worker);
    late.leaseUntil = fixture.order.leaseUntil;
    fixture.restartWorkerOf(fixture.order);
    const timestamp leaseEnd = fixture.now + 12 * second + longestLease;
    fixture.now += orderTimeout;
    orders ignored;
    onPollFailed(fixture.cell, late, order_outcome::unanswered, fixture.now, ignored);
    auto answer = fixture.reportOf(fixture.order.worker);
    answer.running.push_back({fixture.order.task, fixture.order.attempt, "", 0});
    onReport(fixture.cell, fixture.makePoll(fixture.order.worker), answer, fixture.now, fixture.now,
             ignored);
    fixture.answerPolls(fixture.out);
    const auto startedAt = fixture.runUntilStart();
    BOOST_REQUIRE(startedAt.has_value());
    BOOST_TEST(*startedAt >= leaseEnd);
}

// A poll without an answer may renew the lease of a run that the new life has confirmed earlier.
BOOST_AUTO_TEST_CASE(twice_run_of_a_new_life_renewed_by_a_poll_without_an_answer)
{
    ordered_start fixture;
    fixture.restartWorkerOf(fixture.order);
    fixture.now += orderTimeout;
    auto answer = fixture.reportOf(fixture.order.worker);
    answer.running.push_back({fixture.order.task, fixture.order.attempt, "", 0});
    orders ignored;
    onReport(fixture.cell, fixture.makePoll(fixture.order.worker), answer, fixture.now, fixture.now,
             ignored);
    fixture.now += second;
    poll_order late = fixture.makePoll(fixture.order.worker);
    late.leaseUntil = fixture.order.leaseUntil;
    const timestamp leaseEnd = fixture.now + 12 * second + longestLease;
    fixture.now += orderTimeout;
    onPollFailed(fixture.cell, late, order_outcome::unanswered, fixture.now, ignored);
    fixture.answerPolls(fixture.out);
    const auto startedAt = fixture.runUntilStart();
    BOOST_REQUIRE(startedAt.has_value());
    BOOST_TEST(*startedAt >= leaseEnd);
}

// The new life carried the start out just before it answered the fence, and was cut off then.
BOOST_AUTO_TEST_CASE(twice_start_carried_out_just_before_a_fence)
{
    ordered_start fixture;
    const std::string id = fixture.order.worker;
    fixture.restartWorkerOf(fixture.order);
    fixture.now += orderTimeout;
    fixture.deliver(order_outcome::unanswered);
    orders ignored;
    onReport(fixture.cell, fixture.makePoll(id), fixture.reportOf(id), fixture.now, fixture.now,
             ignored);
    BOOST_TEST(fixture.life().number == 1U);
    const orders fenced = fixture.decide();
    const auto poll = std::find_if(fenced.polls.begin(), fenced.polls.end(),
                                   [&](const auto &each) { return each.worker == id; });
    BOOST_REQUIRE((poll != fenced.polls.end()));
    const timestamp sentAt = fixture.now;
    fixture.now += orderTimeout;
    auto answer = fixture.reportOf(id);
    answer.running.push_back({fixture.order.task, fixture.order.attempt, "", 0});
    onReport(fixture.cell, *poll, answer, sentAt, fixture.now, ignored);
    BOOST_TEST(!mayCarryOutFormerOrders(fixture.life()));
    const timestamp leaseEnd = fixture.now + longestLease;
    const auto startedAt = fixture.runUntilStart();
    BOOST_REQUIRE(startedAt.has_value());
    BOOST_TEST(*startedAt >= leaseEnd);
}

// The former life accepted a stop of a run that it had not started; the new life knows of no stop.
BOOST_AUTO_TEST_CASE(twice_stop_accepted_by_the_former_life)
{
    ordered_start fixture(true);
    orders stops;
    stopRun(fixture.cell, fixture.order.task,
            *findTask(fixture.cell.jobs.at("a"), fixture.order.task), fixture.now, stops);
    BOOST_REQUIRE(stops.stops.size() == 1U);
    onStopOutcome(fixture.cell, stops.stops[0], order_outcome::accepted, fixture.now);
    fixture.restartWorkerOf(fixture.order);
    const timestamp leaseEnd = fixture.now + 12 * second + longestLease;
    fixture.now += orderTimeout;
    fixture.deliver(order_outcome::unanswered);
    fixture.listRestart();
    fixture.answerPolls(fixture.out);
    const auto startedAt = fixture.runUntilStart();
    BOOST_REQUIRE(startedAt.has_value());
    BOOST_TEST(*startedAt >= leaseEnd);
}

// The first report of a new life answered a poll from before the restart and lacked the run. The
// start could still reach that life, while the stop had ended with the former one.
BOOST_AUTO_TEST_CASE(twice_stop_ended_by_the_first_report_of_a_new_life)
{
    ordered_start fixture;
    task_state &task = *findTask(fixture.cell.jobs.at("a"), fixture.order.task);
    orders stops;
    stopRun(fixture.cell, fixture.order.task, task, fixture.now, stops);
    BOOST_REQUIRE(stops.stops.size() == 1U);
    onStopOutcome(fixture.cell, stops.stops[0], order_outcome::accepted, fixture.now);
    const timestamp sentAt = fixture.now + stepTime;
    const poll_order poll = fixture.makePoll(fixture.order.worker);
    fixture.restartWorkerOf(fixture.order);
    fixture.now = fixture.restartedAt + stepTime;
    orders ignored;
    onReport(fixture.cell, poll, fixture.reportOf(fixture.order.worker), sentAt, fixture.now,
             ignored);
    BOOST_TEST(fixture.life().number == 1U);
    BOOST_TEST((task.phase == run_phase::stopping));
    BOOST_TEST(fixture.life().runs.count(fixture.order.task) == 1U);
}

// The former life's answer to a fence, read after the registry had shown the new one, counted for
// that one.
BOOST_AUTO_TEST_CASE(twice_fence_answered_by_the_former_life)
{
    ordered_start fixture;
    fixture.deliver(order_outcome::unanswered);
    const orders fenced = fixture.decide();
    const auto fence =
        std::find_if(fenced.polls.begin(), fenced.polls.end(),
                     [&](const auto &poll) { return poll.worker == fixture.order.worker; });
    BOOST_REQUIRE((fence != fenced.polls.end() && fence->fence));
    const timestamp sentAt = fixture.now;
    const auto answer = fixture.reportOf(fixture.order.worker);
    fixture.restartWorkerOf(fixture.order);
    fixture.now = fixture.restartedAt;
    fixture.listRestart();
    orders ignored;
    onReport(fixture.cell, *fence, answer, sentAt, fixture.now, ignored);
    BOOST_TEST(mayCarryOutFormerOrders(fixture.life()));
    BOOST_TEST(fixture.life().needsFence);
}

// A start order that was held back over a pause of the scheduler was sent although its run had been
// released, or its worker had begun another life.
BOOST_AUTO_TEST_CASE(twice_start_held_back_that_is_not_awaited)
{
    ordered_start fixture;
    BOOST_TEST(isAwaited(fixture.cell, fixture.order));
    orders ignored;
    worker_state &worker = fixture.cell.workers.at(fixture.order.worker);
    fixture.restartWorkerOf(fixture.order);
    fixture.now = fixture.restartedAt + stepTime;
    onReport(fixture.cell, fixture.makePoll(fixture.order.worker),
             fixture.reportOf(fixture.order.worker), fixture.now, fixture.now, ignored);
    BOOST_TEST(worker.life.number == 1U);
    BOOST_TEST(!isAwaited(fixture.cell, fixture.order));

    ordered_start released;
    orders out;
    releaseAllRuns(released.cell, released.cell.workers.at(released.order.worker), released.now,
                   out);
    BOOST_TEST(!isAwaited(released.cell, released.order));
}

// The order names the life for which it was built, whatever the phase of its run shows.
BOOST_AUTO_TEST_CASE(twice_start_held_back_for_a_former_life)
{
    ordered_start fixture;
    ++fixture.cell.workers.at(fixture.order.worker).life.number;
    BOOST_TEST(!isAwaited(fixture.cell, fixture.order));
}
