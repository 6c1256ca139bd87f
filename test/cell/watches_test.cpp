#define BOOST_TEST_MODULE watches
#include <boost/test/unit_test.hpp>

#include "cell/workers/worker_list.h"
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
        cell::queue_policy queue;
        queue.name = "queue";
        queue.service = "booking";
        entry.config.version = 1;
        entry.config.queues.push_back(queue);
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
            worker.service = row.value == "other" ? "other" : "booking";
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

// Guards against entries of other programs that become part of the stored list of workers: one with
// a service of 60,000 letters kept every scheduler from writing (review case 6).
BOOST_FIXTURE_TEST_CASE(lost_cell_beside_registry_entries_that_name_no_worker, registry_fixture)
{
    const std::string longest(cell::maxWorkerTextBytes, '"');
    entry.ports.codec.decodeWorker = [](const stored_row &row, cell::worker_entry &worker) {
        worker.id = row.key;
        worker.service = row.value;
        worker.capacity.cpuMilli = 8'000;
        return worker.service.size() <= cell::maxWorkerTextBytes;
    };
    registry.rows = {makeRow("worker-1", "booking")};
    for (int number = 0; number < 400; ++number) {
        registry.rows.push_back(makeRow("other-" + std::to_string(number), longest));
        registry.rows.push_back(
            makeRow("long-" + std::to_string(number), std::string(60'000, 'a')));
    }
    watchWorkers(entry, 1);
    runUntilWatched(1);
    BOOST_TEST(entry.leaderState->registry.size() == 1U);
    BOOST_TEST(entry.leaderState->cell.workers.size() == 1U);
    BOOST_TEST(entry.metrics.counters.at("worker_entries_ignored_total") == 800U);
    // Entries that come and go cause neither decisions nor writes.
    for (int round = 1; round <= 3; ++round) {
        stored_row removed = makeRow("other-1", "");
        removed.removed = round % 2 == 1;
        removed.value = longest;
        BOOST_TEST(!change({removed}));
        runUntilWatched(1 + round);
    }
    BOOST_TEST(entry.leaderState->cell.unstored.empty());
}

// Guards against workers that are not used, as their entries were ignored before the configuration
// sent work to their service.
BOOST_FIXTURE_TEST_CASE(workers_of_a_new_service_are_read_again, registry_fixture)
{
    registry.rows.push_back(makeRow("worker-3", "other"));
    entry.ports.codec.decodeConfig = [this](const stored_row &, cell::cell_config &config) {
        config = entry.config;
        ++config.version;
        config.queues.resize(1);
        if (config.version == 2) {
            config.queues.push_back(config.queues.front());
            config.queues.back().name = "queue-2";
            config.queues.back().service = "other";
        }
        return true;
    };
    watchWorkers(entry, 1);
    runUntilWatched(1);
    BOOST_TEST(entry.leaderState->cell.workers.count("worker-3") == 0U);
    applyConfigRow(entry, {});
    runUntilWatched(2);
    BOOST_REQUIRE(entry.leaderState->cell.workers.count("worker-3") == 1U);
    BOOST_TEST(entry.leaderState->cell.workers.at("worker-3").listed);
    applyConfigRow(entry, {});
    BOOST_TEST(!entry.leaderState->cell.workers.at("worker-3").listed);
    BOOST_TEST(entry.leaderState->cell.workers.at("worker-1").listed);
}

// The workers of a queue that the configuration no longer has are used until its jobs have ended.
BOOST_FIXTURE_TEST_CASE(lost_job_of_a_queue_that_was_removed, registry_fixture)
{
    registry.rows.push_back(makeRow("worker-3", "other"));
    cell::job_state job;
    job.spec.id = "a";
    job.spec.steps.resize(1);
    job.policy.service = "other";
    cell::restoreJob(entry.leaderState->cell, job, steadyNow());
    watchWorkers(entry, 1);
    runUntilWatched(1);
    BOOST_TEST(entry.leaderState->cell.workers.count("worker-3") == 1U);
}
