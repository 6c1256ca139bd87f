#define BOOST_TEST_MODULE watches
#include <boost/test/included/unit_test.hpp>

#include "entry/entry.h"
#include "entry/state_dump.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;

namespace {

/// A scheduler whose registry is answered by the test.
struct registry_fixture
{
    registry_fixture()
        : entry(loop, makeSettings())
    {
        entry.role = entry_role::scheduler;
        entry.epoch = 1;
        entry.leaderState = std::make_unique<leader_state>();
        entry.leaderState->cell.epoch = 1;
        entry.ports.store.read = [this](const row_range &range, const read_limits &,
                                        const store_completion &done) {
            done(range.table == headTable ? head : registry);
        };
        entry.ports.store.watch = [this](const std::string &, std::int64_t, microseconds,
                                         const read_limits &, const store_completion &done) {
            ++watches;
            answerWatch = done;
        };
        entry.ports.store.write = [](const table_write &, timestamp, const store_completion &) {};
        entry.ports.workers.poll = [](const std::string &, const cell::poll_order &, timestamp,
                                      const auto &) {};
        entry.ports.codec.decodeWorker = [](const stored_row &row, cell::worker_entry &worker) {
            worker.id = row.key;
            worker.draining = row.value == "draining";
            worker.capacity.cpuMilli = row.value == "small" ? 1'000 : 8'000;
            return true;
        };
        registry.outcome = store_outcome::done;
        registry.version = 5;
        registry.rows = {makeRow("worker-1", "ready"), makeRow("worker-2", "ready")};
    }

    static cell_settings makeSettings()
    {
        cell_settings settings;
        settings.name = "entry-1";
        settings.peerAddress = "127.0.0.1:1";
        settings.logLinesPerSecond = 0;
        return settings;
    }

    static stored_row makeRow(const std::string &key, const std::string &value)
    {
        return {"registry", key, value, 6, false};
    }

    static store_result makeHead()
    {
        store_result result;
        result.outcome = store_outcome::done;
        result.rows = {
            {headTable, headKey, encodeHead({1, 1, "entry-1", "127.0.0.1:1", ""}), 1, false}};
        return result;
    }

    /// Runs the event loop, with timers, until the registry is watched again.
    void runUntilWatched(int times)
    {
        const timestamp endsAt = steadyNow() + 5 * second;
        while (watches < times && steadyNow() < endsAt) {
            loop.restart();
            loop.run_for(std::chrono::milliseconds(5));
        }
        BOOST_REQUIRE(watches == times);
    }

    /// Answers the watch with one row. Returns whether a decision was requested.
    bool change(const std::string &key, const std::string &value)
    {
        return change({makeRow(key, value)});
    }

    bool change(const std::vector<stored_row> &rows)
    {
        entry.leaderState->isDecisionPosted = false;
        store_result result;
        result.outcome = store_outcome::done;
        result.version = 7;
        result.rows = rows;
        const store_completion answer = answerWatch;
        answer(result);
        return entry.leaderState->isDecisionPosted;
    }

    boost::asio::io_context loop;
    entry_state entry;
    store_result registry;
    store_result head = makeHead();
    store_completion answerWatch;
    int watches = 0;
};

} // namespace

// Guards against a scheduler that spends its time on heartbeats: each of hundreds a second copied
// the registry and caused a decision.
BOOST_FIXTURE_TEST_CASE(short_scheduler_busy_with_worker_heartbeats, registry_fixture)
{
    watchWorkers(entry, 1);
    runUntilWatched(1);
    BOOST_REQUIRE(entry.leaderState->cell.workers.size() == 2U);
    entry.leaderState->cell.needsPlacement = false;
    BOOST_TEST(!change("worker-1", "ready"));
    BOOST_TEST(!entry.leaderState->cell.needsPlacement);
}

BOOST_FIXTURE_TEST_CASE(changes_of_the_registry_are_applied_at_once, registry_fixture)
{
    watchWorkers(entry, 1);
    runUntilWatched(1);
    BOOST_TEST(change("worker-1", "draining"));
    BOOST_TEST(entry.leaderState->cell.workers.at("worker-1").entry.draining);
    runUntilWatched(2);
    BOOST_TEST(change("worker-3", "ready"));
    BOOST_TEST(entry.leaderState->cell.workers.count("worker-3") == 1U);
}

BOOST_FIXTURE_TEST_CASE(registry_is_not_watched_after_the_epoch_has_ended, registry_fixture)
{
    watchWorkers(entry, 1);
    runUntilWatched(1);
    change("worker-1", "ready");
    entry.epoch = 2;
    loop.restart();
    loop.run_for(std::chrono::milliseconds(200));
    BOOST_TEST(watches == 1);
}

// A new worker is used only once the head row was read again; a change of a known worker in the
// same answer waited for that too.
BOOST_FIXTURE_TEST_CASE(limit_shrunk_capacity_that_waits_for_a_new_worker, registry_fixture)
{
    watchWorkers(entry, 1);
    runUntilWatched(1);
    head.outcome = store_outcome::unanswered;
    change({makeRow("worker-1", "small"), makeRow("worker-3", "ready")});
    const cell::scheduler &cell = entry.leaderState->cell;
    BOOST_TEST(cell.workers.at("worker-1").entry.capacity.cpuMilli == 1'000);
    BOOST_TEST(cell.workers.count("worker-3") == 0U);
    head = makeHead();
    runUntilWatched(2);
    BOOST_TEST(cell.workers.count("worker-3") == 1U);
}

BOOST_FIXTURE_TEST_CASE(limit_overcommitted_worker_that_no_operator_sees, registry_fixture)
{
    watchWorkers(entry, 1);
    runUntilWatched(1);
    entry.leaderState->cell.workers.at("worker-1").life.used = {4'000, 100, 0};
    entry.log.linesPerSecond = 100;
    const std::string line = R"("worker":"worker-1","before":"8000/0/0","capacity":"1000/0/0",)"
                             R"("used":"4000/100/0","overcommitted":"yes")";
    change("worker-1", "ready");
    BOOST_TEST(entry.log.pending.find("worker_capacity_changed") == std::string::npos);
    runUntilWatched(2);
    change("worker-1", "small");
    BOOST_TEST(entry.log.pending.find(line) != std::string::npos);
    refreshGauges(entry);
    BOOST_TEST(entry.metrics.gauges.at("workers_overcommitted") == 1);
}
