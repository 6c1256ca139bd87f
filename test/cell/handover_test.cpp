#define BOOST_TEST_MODULE handover
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "entry/entry.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;
using bramleygrade::testing::cell_fixture;

namespace {

/// A small scheduler beside an entry with a much larger processor share, and one restored worker.
struct handover_fixture
{
    handover_fixture()
    {
        entry.settings.name = "entry-1";
        entry.settings.processorMilli = 120;
        entry.members["entry-2"] = "127.0.0.1:1";
        entry.processorShares["entry-2"] = 500;
        entry.role = entry_role::scheduler;
        entry.leaderState = std::make_unique<leader_state>();
        cell::beginEpoch(entry.leaderState->cell, 2, steadyNow());
        cell::restoreWorker(entry.leaderState->cell, cell_fixture::makeWorker("worker"),
                            steadyNow());
    }

    boost::asio::io_context loop;
    entry_state entry {loop, cell_settings()};
};

} // namespace

// Guards against restored tasks that wait twice for the leases of silent workers: a scheduler
// handed over to a larger entry while it waited, and its successor began anew (bench day scale-2 of
// the large site).
BOOST_FIXTURE_TEST_CASE(lost_wait_for_workers_begins_anew_at_a_planned_handover, handover_fixture)
{
    struct row
    {
        const char *name;
        bool reconciled;
        microseconds led;
        bool due;
    };
    const row rows[] = {{"just taken over", true, 1 * second, false},
                        {"all workers reconciled", true, 3 * second, true},
                        {"a worker is silent", false, 3 * second, false},
                        {"a worker stays silent", false, 9 * second, true}};
    cell::scheduler &cell = entry.leaderState->cell;
    for (const row &expected : rows) {
        cell.workers.at("worker").life.reconciled = expected.reconciled;
        cell.tookOverAt = steadyNow() - expected.led;
        BOOST_TEST(isHandoverToLargerDue(entry, steadyNow()) == expected.due, expected.name);
    }
}
