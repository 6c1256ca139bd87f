#define BOOST_TEST_MODULE confirmation
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "entry/entry.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;

namespace {

/// A scheduler with two other members, which has been confirmed and then paused.
struct paused_scheduler
{
    explicit paused_scheduler(microseconds pause)
        : entry(loop, makeSettings())
    {
        entry.members["entry-2"] = "127.0.0.1:1";
        entry.members["entry-3"] = "127.0.0.1:1";
        entry.leaderState = std::make_unique<leader_state>();
        entry.role = entry_role::loading; // no decisions and writes of its own
        beginConfirmation(entry, claimedAt);
        wokenAt = claimedAt + pause;
    }

    void addMembers(int count)
    {
        for (int number = 4; number < 4 + count; ++number) {
            entry.members["entry-" + std::to_string(number)] = "127.0.0.1:1";
        }
    }

    static cell_settings makeSettings()
    {
        cell_settings settings;
        settings.name = "entry-1";
        settings.peerAddress = "127.0.0.1:2";
        settings.logLinesPerSecond = 0;
        return settings;
    }

    /// Gives an order after the pause. Returns whether it left.
    bool order()
    {
        const bool isHeld = holdOrder(entry, wokenAt, [this] { ++sent; });
        sent += isHeld ? 0 : 1;
        return !isHeld;
    }

    void reply(const char *name, microseconds askedAfterWaking, member_reply kind)
    {
        confirmByMember(entry, name, wokenAt + askedAfterWaking, kind);
    }

    /// Runs what was posted, and returns the number of orders that have left.
    int countSent()
    {
        loop.restart();
        loop.poll();
        return sent;
    }

    boost::asio::io_context loop;
    entry_state entry;
    const timestamp claimedAt = steadyNow();
    timestamp wokenAt = distantPast;
    int sent = 0;
};

} // namespace

// Guards against tasks with two runs: a scheduler that had been frozen for 0.6 s gave starts to
// workers that had just restarted and had seen no fencing token of its successor.
BOOST_AUTO_TEST_CASE(twice_orders_of_a_scheduler_that_was_paused)
{
    paused_scheduler kept(300 * millisecond);
    BOOST_TEST(kept.order());

    paused_scheduler paused(301 * millisecond);
    BOOST_TEST(!paused.order());
    updateConfirmation(paused.entry, paused.wokenAt);
    BOOST_TEST(paused.entry.leaderState->suspended);
    BOOST_TEST(!paused.order()); // the loop has run since, but nothing was verified
    BOOST_TEST(paused.sent == 0);
    confirmByWrite(paused.entry, paused.wokenAt + millisecond);
    BOOST_TEST(!paused.entry.leaderState->suspended);
    BOOST_TEST(paused.countSent() == 2);
    BOOST_TEST(paused.order());
}

// A start that was held back over the pause was sent although its run had been released, or its
// worker had begun another life.
BOOST_AUTO_TEST_CASE(twice_held_start_that_is_sent_for_a_former_life)
{
    for (const bool isAwaited : {true, false}) {
        BOOST_TEST_CONTEXT((isAwaited ? "awaited" : "of a former life"))
        {
            testing::cell_fixture fixture;
            const cell::orders out = fixture.run(
                testing::cell_fixture::makeJob("a", {testing::cell_fixture::makeStep(1, 1'000)}));
            BOOST_REQUIRE(out.starts.size() == 1U);
            paused_scheduler paused(5 * second);
            int started = 0;
            paused.entry.ports.workers.start = [&started](const std::string &,
                                                          const cell::start_order &, timestamp,
                                                          const auto &) { ++started; };
            BOOST_TEST(!paused.order());
            paused.entry.leaderState->cell = fixture.cell;
            cell::orders held;
            held.starts = out.starts;
            runOrders(paused.entry, held);
            BOOST_TEST(started == 0);
            paused.entry.leaderState->cell.workers.at(out.starts[0].worker).life.number +=
                isAwaited ? 0 : 1;
            confirmByWrite(paused.entry, paused.wokenAt + millisecond);
            BOOST_TEST(paused.countSent() == 1);
            BOOST_TEST(started == (isAwaited ? 1 : 0));
        }
    }
}

// What was asked before the pause proves nothing about the time after it.
BOOST_AUTO_TEST_CASE(twice_answers_to_questions_from_before_a_pause)
{
    paused_scheduler paused(5 * second);
    BOOST_TEST(!paused.order());
    confirmByWrite(paused.entry, paused.wokenAt - millisecond);
    paused.reply("entry-2", -millisecond, member_reply::follows);
    paused.reply("entry-3", -millisecond, member_reply::follows);
    BOOST_TEST(paused.countSent() == 0);
}

// One member may not have heard of the successor yet, and a member that is claiming may become it.
BOOST_AUTO_TEST_CASE(twice_verification_by_some_members_only)
{
    paused_scheduler paused(5 * second);
    BOOST_TEST(!paused.order());
    paused.reply("entry-2", 0, member_reply::follows);
    paused.reply("entry-3", 0, member_reply::claiming);
    BOOST_TEST(needsVerification(paused.entry));
    paused.reply("entry-2", millisecond, member_reply::follows);
    BOOST_TEST(needsVerification(paused.entry));
    paused.reply("entry-3", millisecond, member_reply::follows);
    BOOST_TEST(!needsVerification(paused.entry));
    BOOST_TEST(paused.countSent() == 1);
}

// Members that are down must not stop the cell, but one has to answer.
BOOST_AUTO_TEST_CASE(lost_verification_beside_silent_members)
{
    paused_scheduler paused(5 * second);
    BOOST_TEST(!paused.order());
    paused.reply("entry-2", 0, member_reply::none);
    paused.reply("entry-3", 0, member_reply::none);
    BOOST_TEST(needsVerification(paused.entry));
    paused.reply("entry-2", millisecond, member_reply::none);
    paused.reply("entry-3", millisecond, member_reply::follows);
    BOOST_TEST(!needsVerification(paused.entry));
    BOOST_TEST(paused.countSent() == 1);
}

// Guards against tasks with two runs: a scheduler that was cut off from the store together with
// another entry went on, as that entry confirmed it, while a successor led the rest of the cell.
BOOST_AUTO_TEST_CASE(twice_scheduler_goes_on_with_a_minority_of_the_entries)
{
    struct row
    {
        int members;
        int followers;
        bool isConfirmed;
    };
    for (const row &given : {row {2, 1, true}, row {3, 1, true}, row {4, 1, false},
                             row {5, 1, false}, row {5, 2, true}, row {7, 2, false},
                             row {7, 3, true}, row {33, 10, false}, row {33, 16, true}}) {
        BOOST_TEST_CONTEXT(given.followers << " of " << given.members - 1 << " others follow")
        {
            paused_scheduler led(0);
            led.entry.members.erase("entry-3");
            led.addMembers(given.members - 2);
            const timestamp askedAt = led.claimedAt + 2 * second;
            int left = given.followers;
            for (const auto &[name, address] : led.entry.members) {
                const bool follows = name != "entry-1" && left-- > 0;
                confirmByMember(led.entry, name, askedAt,
                                follows ? member_reply::follows : member_reply::none);
            }
            updateConfirmation(led.entry, led.claimedAt + 3 * second);
            BOOST_TEST(led.entry.leaderState->suspended == !given.isConfirmed);
            BOOST_TEST((led.entry.leaderState->cell.confirmedAt == askedAt) == given.isConfirmed);
        }
    }
}

// Guards against tasks with two runs: a scheduler that was cut off forgot all other entries after
// 10 s, took itself for the only one and gave orders again.
BOOST_AUTO_TEST_CASE(twice_scheduler_forgets_the_entries_that_it_cannot_reach)
{
    constexpr int heartbeatsInAMinute = 400;
    paused_scheduler cut(0);
    for (const char *name : {"entry-2", "entry-3"}) {
        cut.entry.leaderState->missedHeartbeats[name] = heartbeatsInAMinute;
    }
    const timestamp later = cut.claimedAt + 60 * second;
    updateConfirmation(cut.entry, later);
    BOOST_TEST(cut.entry.leaderState->suspended);
    BOOST_TEST(cut.entry.members.size() == 3U);
    // A write shows that none of them has taken over.
    confirmByWrite(cut.entry, later);
    forgetSilentMembers(cut.entry);
    BOOST_TEST(cut.entry.members.size() == 1U);
    updateConfirmation(cut.entry, later + 60 * second);
    BOOST_TEST(!cut.entry.leaderState->suspended);
}

// A newer fencing token proves that there is a successor, whatever entries say that have not heard
// of it. What one worker says is refuted by a write, so that a faulty worker stops nothing.
BOOST_AUTO_TEST_CASE(twice_orders_after_a_worker_has_seen_a_newer_token)
{
    paused_scheduler led(0);
    BOOST_TEST(led.order());
    questionLeadership(led.entry, "worker=a", led.wokenAt + millisecond);
    BOOST_TEST(!led.order());
    led.reply("entry-2", 2 * millisecond, member_reply::follows);
    led.reply("entry-3", 2 * millisecond, member_reply::follows);
    confirmByWrite(led.entry, led.wokenAt);
    BOOST_TEST(!led.order());
    BOOST_TEST(led.countSent() == 1);
    confirmByWrite(led.entry, led.wokenAt + 2 * millisecond);
    BOOST_TEST(led.countSent() == 3);
    questionLeadership(led.entry, "worker=a", led.wokenAt + 3 * millisecond);
    BOOST_TEST(led.order());
    questionLeadership(led.entry, "worker=b", led.wokenAt + 4 * millisecond);
    BOOST_TEST(!led.order());
}

// Guards against tasks with two runs: an entry claimed with a minority of the entries, while the
// others followed a scheduler that was cut off from the store together with them (soak, seed 2).
BOOST_AUTO_TEST_CASE(twice_successor_with_a_minority_takes_its_predecessor_for_ended)
{
    struct row
    {
        int members;
        int following;
        bool isOver;
    };
    // A scheduler needs more than half of the entries to go on without the store.
    const row rows[] = {{1, 0, true},  {2, 0, true}, {3, 0, false},   {3, 1, true},
                        {5, 1, false}, {5, 2, true}, {6, 1, false},   {6, 2, true},
                        {7, 2, false}, {7, 3, true}, {38, 17, false}, {38, 18, true}};
    for (const row &given : rows) {
        BOOST_TEST_CONTEXT(given.following << " of " << given.members << " entries follow")
        {
            paused_scheduler successor(0);
            successor.entry.members = {{"entry-1", "127.0.0.1:2"}};
            for (int number = 2; number <= given.members; ++number) {
                successor.entry.members["entry-" + std::to_string(number)] = "127.0.0.1:1";
            }
            beginConfirmation(successor.entry, successor.claimedAt);
            const timestamp &over = successor.entry.leaderState->cell.predecessorsOverAt;
            BOOST_TEST((over != distantFuture) == (given.isOver && given.following == 0));
            successor.reply("gone", 0, member_reply::follows); // no longer a member
            for (int number = 2; number < 2 + given.following; ++number) {
                successor.reply(("entry-" + std::to_string(number)).c_str(), 0,
                                member_reply::follows);
            }
            BOOST_TEST((over != distantFuture) == given.isOver);
        }
    }
}

// Entries that have ended for good are forgotten, after a write, and count no longer.
BOOST_AUTO_TEST_CASE(predecessors_are_over_when_the_entries_that_may_follow_them_are_forgotten)
{
    paused_scheduler successor(0);
    successor.addMembers(2);
    beginConfirmation(successor.entry, successor.claimedAt);
    successor.reply("entry-2", 0, member_reply::follows);
    const timestamp &over = successor.entry.leaderState->cell.predecessorsOverAt;
    BOOST_TEST((over == distantFuture));
    successor.entry.members.erase("entry-5");
    updateConfirmation(successor.entry, successor.claimedAt + second);
    BOOST_TEST(over == successor.claimedAt + second);
}

// A majority proves that the leadership goes on, not that none of the others has taken over.
BOOST_AUTO_TEST_CASE(replies_of_all_entries_or_a_write_prove_that_there_is_no_successor)
{
    struct row
    {
        const char *name;
        member_reply last;
        bool writes;
        microseconds provedAfter;
    };
    const row rows[] = {{"the last entry is silent", member_reply::none, false, 0},
                        {"the last entry is claiming", member_reply::claiming, false, 0},
                        {"all follow", member_reply::follows, false, 100},
                        {"a write", member_reply::none, true, 300}};
    for (const row &given : rows) {
        BOOST_TEST_CONTEXT(given.name)
        {
            paused_scheduler scheduler(0);
            entry_state &entry = scheduler.entry;
            scheduler.addMembers(2);
            for (const char *name : {"entry-2", "entry-3", "entry-4"}) {
                scheduler.reply(name, 200, member_reply::follows);
            }
            scheduler.reply("entry-5", 100, given.last);
            if (given.writes) {
                confirmByWrite(entry, scheduler.claimedAt + 300);
            }
            updateConfirmation(entry, scheduler.claimedAt + 400);
            BOOST_TEST(entry.leaderState->cell.noSuccessorAt
                       == scheduler.claimedAt + given.provedAfter);
            BOOST_TEST(entry.leaderState->cell.confirmedAt >= scheduler.claimedAt + 200);
        }
    }
}
