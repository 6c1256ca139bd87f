#define BOOST_TEST_MODULE membership
#include <boost/test/unit_test.hpp>

#include "entry/entry.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;

namespace {

/// A follower whose store calls are recorded and answered by the test.
struct follower_fixture
{
    follower_fixture()
        : entry(loop, makeSettings())
    {
        entry.epoch = 3;
        entry.scheduler = {"entry-2", "127.0.0.1:2"};
        entry.members["entry-2"] = "127.0.0.1:2";
        entry.ports.store.write = [this](const table_write &, timestamp,
                                         const store_completion &done) { writes.push_back(done); };
        entry.ports.store.read = [this](const row_range &, const read_limits &,
                                        const store_completion &done) { reads.push_back(done); };
    }

    static cell_settings makeSettings()
    {
        cell_settings settings;
        settings.name = "entry-1";
        settings.peerAddress = "127.0.0.1:1";
        settings.logLinesPerSecond = 0;
        return settings;
    }

    static stored_row makeHeadRow(std::int64_t epoch, const std::string &scheduler)
    {
        return {headTable, headKey, encodeHead({epoch, 0, scheduler, "127.0.0.1:9", "life"}), 50,
                false};
    }

    /// Runs the event loop's timer at `now`; the scheduler was last seen at `seenAt`.
    void turn(timestamp now, timestamp seenAt)
    {
        entry.schedulerSeenAt = seenAt;
        recordTurn(entry, now);
        monitorScheduler(entry, now);
    }

    boost::asio::io_context loop;
    entry_state entry;
    std::vector<store_completion> reads;
    std::vector<store_completion> writes;
};

/// A time between two turns of the event loop, and how long the scheduler has been silent.
struct late_turn_case
{
    const char *description;
    microseconds sinceLastTurn = 0;
    microseconds silentFor = 0;
    bool probes = false;
};

/// A claim that another entry announces while this entry waits for its turn.
struct announced_claim_case
{
    const char *description;
    bool isClaiming = false;
    std::int64_t epoch = 0;
    bool claims = false;
};

} // namespace

// Guards against claims that collide: the turns are 50 ms apart, and entries claimed while a claim
// before theirs had not been answered by a slow store.
BOOST_AUTO_TEST_CASE(an_entry_does_not_claim_while_another_one_is_claiming)
{
    const std::vector<announced_claim_case> cases {
        {"no claim", false, 3, true},
        {"a claim", true, 3, false},
        {"a claim after a higher epoch", true, 4, false},
        {"a claim that cannot succeed", true, 2, true},
    };
    for (const announced_claim_case &given : cases) {
        BOOST_TEST_CONTEXT(given.description)
        {
            follower_fixture follower;
            entry_state &entry = follower.entry;
            entry.processorShares = {{"entry-0", 250}, {"entry-1", 250}};
            const timestamp now = steadyNow();
            follower.turn(now, now - 3 * second);
            BOOST_REQUIRE(follower.reads.size() == 1U);
            store_result result;
            result.outcome = store_outcome::done;
            result.rows = {follower_fixture::makeHeadRow(3, "entry-2")};
            follower.reads.front()(result);
            member_status other;
            other.sender = {"entry-0", "127.0.0.1:3", 250};
            other.epoch = given.epoch;
            other.isClaiming = given.isClaiming;
            net::http_request hello;
            hello.target = "/hello";
            hello.body = encodeMemberStatus(other);
            servePeer(entry, hello, [](const net::http_response &) {});
            follower.loop.run_for(std::chrono::milliseconds(600));
            BOOST_TEST(!follower.writes.empty() == given.claims);
        }
    }
}

// Guards against a takeover by an entry that was late itself: it took the heartbeats that it had
// not read yet for missing ones (incident csuc-inc1).
BOOST_AUTO_TEST_CASE(an_entry_that_was_late_waits_for_a_heartbeat_before_it_probes)
{
    const std::vector<late_turn_case> cases {
        {"on time, contact", 50 * millisecond, 100 * millisecond, false},
        {"on time, silent", 50 * millisecond, 900 * millisecond, true},
        {"slightly late, silent", 150 * millisecond, 900 * millisecond, true},
        {"late, silent", 400 * millisecond, 900 * millisecond, false},
        {"late, silent for very long", 400 * millisecond, 3 * second, true},
    };
    for (const late_turn_case &given : cases) {
        BOOST_TEST_CONTEXT(given.description)
        {
            follower_fixture follower;
            const timestamp now = steadyNow();
            follower.turn(now - given.sinceLastTurn, now - given.sinceLastTurn);
            follower.turn(now, now - given.silentFor);
            BOOST_TEST(!follower.reads.empty() == given.probes);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(an_entry_that_was_late_probes_after_a_silent_heartbeat_interval,
                        follower_fixture)
{
    const timestamp lateAt = steadyNow();
    turn(lateAt - 600 * millisecond, lateAt - 600 * millisecond);
    for (microseconds after = 0; after <= 150 * millisecond; after += 50 * millisecond) {
        turn(lateAt + after, lateAt - 600 * millisecond);
        BOOST_TEST(reads.empty());
    }
    turn(lateAt + 200 * millisecond, lateAt - 600 * millisecond);
    BOOST_TEST(reads.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_claim_that_comes_too_late_follows_the_new_scheduler, follower_fixture)
{
    bool claimed = true;
    claimHead(entry, 40, 3, [&](bool done) { claimed = done; });
    BOOST_REQUIRE(writes.size() == 1U);
    store_result result;
    result.outcome = store_outcome::conflict;
    result.rows = {makeHeadRow(4, "entry-3")};
    writes.front()(result);
    BOOST_TEST(!claimed);
    BOOST_TEST(entry.epoch == 4);
    BOOST_TEST(entry.scheduler.name == "entry-3");
    // The new scheduler counts as seen, so that it gets time to start.
    turn(steadyNow(), entry.schedulerSeenAt);
    BOOST_TEST(reads.empty());
}

// Guards against a probe that costs as many calls as the cell has entries, made by all entries at
// once (incident csuc-inc1: 24 entries asked 35 others each within 120 ms).
BOOST_FIXTURE_TEST_CASE(a_probe_asks_a_bounded_number_of_entries, follower_fixture)
{
    for (int number = 3; number < 40; ++number) {
        entry.members["entry-" + std::to_string(number)] = "127.0.0.1:" + std::to_string(number);
    }
    const timestamp now = steadyNow();
    turn(now, now - 900 * millisecond);
    BOOST_REQUIRE(reads.size() == 1U);
    store_result result;
    result.outcome = store_outcome::done;
    result.rows = {makeHeadRow(3, "entry-2")};
    reads.front()(result);
    // One connection to the scheduler, the others to entries that are asked about it.
    BOOST_TEST(entry.client.connectionsOpened() > 1U);
    BOOST_TEST(entry.client.connectionsOpened() <= 7U);
}

// Guards against a member without a name: a scheduler that learned of a higher epoch from a
// follower recorded an empty successor as a member, which then got advice calls and handover
// requests and was stored in the members row (incident csuc-inc1).
BOOST_FIXTURE_TEST_CASE(an_unknown_scheduler_is_not_recorded_as_a_member, follower_fixture)
{
    const std::size_t before = entry.members.size();
    recordScheduler(entry, 5, {}, steadyNow());
    BOOST_TEST(entry.epoch == 5);
    BOOST_TEST(entry.members.size() == before);
    // Members rows that were stored with such a member are read without it.
    readHead(entry, [](const store_result &, const std::optional<head_row> &, std::int64_t) {});
    BOOST_REQUIRE(reads.size() == 1U);
    store_result result;
    result.outcome = store_outcome::done;
    result.rows = {
        {headTable, membersKey, encodeMembers({{"", ""}, {"entry-4", "127.0.0.1:4"}}), 50, false}};
    reads.front()(result);
    BOOST_TEST(entry.members.count("") == 0U);
    BOOST_TEST(entry.members.count("entry-4") == 1U);
}
