#define BOOST_TEST_MODULE late_orders_of_unseen_lives
#include <boost/test/unit_test.hpp>

#include "cut_off_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::cell;
using namespace bramleygrade::testing;

// A life that nothing shows carries out a start of the predecessor late. The successor does not
// know which starts got no answer, and counts the leases from the end of its predecessor on.
BOOST_AUTO_TEST_CASE(twice_late_start_of_a_predecessor_on_a_life_that_nothing_shows)
{
    for (const microseconds late :
         {microseconds {0}, 600 * millisecond, 1'500 * millisecond, 12 * second}) {
        BOOST_TEST_CONTEXT("carried out after " << late / millisecond << " ms")
        {
            const ordered_start before;
            cut_off_fixture after(2);
            after.cell.settings.predecessorGrace = 500 * millisecond;
            after.now = before.now;
            beginEpoch(after.cell, 2, after.now);
            job_state job;
            job.spec = cell_fixture::makeJob("a", {cell_fixture::makeStep(1, 1'000)});
            job.policy = after.policy;
            job.acceptedEpoch = 1;
            restoreJob(after.cell, job, after.now);
            for (const worker_entry &entry : after.entries) {
                restoreWorker(after.cell, entry, after.now);
            }
            after.restartWorkerOf(before.order);
            const timestamp leaseEnd = after.now + late + longestLease;
            after.settle();
            const auto startedAt = after.runUntilStart();
            BOOST_REQUIRE(startedAt.has_value());
            BOOST_TEST(*startedAt >= leaseEnd);
        }
    }
}

// The same for one scheduler. To wait for it, all tasks whose starts got no answer would have no
// run for 18.7 s after a worker is lost for good.
BOOST_AUTO_TEST_CASE(twice_start_carried_out_12_s_late_by_a_life_that_nothing_shows)
{
    ordered_start fixture;
    fixture.restartWorkerOf(fixture.order);
    const timestamp leaseEnd = fixture.now + 12 * second + longestLease;
    fixture.now += orderTimeout;
    fixture.deliver(order_outcome::unanswered);
    fixture.answerPolls(fixture.out);
    const auto startedAt = fixture.runUntilStart();
    BOOST_REQUIRE(startedAt.has_value());
    BOOST_TEST(*startedAt >= leaseEnd);
}
