#define BOOST_TEST_MODULE worker_loss
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "cell_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using bramleygrade::testing::cell_fixture;

namespace {

constexpr microseconds stepTime = 20 * millisecond;

/// What the scheduler learns of a worker that goes on running a task without being able to report.
struct loss_signs
{
    const char *name;
    bool draining;
    bool listed;
    /// The registry lists the worker at an address where another process answers.
    bool listedElsewhere;
    order_outcome poll;
    /// The start order of the task was answered.
    bool startConfirmed;
};

const loss_signs signsOfLoss[] = {
    {"drains, unlisted, refuses connections", true, false, false, order_outcome::not_sent, true},
    {"drains, unlisted, silent", true, false, false, order_outcome::unanswered, true},
    {"drains, unlisted, start unanswered", true, false, false, order_outcome::not_sent, false},
    {"drains, refuses connections", true, true, false, order_outcome::not_sent, true},
    {"unlisted, refuses connections", false, false, false, order_outcome::not_sent, true},
    {"unlisted, silent", false, false, false, order_outcome::unanswered, true},
    {"listed at the address of another worker", false, true, true,
     order_outcome::refused_incarnation, true},
    {"drains, listed at the address of another worker", true, true, true,
     order_outcome::refused_incarnation, true},
};

/// A cell in which one worker runs a task and cannot be reached.
struct lost_worker_fixture : cell_fixture
{
    explicit lost_worker_fixture(const loss_signs &given)
        : signs(given)
    {
        const orders out = run(makeJob("a", {makeStep(1, 1'000)}));
        start = out.starts.at(0);
        orders ignored;
        onStartOutcome(cell, start,
                       signs.startConfirmed ? order_outcome::accepted : order_outcome::unanswered,
                       now, ignored);
        const lease_limits &limits = cell.settings.lease;
        leasesExpiredAt = signs.startConfirmed
            ? cell.workers.at(start.worker).life.leasesExpiredAt
            : strayLeaseExpiry(limits, now + limits.unseenOrderDelay);
        changeRegistry();
        failPoll();
    }

    /// The registry shows that the worker drains before its entry is removed or changes.
    void changeRegistry()
    {
        const auto lost = std::find_if(entries.begin(), entries.end(),
                                       [&](const auto &entry) { return entry.id == start.worker; });
        lost->draining = signs.draining;
        changeWorkers(cell, entries, now);
        if (signs.listedElsewhere) {
            lost->address = "another:80";
        }
        if (!signs.listed) {
            entries.erase(lost);
        }
        changeWorkers(cell, entries, now);
    }

    void failPoll()
    {
        orders ignored;
        onPollFailed(cell, makePoll(start.worker), signs.poll, now, ignored);
    }

    /// Returns the time at which the task is started again; `distantFuture`: not within 20 s.
    timestamp runUntilRestart()
    {
        for (const timestamp end = now + 20 * second; now < end; now += stepTime) {
            const orders out = decide();
            store();
            if (!out.starts.empty()) {
                return now;
            }
            for (const poll_order &poll : out.polls) {
                if (poll.worker == start.worker) {
                    orders ignored;
                    onPollFailed(cell, poll, signs.poll, now, ignored);
                } else {
                    report(poll.worker, {});
                }
            }
        }
        return distantFuture;
    }

    loss_signs signs;
    start_order start;
    timestamp leasesExpiredAt = distantPast;
};

} // namespace

// Guards against tasks of a worker that was cut off while it drained: they were started elsewhere
// once its entry was removed, and ran on both workers until its leases ended.
BOOST_AUTO_TEST_CASE(twice_tasks_of_an_unreachable_worker_start_again_before_its_leases_end)
{
    for (const loss_signs &signs : signsOfLoss) {
        BOOST_TEST_CONTEXT(signs.name)
        {
            lost_worker_fixture fixture(signs);
            const timestamp restartedAt = fixture.runUntilRestart();
            BOOST_TEST(restartedAt > fixture.leasesExpiredAt);
            BOOST_TEST(restartedAt <= fixture.leasesExpiredAt + 2 * stepTime);
        }
    }
}

// Another process at the address where the worker has answered proves that the worker has ended.
BOOST_AUTO_TEST_CASE(tasks_start_again_at_once_when_another_process_answers_at_the_address)
{
    const loss_signs replaced {"replaced", false, true, false, order_outcome::refused_incarnation,
                               true};
    lost_worker_fixture fixture(replaced);
    const timestamp provedAt = fixture.now;
    BOOST_TEST(fixture.runUntilRestart() <= provedAt + 2 * stepTime);
}

// The other processes' answers at a worker's former address prove nothing about the worker.
BOOST_AUTO_TEST_CASE(twice_tasks_start_again_as_a_new_worker_answers_at_an_address_never_used)
{
    cell_fixture fixture;
    const orders out = fixture.run(cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)}));
    const std::string busy = out.starts.at(0).worker;
    fixture.confirm(out.starts[0]);
    // An entry shows the busy worker at the address of a worker that is about to join.
    for (worker_entry &entry : fixture.entries) {
        entry.address = entry.id == busy ? "new:80" : entry.address;
    }
    worker_entry joining = cell_fixture::makeWorker("joining");
    joining.address = "new:80";
    fixture.entries.push_back(joining);
    changeWorkers(fixture.cell, fixture.entries, fixture.now);
    fixture.store();
    fixture.now += stepTime;
    fixture.decide();
    fixture.now += stepTime;
    fixture.report("joining", {});
    BOOST_TEST(fixture.decide().starts.empty());
}
