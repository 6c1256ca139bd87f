#define BOOST_TEST_MODULE takeover
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "cell_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using bramleygrade::testing::cell_fixture;

namespace {

constexpr microseconds noticeTime = 500 * millisecond;
constexpr microseconds stepTime = 20 * millisecond;

/// A scheduler that has loaded a job and a worker of its predecessor `loadTime` after its takeover.
/// The worker, worker-9, is silent; all others report that they have no runs.
struct takeover_fixture : cell_fixture
{
    explicit takeover_fixture(microseconds loadTime)
        : cell_fixture(2, false)
    {
        cell.settings.predecessorGrace = noticeTime;
        tookOverAt = now;
        now += loadTime;
        restoreWorker(cell, makeWorker("worker-9"), now);
        job_state job;
        job.spec = makeJob("a", {makeStep(1, 1'000)});
        job.policy = policy;
        job.acceptedEpoch = 1;
        restoreJob(cell, job, now);
        reconcileAll();
        orders ignored;
        onPollFailed(cell, makePoll("worker-9"), order_outcome::unanswered, now, ignored);
    }

    /// Returns the time from the takeover to the start of the restored task, or -1 if it does not
    /// start within 20 s. An earlier scheduler may have a majority for `minorityTime`.
    microseconds runUntilStart(microseconds minorityTime = 0)
    {
        const timestamp end = tookOverAt + 20 * second;
        for (; now < end; now += stepTime) {
            if (minorityTime > 0) {
                cell.predecessorsOverAt =
                    now < tookOverAt + minorityTime ? distantFuture : tookOverAt + minorityTime;
            }
            const orders out = decide();
            if (!out.starts.empty()) {
                return now - tookOverAt;
            }
            for (const poll_order &poll : out.polls) {
                if (poll.worker == "worker-9") {
                    orders ignored;
                    onPollFailed(cell, poll, order_outcome::unanswered, now, ignored);
                } else {
                    report(poll.worker, {});
                }
            }
        }
        return -1;
    }

    timestamp tookOverAt = distantPast;
};

/// A scheduler whose only task runs on a worker that no longer answers.
struct silent_worker_fixture : cell_fixture
{
    silent_worker_fixture()
    {
        const orders out = run(makeJob("a", {makeStep(1, 1'000)}));
        confirm(out.starts.at(0));
        const std::string worker = out.starts[0].worker;
        orders ignored;
        onPollFailed(cell, makePoll(worker), order_outcome::unanswered, now, ignored);
        leasesExpiredAt = cell.workers.at(worker).life.leasesExpiredAt;
    }

    timestamp leasesExpiredAt = distantPast;
};

} // namespace

// Guards against restored tasks that wait for longer than the leases of a silent worker may last:
// these were counted from the end of the load, and as if granted until 2.5 s later.
BOOST_AUTO_TEST_CASE(lost_restored_tasks_wait_only_for_leases_granted_before_the_takeover)
{
    for (const microseconds loadTime : {0 * second, 1 * second, 3 * second}) {
        takeover_fixture fixture(loadTime);
        const timestamp expiredAt = latestLeaseExpiry(fixture.cell.settings.lease, noticeTime);
        const microseconds waited = fixture.runUntilStart();
        BOOST_TEST(waited > expiredAt);
        BOOST_TEST(waited <= expiredAt + 2 * stepTime);
        BOOST_TEST(waited < 6 * second); // 3 s to settle, and 3 s with nothing running
    }
}

// Guards against tasks with two runs: a scheduler that was cut off from the store with a majority
// of the entries went on beside its successor, which started the tasks of the workers that were cut
// off with it when the leases should have ended (soak, seed 2).
BOOST_AUTO_TEST_CASE(twice_tasks_of_workers_that_are_cut_off_with_a_majority_start_again)
{
    for (const microseconds minorityTime : {100 * millisecond, 3 * second, 10 * second}) {
        BOOST_TEST_CONTEXT("for " << minorityTime / millisecond
                                  << " ms a majority may be elsewhere")
        {
            takeover_fixture fixture(0);
            const timestamp expiredAt =
                minorityTime + latestLeaseExpiry(fixture.cell.settings.lease, noticeTime);
            const microseconds waited = fixture.runUntilStart(minorityTime);
            BOOST_TEST(waited > expiredAt);
            BOOST_TEST(waited <= expiredAt + 2 * stepTime);
        }
    }
}

// The other side of it: the scheduler that was cut off started the tasks of workers that its
// successor reached, and whose leases that had renewed.
BOOST_AUTO_TEST_CASE(twice_tasks_of_silent_workers_start_again_while_an_entry_may_have_taken_over)
{
    silent_worker_fixture fixture;
    const timestamp expiredAt = fixture.leasesExpiredAt;
    fixture.now = expiredAt + 10 * second;
    fixture.cell.confirmedAt = fixture.now; // by a majority
    fixture.cell.noSuccessorAt = expiredAt;
    BOOST_TEST(fixture.decide().starts.empty());
    BOOST_TEST(fixture.cell.awaitsProof); // asks for a write
    fixture.cell.noSuccessorAt = expiredAt + 1;
    BOOST_TEST(fixture.decide().starts.size() == 1U);
    BOOST_TEST(!fixture.cell.awaitsProof);
}

// Jobs that no earlier scheduler knows do not wait, nor do those of earlier ones once each worker
// has answered.
BOOST_AUTO_TEST_CASE(tasks_start_while_a_majority_may_be_elsewhere)
{
    takeover_fixture fixture(0);
    fixture.cell.predecessorsOverAt = distantFuture;
    const orders out = fixture.run(cell_fixture::makeJob("b", {cell_fixture::makeStep(1, 1'000)}));
    BOOST_REQUIRE(out.starts.size() == 1U);
    BOOST_TEST(out.starts[0].task.job == "b");
    fixture.report("worker-9", {});
    BOOST_TEST(fixture.decide().starts.size() == 1U);
}

// The worker refuses earlier schedulers from its first answer on, but may hold a lease of theirs.
BOOST_AUTO_TEST_CASE(twice_runs_of_a_worker_that_is_silent_after_its_first_answer)
{
    takeover_fixture fixture(0);
    fixture.cell.predecessorsOverAt = distantFuture;
    cell::worker_report answer;
    answer.running.push_back({{"a", 0, 0, 0}, 1, "", 10});
    const timestamp answeredAt = fixture.now;
    fixture.report("worker-9", answer);
    orders ignored;
    onPollFailed(fixture.cell, fixture.makePoll("worker-9"), order_outcome::unanswered, fixture.now,
                 ignored);
    const microseconds waited = fixture.tookOverAt + fixture.runUntilStart() - answeredAt;
    BOOST_TEST(waited > strayLeaseExpiry(fixture.cell.settings.lease, 0));
    BOOST_TEST(waited <= strayLeaseExpiry(fixture.cell.settings.lease, 2 * stepTime));
}

// A successor relies on it: the leases of its predecessor end by a time that it knows.
BOOST_AUTO_TEST_CASE(leases_are_granted_from_the_last_confirmation_on)
{
    struct row
    {
        const char *name;
        timestamp confirmedAgo;
        microseconds lost;
    };
    const row rows[] = {{"confirmed now", 0, 0},
                        {"confirmed a while ago", 2 * second, 2 * second},
                        {"cannot be superseded", -1'000 * second, 0}};
    for (const row &entry : rows) {
        cell_fixture fixture;
        fixture.cell.confirmedAt = fixture.now - entry.confirmedAgo;
        const timestamp leaseEnd = fixture.now + fixture.cell.settings.lease.longest - entry.lost;
        fixture.report("worker-1", {}); // is polled anew
        const orders out =
            fixture.run(cell_fixture::makeJob("a", {cell_fixture::makeStep(3, 8'000)}));
        BOOST_TEST(out.starts.size() == 3U, entry.name);
        for (const start_order &start : out.starts) {
            BOOST_TEST(start.leaseUntil == leaseEnd, entry.name);
        }
        BOOST_REQUIRE(out.polls.size() >= 1U);
        for (const poll_order &poll : out.polls) {
            BOOST_TEST(poll.leaseUntil == leaseEnd, entry.name);
        }
    }
}

// The worker is cut off while it holds a poll, and comes back just after a repeated poll was sent,
// which is given up before the next one.
BOOST_AUTO_TEST_CASE(short_runs_survive_when_their_worker_is_silent_for_three_seconds)
{
    constexpr microseconds silence = 3 * second;
    constexpr microseconds reportTimeoutMargin = 600 * millisecond;
    constexpr microseconds repetitionInterval = 850 * millisecond;
    cell_fixture fixture;
    const auto out = fixture.run(cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)}));
    fixture.confirm(out.starts.at(0));
    fixture.report(out.starts[0].worker, {});
    const orders next = fixture.decide();
    const auto poll = std::find_if(next.polls.begin(), next.polls.end(), [&](const auto &order) {
        return order.worker == out.starts[0].worker;
    });
    BOOST_REQUIRE((poll != next.polls.end()));
    const timestamp silentFrom = fixture.now + poll->wait;
    BOOST_TEST(poll->leaseUntil > silentFrom + silence + repetitionInterval - millisecond);
    BOOST_TEST(poll->wait + reportTimeoutMargin < silence);
}

// Guards against a task that a superseded scheduler started again, when the leases that it had
// granted were over but its successor had renewed them (cell_histories 579 1 deadly).
BOOST_AUTO_TEST_CASE(lost_leases_that_a_successor_may_have_renewed)
{
    silent_worker_fixture fixture;
    fixture.cell.confirmedAt = fixture.now;
    fixture.now = fixture.leasesExpiredAt + stepTime;
    BOOST_TEST(fixture.decide().starts.empty());
    fixture.cell.confirmedAt = fixture.now;
    BOOST_TEST(fixture.decide().starts.size() == 1U);
}

// Guards against restored tasks that waited five seconds for registry entries without a worker
// behind them: a worker that is not in the stored list cannot have runs of the predecessor.
BOOST_AUTO_TEST_CASE(lost_restored_tasks_wait_for_entries_that_nobody_serves)
{
    cell_fixture fixture(2, false);
    fixture.entries.clear();
    for (int number = 1; number <= 200; ++number) {
        fixture.entries.push_back(cell_fixture::makeWorker("dead-" + std::to_string(number)));
    }
    fixture.entries.push_back(cell_fixture::makeWorker("worker-1"));
    restoreWorker(fixture.cell, fixture.entries.back(), fixture.now);
    job_state job;
    job.spec = cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)});
    job.policy = fixture.policy;
    job.acceptedEpoch = 1;
    restoreJob(fixture.cell, job, fixture.now);
    changeWorkers(fixture.cell, fixture.entries, fixture.now);
    fixture.decide();
    fixture.report("worker-1", {});
    fixture.store();
    const orders out = fixture.decide();
    BOOST_REQUIRE(out.starts.size() == 1U);
    BOOST_TEST(out.starts[0].worker == "worker-1");
}

// Guards against entries without a worker that take part in the list of workers, in the capacity of
// the cell and in most polls.
BOOST_AUTO_TEST_CASE(lost_cell_beside_hundreds_of_entries_that_nobody_serves)
{
    constexpr int deadEntries = 500;
    constexpr microseconds pollTimeout = 600 * millisecond;
    cell_fixture fixture;
    for (int number = 1; number <= deadEntries; ++number) {
        worker_entry dead = cell_fixture::makeWorker("dead-" + std::to_string(number));
        dead.capacity = {1'000'000'000'000, 1'000'000'000'000, 0};
        fixture.entries.insert(fixture.entries.begin(), dead);
    }
    changeWorkers(fixture.cell, fixture.entries, fixture.now);
    std::multimap<timestamp, poll_order> open;
    std::size_t polls = 0;
    std::size_t openAtMost = 0;
    std::size_t firstPolls = 0;
    constexpr microseconds length = 30 * second;
    for (const timestamp end = fixture.now + length; fixture.now < end; fixture.now += stepTime) {
        while (!open.empty() && open.begin()->first <= fixture.now) {
            orders ignored;
            onPollFailed(fixture.cell, open.begin()->second, order_outcome::unanswered, fixture.now,
                         ignored);
            open.erase(open.begin());
        }
        for (const poll_order &poll : fixture.decide().polls) {
            if (poll.worker.rfind("dead-", 0) == 0) {
                open.emplace(fixture.now + pollTimeout, poll);
                ++polls;
            } else {
                fixture.report(poll.worker, {});
            }
        }
        firstPolls = firstPolls == 0 ? polls : firstPolls;
        openAtMost = polls == firstPolls ? openAtMost : std::max(openAtMost, open.size());
    }
    BOOST_TEST(firstPolls == static_cast<std::size_t>(deadEntries));
    BOOST_TEST(openAtMost <= 64U);
    BOOST_TEST(polls - firstPolls <= 64U * static_cast<std::size_t>(length / pollTimeout));
    BOOST_TEST(polls - firstPolls > 0U);
    BOOST_TEST(fixture.cell.unstored.empty());
    for (const auto &[id, worker] : fixture.cell.workers) {
        BOOST_TEST(worker.listRow.has_value() == (id.rfind("dead-", 0) != 0), id);
    }
    // A worker behind an entry is used once it answers.
    fixture.report("dead-400", {});
    fixture.store();
    BOOST_TEST(isUsable(fixture.cell.workers.at("dead-400"), fixture.now));
}
