#define BOOST_TEST_MODULE cluster
#include <boost/test/included/unit_test.hpp>

#include <list>

#include "cluster_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;
using bramleygrade::testing::cluster_fixture;
using bramleygrade::testing::cluster_member;

namespace {

/// A member that does not lead.
cluster_member &follower(cluster_fixture &cluster)
{
    for (const auto &member : cluster.members) {
        if (!member->frozen && member.get() != cluster.leader()) {
            return *member;
        }
    }
    return *cluster.members.front();
}

} // namespace

BOOST_FIXTURE_TEST_CASE(one_entry_leads_and_the_others_follow_it, cluster_fixture)
{
    BOOST_REQUIRE(startError.empty());
    BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
    std::size_t leads = 0;
    for (const auto &member : members) {
        leads += member->entry->leaderState ? 1U : 0U;
    }
    BOOST_TEST(leads == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_job_handed_in_at_every_entry_is_one_job, cluster_fixture)
{
    BOOST_REQUIRE_MESSAGE(startError.empty(), startError);
    BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
    for (const auto &member : members) {
        BOOST_TEST(callAndWait(*member, "POST", "a") == 200);
    }
    BOOST_TEST(table.countRows(jobTable) == 1U);
    for (const auto &member : members) {
        BOOST_TEST(callAndWait(*member, "GET", "a") == 200);
        BOOST_TEST(callAndWait(*member, "GET", "b") == 410);
    }
}

BOOST_FIXTURE_TEST_CASE(another_entry_leads_after_the_scheduler_has_frozen, cluster_fixture)
{
    BOOST_REQUIRE_MESSAGE(startError.empty(), startError);
    BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
    cluster_member &first = *leader();
    BOOST_TEST(callAndWait(first, "POST", "a") == 200);
    const std::int64_t epoch = first.entry->epoch;
    first.frozen = true;
    BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
    BOOST_TEST(leader()->entry->epoch > epoch);
    BOOST_TEST(callAndWait(follower(*this), "GET", "a") == 200); // nothing accepted is lost
}

BOOST_FIXTURE_TEST_CASE(a_scheduler_that_wakes_accepts_nothing_under_its_old_epoch, cluster_fixture)
{
    BOOST_REQUIRE_MESSAGE(startError.empty(), startError);
    BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
    cluster_member &first = *leader();
    first.frozen = true;
    int status = -1;
    call(first, "POST", "a", status); // waits in its socket
    BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
    const std::int64_t epoch = leader()->entry->epoch;
    first.frozen = false;
    BOOST_REQUIRE(runUntil([&] { return status != -1 && !first.entry->leaderState; }));
    BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
    BOOST_TEST(leader()->entry->epoch == epoch);
    // What a caller was told holds at the new scheduler.
    BOOST_TEST(callAndWait(*leader(), "GET", "a") == (status == 200 ? 200 : 410));
}

BOOST_FIXTURE_TEST_CASE(a_scheduler_that_stops_hands_over_before_it_ends, cluster_fixture)
{
    BOOST_REQUIRE_MESSAGE(startError.empty(), startError);
    BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
    cluster_member &first = *leader();
    const std::int64_t epoch = first.entry->epoch;
    BOOST_TEST(callAndWait(first, "POST", "a") == 200);
    beginStop(*first.entry);
    BOOST_REQUIRE(runUntil([&] { return leader() != nullptr && leader() != &first; }));
    BOOST_TEST(!first.entry->finished);
    BOOST_TEST(leader()->entry->epoch == epoch + 1);
    BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
    BOOST_TEST(callAndWait(first, "GET", "a") == 200); // it still answers its callers
}

// trouble-2 of csuc-programari, seed 2: a scheduler that was told to stop while the store was slow
// wrote without a pause, so that every claim of its successors found a newer head row.
BOOST_FIXTURE_TEST_CASE(a_scheduler_that_writes_all_the_time_can_hand_over, cluster_fixture)
{
    BOOST_REQUIRE_MESSAGE(startError.empty(), startError);
    BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
    table.writeDelay = 250 * millisecond;
    cluster_member &first = *leader();
    const std::int64_t epoch = first.entry->epoch;
    int number = 0;
    std::list<int> statuses;
    const auto press = [&] {
        if (statuses.empty() || statuses.back() != -1) {
            call(first, "POST", "job-" + std::to_string(++number), statuses.emplace_back(-1));
        }
        if (first.entry->leaderState && !first.entry->leaderState->write) {
            cell::noteChange(first.entry->leaderState->cell, cell::workerListChange, true);
            first.entry->leaderState->nextWriteAt = distantPast;
            advanceWrites(*first.entry);
        }
    };
    BOOST_REQUIRE(runUntil([&] {
        press();
        return number > 2;
    }));
    beginStop(*first.entry);
    BOOST_REQUIRE(runUntil([&] {
        press();
        return first.entry->finished || (leader() != nullptr && leader() != &first);
    }));
    BOOST_TEST(!first.entry->finished);
    BOOST_TEST(leader()->entry->epoch == epoch + 1);
}

BOOST_FIXTURE_TEST_CASE(a_scheduler_cut_off_from_the_store_hands_over, cluster_fixture)
{
    BOOST_REQUIRE_MESSAGE(startError.empty(), startError);
    BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
    cluster_member &first = *leader();
    table.disconnectedEntries.insert(first.entry->settings.name);
    int status = -1;
    call(first, "POST", "a", status);
    BOOST_REQUIRE(runUntil([&] { return leader() != nullptr && leader() != &first; }));
    BOOST_REQUIRE(runUntil([&] { return status != -1 && hasAgreedLeader(); }));
    BOOST_TEST(callAndWait(follower(*this), "POST", "b") == 200);
    // What was told of the call during the change is true.
    BOOST_TEST((status != 200 || table.countRows(jobTable) == 2U));
}

BOOST_FIXTURE_TEST_CASE(an_entry_that_cannot_load_the_rows_hands_over, cluster_fixture)
{
    BOOST_REQUIRE_MESSAGE(startError.empty(), startError);
    BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
    leader()->frozen = true;
    table.disconnectNextWriter = true; // the claimant, before it reads the rows
    BOOST_REQUIRE(runUntil([this] { return !table.disconnectedEntries.empty(); }));
    BOOST_REQUIRE(runUntil([this] { return leader() != nullptr && hasAgreedLeader(); }));
    BOOST_TEST(table.disconnectedEntries.count(leader()->entry->settings.name) == 0U);
    BOOST_TEST(callAndWait(*leader(), "POST", "a") == 200);
}

BOOST_FIXTURE_TEST_CASE(jobs_outlive_all_entries, cluster_fixture)
{
    BOOST_REQUIRE_MESSAGE(startError.empty(), startError);
    BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
    BOOST_TEST(callAndWait(*leader(), "POST", "a") == 200);
    for (const auto &member : members) {
        member->frozen = true;
    }
    add("entry-4");
    add("entry-5");
    BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
    BOOST_TEST(callAndWait(*members.back(), "GET", "a") == 200);
    BOOST_TEST(callAndWait(*members.back(), "POST", "a") == 200); // known: still one job
    BOOST_TEST(table.countRows(jobTable) == 1U);
}

// Load pattern: 392 workers at a scheduler with an eighth of a processor (grown scale-1).
BOOST_FIXTURE_TEST_CASE(the_entry_with_the_much_larger_processor_comes_to_lead, cluster_fixture)
{
    BOOST_REQUIRE_MESSAGE(startError.empty(), startError);
    BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
    BOOST_TEST(callAndWait(*leader(), "POST", "a") == 200);
    const std::int64_t epoch = leader()->entry->epoch;
    leader()->entry->leaderState->nextSuccessorIndex =
        1; // others were asked before, for other reasons
    const cluster_member &larger = add("entry-large", 1'000);
    add("entry-little-larger", 400);
    BOOST_REQUIRE(runUntil([&] { return leader() == &larger && hasAgreedLeader(); }));
    BOOST_TEST(leader()->entry->epoch == epoch + 1); // not by way of a smaller one
    BOOST_TEST(callAndWait(*members.front(), "GET", "a") == 200);
}
