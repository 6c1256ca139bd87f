#define BOOST_TEST_MODULE restarted_worker_cut_off
#include <boost/test/unit_test.hpp>

#include "cut_off_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using namespace bramleygrade::testing;

namespace {

const late_start lateStarts[] = {
    {"in time, without an answer", 300 * millisecond, false, true},
    {"in time, with an answer", 300 * millisecond, true, true},
    {"in time, with an answer; the registry shows the former life", 300 * millisecond, true, false},
    {"after 1.5 s", 1'500 * millisecond, false, true},
    {"after 2.5 s", 2'500 * millisecond, false, true},
    {"after 12 s", 12 * second, false, true},
};

} // namespace

// Guards against tasks that ran twice: the life that took the order held a lease of the full length
// from then on, while the scheduler counted it from the sending.
BOOST_AUTO_TEST_CASE(twice_start_carried_out_by_a_new_life_that_is_cut_off)
{
    for (const late_start &given : lateStarts) {
        BOOST_TEST_CONTEXT(given.name)
        {
            ordered_start fixture;
            fixture.restartWorkerOf(fixture.order);
            const timestamp leaseEnd = fixture.carryOut(fixture.order, given);
            fixture.answerPolls(fixture.out);
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
            const ordered_start before;
            cut_off_fixture after(2);
            after.cell.settings.predecessorGrace = 500 * millisecond;
            after.now = before.now;
            beginEpoch(after.cell, 2, after.now);
            const timestamp leaseEnd = after.now + given.carriedOutAfter + longestLease;
            after.restartWorkerOf(before.order);
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

// A worker that is cut off keeps nobody waiting beyond the leases that its lives may hold: those of
// the known life, and of a later one that may have taken a start without an answer.
BOOST_AUTO_TEST_CASE(tasks_of_a_worker_that_has_not_restarted_start_again_when_its_leases_end)
{
    for (const bool isAnswered : {true, false}) {
        ordered_start fixture;
        fixture.cutOff = fixture.order.worker;
        orders ignored;
        onStartOutcome(fixture.cell, fixture.order,
                       isAnswered ? order_outcome::accepted : order_outcome::unanswered,
                       fixture.now, ignored, isAnswered ? fixture.now : 0);
        const lease_limits &limits = fixture.cell.settings.lease;
        const timestamp expiredAt = isAnswered
            ? latestLeaseExpiry(limits, fixture.now)
            : strayLeaseExpiry(limits, fixture.now + limits.unseenOrderDelay);
        fixture.answerPolls(fixture.out);
        const auto startedAt = fixture.runUntilStart();
        BOOST_REQUIRE(startedAt.has_value());
        BOOST_TEST(*startedAt > expiredAt);
        BOOST_TEST(*startedAt <= expiredAt + 2 * stepTime);
    }
}
