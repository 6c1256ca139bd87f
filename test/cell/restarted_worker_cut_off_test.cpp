#define BOOST_TEST_MODULE restarted_worker_cut_off
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

#include "cell_fixture.h"
#include "entry/rows.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using bramleygrade::testing::cell_fixture;

namespace {

constexpr std::int64_t formerBorn = 1'790'000'000'000;
constexpr std::int64_t newBorn = formerBorn + 60'000;
constexpr microseconds stepTime = 20 * millisecond;
constexpr microseconds orderTimeout = 400 * millisecond;
constexpr microseconds downTime = 50 * millisecond;
/// Longest time for which a lease lasts on a worker whose clock is 2 % slow.
constexpr microseconds longestLease = 6'120 * millisecond;

/// How a worker that starts again under its id carries out a start order meant for its former life.
struct late_start
{
    const char *name;
    /// Time from the sending of the order.
    microseconds carriedOutAfter;
    /// The scheduler receives the answer of the new life, before the worker is cut off.
    bool isAnswered;
    /// The registry shows the new life.
    bool isListed;
};

const late_start lateStarts[] = {
    {"in time, without an answer", 300 * millisecond, false, true},
    {"in time, with an answer", 300 * millisecond, true, true},
    {"in time, with an answer; the registry shows the former life", 300 * millisecond, true, false},
    {"after 1.5 s", 1'500 * millisecond, false, true},
    {"after 2.5 s", 2'500 * millisecond, false, true},
    {"after 12 s", 12 * second, false, true},
};

/// Three workers and a job of one task. The worker that is to start it crashes, starts again under
/// its id, carries out the order and is cut off.
struct cut_off_fixture : cell_fixture
{
    explicit cut_off_fixture(std::int64_t epoch = 1)
        : cell_fixture(epoch, false)
    {
        for (worker_entry &entry : entries) {
            entry.born = formerBorn;
        }
        cell.workers.clear();
    }

    void settle()
    {
        changeWorkers(cell, entries, now);
        for (int round = 0; round < 3; ++round) {
            answerPolls(decide());
            store();
            now += stepTime;
        }
    }

    /// Delivers the outcomes of the polls: answers of all workers but the one that is cut off.
    void answerPolls(const orders &out)
    {
        for (const poll_order &poll : out.polls) {
            orders ignored;
            if (poll.worker == cutOff) {
                onPollFailed(cell, poll, order_outcome::unanswered, now, ignored);
            } else {
                onReport(cell, poll, reportOf(poll.worker), now, now, ignored);
            }
        }
    }

    bramleygrade::cell::worker_report reportOf(const std::string &worker) const
    {
        bramleygrade::cell::worker_report report;
        report.born = worker == restarted ? newBorn : formerBorn;
        report.workerClock = worker == restarted ? now - restartedAt : now;
        return report;
    }

    void restartWorkerOf(const start_order &order)
    {
        restarted = order.worker;
        cutOff = order.worker;
        restartedAt = now + downTime;
    }

    void listRestart()
    {
        const auto entry = std::find_if(entries.begin(), entries.end(),
                                        [&](const auto &listed) { return listed.id == restarted; });
        entry->born = newBorn;
        changeWorkers(cell, entries, now);
    }

    /// Lets the new life carry out the order; returns the latest end of the lease.
    timestamp carryOut(const start_order &order, const late_start &given)
    {
        const timestamp sentAt = now;
        now = restartedAt;
        if (given.isListed) {
            listRestart();
        }
        const timestamp carriedOutAt = sentAt + given.carriedOutAfter;
        now = given.isAnswered ? carriedOutAt : sentAt + orderTimeout;
        orders ignored;
        onStartOutcome(cell, order,
                       given.isAnswered ? order_outcome::accepted : order_outcome::unanswered, now,
                       ignored, given.isAnswered ? now - restartedAt : 0);
        return carriedOutAt + longestLease;
    }

    /// Returns the time of the next start of a task; nothing if there is none within 30 s.
    std::optional<timestamp> runUntilStart()
    {
        for (const timestamp end = now + 30 * second; now < end; now += stepTime) {
            const orders out = decide();
            store();
            if (!out.starts.empty()) {
                return now;
            }
            answerPolls(out);
        }
        return std::nullopt;
    }

    std::string restarted;
    std::string cutOff;
    timestamp restartedAt = distantPast;
};

} // namespace

// Guards against tasks that ran twice: the life that took the order held a lease of the full length
// from then on, while the scheduler counted it from the sending.
BOOST_AUTO_TEST_CASE(twice_start_carried_out_by_a_new_life_that_is_cut_off)
{
    for (const late_start &given : lateStarts) {
        BOOST_TEST_CONTEXT(given.name)
        {
            cut_off_fixture fixture;
            fixture.settle();
            const orders out =
                fixture.run(cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)}));
            BOOST_REQUIRE(out.starts.size() == 1U);
            fixture.restartWorkerOf(out.starts[0]);
            const timestamp leaseEnd = fixture.carryOut(out.starts[0], given);
            fixture.answerPolls(out);
            const auto startedAt = fixture.runUntilStart();
            BOOST_REQUIRE(startedAt.has_value());
            BOOST_TEST(*startedAt >= leaseEnd);
        }
    }
}

// The successor of the scheduler that gave the order counted the leases in the same way.
BOOST_AUTO_TEST_CASE(twice_start_carried_out_by_a_new_life_before_a_takeover)
{
    for (const late_start &given : lateStarts) {
        if (!given.isListed) {
            continue; // nothing shows the restart to a successor
        }
        BOOST_TEST_CONTEXT(given.name)
        {
            cut_off_fixture before;
            before.settle();
            const orders out =
                before.run(cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)}));
            BOOST_REQUIRE(out.starts.size() == 1U);
            cut_off_fixture after(2);
            after.cell.settings.predecessorGrace = 500 * millisecond;
            after.now = before.now;
            beginEpoch(after.cell, 2, after.now);
            const timestamp leaseEnd = after.now + given.carriedOutAfter + longestLease;
            after.restartWorkerOf(out.starts[0]);
            job_state job;
            job.spec = cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)});
            job.policy = after.policy;
            job.acceptedEpoch = 1;
            restoreJob(after.cell, job, after.now);
            for (const worker_entry &entry : after.entries) {
                restoreWorker(after.cell, entry, after.now);
            }
            after.settle();
            after.listRestart();
            const auto startedAt = after.runUntilStart();
            BOOST_REQUIRE(startedAt.has_value());
            BOOST_TEST(*startedAt >= leaseEnd);
        }
    }
}

// A worker that is cut off without a restart keeps nobody waiting beyond its leases.
BOOST_AUTO_TEST_CASE(tasks_of_a_worker_that_has_not_restarted_start_again_when_its_leases_end)
{
    for (const bool isAnswered : {true, false}) {
        cut_off_fixture fixture;
        fixture.settle();
        const orders out =
            fixture.run(cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)}));
        BOOST_REQUIRE(out.starts.size() == 1U);
        fixture.cutOff = out.starts[0].worker;
        orders ignored;
        onStartOutcome(fixture.cell, out.starts[0],
                       isAnswered ? order_outcome::accepted : order_outcome::unanswered,
                       fixture.now, ignored, isAnswered ? fixture.now : 0);
        const timestamp expiredAt = latestLeaseExpiry(fixture.cell.settings.lease, fixture.now);
        fixture.answerPolls(out);
        const auto startedAt = fixture.runUntilStart();
        BOOST_REQUIRE(startedAt.has_value());
        BOOST_TEST(*startedAt > expiredAt);
        BOOST_TEST(*startedAt <= expiredAt + 2 * stepTime);
    }
}

namespace {

/// A start order of a job of one task whose worker has answered for a while.
struct ordered_start : cut_off_fixture
{
    explicit ordered_start(bool isGang = false)
    {
        settle();
        step_spec step = makeStep(1, 1'000);
        step.gang = isGang;
        out = run(makeJob("a", {step}));
        BOOST_REQUIRE(out.starts.size() == 1U);
        order = out.starts[0];
    }

    void deliver(order_outcome outcome)
    {
        orders ignored;
        onStartOutcome(cell, order, outcome, now, ignored);
    }

    const worker_life &life() const { return cell.workers.at(order.worker).life; }

    orders out;
    start_order order;
};

} // namespace

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
