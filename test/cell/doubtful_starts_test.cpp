#define BOOST_TEST_MODULE doubtful_starts
#include <boost/test/unit_test.hpp>

#include "cut_off_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using namespace bramleygrade::testing;

namespace {

constexpr microseconds predecessorGrace = 500 * millisecond;

/// A start order that a predecessor has built after its successor's majority followed it.
struct predecessor_start
{
    const char *name;
    /// Time from the end of the predecessors, as the successor knows it, to the execution.
    microseconds carriedOutAfter;
};

const predecessor_start predecessorStarts[] = {
    {"sent just before, carried out 0.4 s later", 400 * millisecond},
    {"sent 2.4 s after its last confirmation, carried out at once", 2'400 * millisecond},
    {"sent just before, carried out 1.5 s later", 1'500 * millisecond},
};

/// A successor that restores a job of one task, which its predecessor starts.
struct successor : cut_off_fixture
{
    successor(const ordered_start &before, timestamp predecessorsOverAt)
        : cut_off_fixture(2)
    {
        cell.settings.predecessorGrace = predecessorGrace;
        now = predecessorsOverAt;
        beginEpoch(cell, 2, now);
        job_state job;
        job.spec = makeJob("a", {makeStep(1, 1'000)});
        job.policy = policy;
        job.acceptedEpoch = 1;
        restoreJob(cell, job, now);
        for (const worker_entry &entry : entries) {
            restoreWorker(cell, entry, now);
        }
        restartWorkerOf(before.order);
    }
};

} // namespace

// A predecessor sends orders for up to 2.5 s after its last confirmation (`confirmationTimeout`).
// The leases of the known lives count from the confirmation, those of other lives from the
// execution.
BOOST_AUTO_TEST_CASE(
    twice_predecessor_in_the_cut_zone_sends_starts_until_its_confirmation_times_out)
{
    for (const predecessor_start &given : predecessorStarts) {
        BOOST_TEST_CONTEXT(given.name)
        {
            const ordered_start before;
            successor after(before, before.now);
            const timestamp leaseEnd = after.now + given.carriedOutAfter + longestLease;
            after.settle();
            const auto startedAt = after.runUntilStart();
            BOOST_REQUIRE(startedAt.has_value());
            BOOST_TEST(*startedAt >= leaseEnd);
        }
    }
}

// The order is still on its way when the life that has accepted the stop answers a poll without the
// run; the next life, which knows of no stop, carries the order out.
BOOST_AUTO_TEST_CASE(twice_run_absent_after_an_accepted_stop_before_the_outcome_of_its_start)
{
    ordered_start fixture(true);
    orders stops;
    stopRun(fixture.cell, fixture.order.task,
            *findTask(fixture.cell.jobs.at("a"), fixture.order.task), fixture.now, stops);
    onStopOutcome(fixture.cell, stops.stops.at(0), order_outcome::accepted, fixture.now);
    const timestamp carriedOutAt = fixture.now + 300 * millisecond;
    fixture.answerPolls(fixture.out);
    fixture.now += stepTime;
    fixture.answerPolls(fixture.decide());
    fixture.now += stepTime;
    fixture.restartWorkerOf(fixture.order); // cut off from now on
    const auto startedAt = fixture.runUntilStart();
    BOOST_REQUIRE(startedAt.has_value());
    BOOST_TEST(*startedAt >= carriedOutAt + longestLease);
}

// A start that was held back over a pause goes to the address that the registry shows by then. The
// life there is another one; a new worker at the former address proves nothing about it.
BOOST_AUTO_TEST_CASE(twice_held_start_reaches_the_new_address_of_a_worker_that_has_restarted)
{
    ordered_start fixture;
    fixture.restartWorkerOf(fixture.order);
    fixture.now = fixture.restartedAt;
    worker_entry joining = cell_fixture::makeWorker("joining");
    for (worker_entry &entry : fixture.entries) {
        if (entry.id == fixture.order.worker) {
            joining.address = entry.address;
            entry.address = "new:80";
            entry.born = newBorn;
        }
    }
    joining.born = formerBorn;
    fixture.entries.push_back(joining);
    changeWorkers(fixture.cell, fixture.entries, fixture.now);
    const bool isSent = isAwaited(fixture.cell, fixture.order);
    BOOST_TEST(!isSent); // the registry names another life than the order is meant for
    const timestamp leaseEnd = fixture.now + longestLease;
    fixture.now += orderTimeout;
    fixture.deliver(isSent ? order_outcome::unanswered : order_outcome::not_sent);
    fixture.answerPolls(fixture.out);
    const auto startedAt = fixture.runUntilStart();
    BOOST_REQUIRE(startedAt.has_value());
    BOOST_TEST((!isSent || *startedAt >= leaseEnd));
}

// LOST: a task that lasts has a run again 9 s after its worker was lost for good.
BOOST_AUTO_TEST_CASE(lost_lasting_task_whose_worker_crashed_for_good_at_its_start)
{
    ordered_start fixture(false, true);
    fixture.cutOff = fixture.order.worker;
    const timestamp crashedAt = fixture.now;
    fixture.now += orderTimeout;
    fixture.deliver(order_outcome::unanswered);
    fixture.answerPolls(fixture.out);
    const auto startedAt = fixture.runUntilStart();
    BOOST_REQUIRE(startedAt.has_value());
    BOOST_TEST(*startedAt - crashedAt <= 9 * second);
}

// LOST: the same for a job without other runs.
BOOST_AUTO_TEST_CASE(lost_job_of_one_task_whose_worker_crashed_for_good_at_its_start)
{
    ordered_start fixture;
    fixture.cutOff = fixture.order.worker;
    const timestamp crashedAt = fixture.now;
    fixture.now += orderTimeout;
    fixture.deliver(order_outcome::unanswered);
    fixture.answerPolls(fixture.out);
    const auto startedAt = fixture.runUntilStart();
    BOOST_REQUIRE(startedAt.has_value());
    BOOST_TEST(*startedAt - crashedAt <= 9 * second);
}

// A stop that is accepted while its start is answered confirms the run; no other life has it.
BOOST_AUTO_TEST_CASE(start_answered_after_its_stop_is_held_for_the_known_life_only)
{
    ordered_start fixture(true);
    orders stops;
    stopRun(fixture.cell, fixture.order.task,
            *findTask(fixture.cell.jobs.at("a"), fixture.order.task), fixture.now, stops);
    onStopOutcome(fixture.cell, stops.stops.at(0), order_outcome::accepted, fixture.now);
    orders ignored;
    onStartOutcome(fixture.cell, fixture.order, order_outcome::accepted, fixture.now, ignored,
                   fixture.reportOf(fixture.order.worker).workerClock);
    fixture.cutOff = fixture.order.worker;
    const timestamp expiredAt = latestLeaseExpiry(fixture.cell.settings.lease, fixture.now);
    fixture.answerPolls(fixture.out);
    const auto startedAt = fixture.runUntilStart();
    BOOST_REQUIRE(startedAt.has_value());
    BOOST_TEST(*startedAt <= expiredAt + 2 * stepTime);
}

// The only path on which a run would be held for ever without the confirmation of listed runs that
// are being stopped.
BOOST_AUTO_TEST_CASE(run_listed_while_it_is_stopped_is_released_when_its_worker_is_lost)
{
    ordered_start fixture(true);
    fixture.answerPolls(fixture.out);
    orders stops;
    stopRun(fixture.cell, fixture.order.task,
            *findTask(fixture.cell.jobs.at("a"), fixture.order.task), fixture.now, stops);
    fixture.deliver(order_outcome::unanswered);
    fixture.now += stepTime;
    const orders out = fixture.decide();
    for (const poll_order &poll : out.polls) {
        auto answer = fixture.reportOf(poll.worker);
        if (poll.worker == fixture.order.worker) {
            answer.running.push_back({fixture.order.task, fixture.order.attempt, "", 0});
        }
        orders ignored;
        onReport(fixture.cell, poll, answer, fixture.now, fixture.now, ignored);
    }
    fixture.cutOff = fixture.order.worker;
    const auto startedAt = fixture.runUntilStart();
    BOOST_TEST(startedAt.has_value());
}
