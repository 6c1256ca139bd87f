#define BOOST_TEST_MODULE confirmation
#include <boost/test/included/unit_test.hpp>

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
