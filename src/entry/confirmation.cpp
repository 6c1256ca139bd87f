#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

/// A scheduler whose leadership is unconfirmed for this long stops giving orders.
constexpr microseconds confirmationTimeout = 2'500 * millisecond;
/// A pause of the event loop after which the leadership is verified before orders leave. A follower
/// claims no sooner than 450 ms after a heartbeat, and heartbeats are 150 ms apart, so that no
/// takeover fits into a shorter pause.
constexpr microseconds maxUnverifiedPause = 300 * millisecond;

void awaitAllMembers(entry_state &entry)
{
    leader_state &leaderState = *entry.leaderState;
    leaderState.isVerifiedByMember = false;
    leaderState.unverifiedMembers.clear();
    for (const auto &[name, address] : entry.members) {
        if (name != entry.settings.name) {
            leaderState.unverifiedMembers.insert(name);
        }
    }
}

bool awaitsVerification(const leader_state &leaderState)
{
    return leaderState.verifiedAt < leaderState.resumedAt;
}

/// Sends the orders that were held back since the pause. Another pause holds back the rest.
void sendHeldOrders(entry_state &entry)
{
    const auto held = std::exchange(entry.leaderState->heldOrders, {});
    for (const auto &send : held) {
        if (entry.leaderState) {
            send();
        }
    }
    requestDecision(entry);
}

void verifyLeadership(entry_state &entry, timestamp askedAt)
{
    leader_state &leaderState = *entry.leaderState;
    const bool awaited = awaitsVerification(leaderState);
    leaderState.verifiedAt = std::max(leaderState.verifiedAt, askedAt);
    if (!awaited || awaitsVerification(leaderState)) {
        return;
    }
    const timestamp now = steadyNow();
    logEvent(entry, "leadership_verified",
             {{"epoch", std::to_string(entry.epoch)},
              {"took_ms", std::to_string((now - leaderState.resumedAt) / millisecond)},
              {"held_orders", std::to_string(leaderState.heldOrders.size())}});
    updateConfirmation(entry, now);
    boost::asio::post(entry.loop, [&entry, epoch = entry.epoch] {
        if (entry.leaderState && entry.epoch == epoch) {
            sendHeldOrders(entry);
        }
    });
}

void confirm(entry_state &entry, timestamp askedAt)
{
    entry.leaderState->confirmedAt = std::max(entry.leaderState->confirmedAt, askedAt);
}

} // namespace

void beginConfirmation(entry_state &entry, timestamp claimedAt)
{
    entry.leaderState->verifiedAt = claimedAt;
    entry.leaderState->runningAt = claimedAt;
    confirm(entry, claimedAt);
}

void confirmByWrite(entry_state &entry, timestamp startedAt)
{
    confirm(entry, startedAt);
    verifyLeadership(entry, startedAt);
}

void confirmByMember(entry_state &entry, const std::string &name, timestamp askedAt,
                     member_reply reply)
{
    leader_state &leaderState = *entry.leaderState;
    if (reply != member_reply::none) {
        confirm(entry, askedAt);
    }
    if (!awaitsVerification(leaderState) || askedAt < leaderState.resumedAt
        || reply == member_reply::claiming) {
        return;
    }
    leaderState.unverifiedMembers.erase(name);
    leaderState.isVerifiedByMember =
        leaderState.isVerifiedByMember || reply == member_reply::follows;
    if (!leaderState.unverifiedMembers.empty()) {
        return;
    }
    const bool alone = entry.members.size() < 2;
    if (leaderState.isVerifiedByMember || alone) {
        verifyLeadership(entry, leaderState.resumedAt);
    } else {
        awaitAllMembers(entry);
    }
}

void recordRunning(entry_state &entry, timestamp now)
{
    leader_state &leaderState = *entry.leaderState;
    const timestamp before = std::exchange(leaderState.runningAt, now);
    if (now <= before + maxUnverifiedPause || entry.members.size() < 2) {
        return;
    }
    leaderState.resumedAt = now;
    awaitAllMembers(entry);
    logEvent(entry, "scheduler_paused",
             {{"epoch", std::to_string(entry.epoch)},
              {"for_ms", std::to_string((now - before) / millisecond)}});
    boost::asio::post(entry.loop, [&entry, epoch = entry.epoch] {
        if (entry.leaderState && entry.epoch == epoch) {
            sendHeartbeats(entry, steadyNow());
            advanceWrites(entry);
        }
    });
}

bool needsVerification(const entry_state &entry)
{
    return entry.leaderState && awaitsVerification(*entry.leaderState);
}

bool holdOrder(entry_state &entry, timestamp now, std::function<void()> send)
{
    recordRunning(entry, now);
    if (!awaitsVerification(*entry.leaderState)) {
        return false;
    }
    entry.leaderState->heldOrders.push_back(std::move(send));
    return true;
}

void updateConfirmation(entry_state &entry, timestamp now)
{
    leader_state &leaderState = *entry.leaderState;
    const bool alone = entry.members.size() < 2;
    leaderState.cell.confirmedAt = alone ? distantFuture : leaderState.confirmedAt;
    const bool suspended = awaitsVerification(leaderState)
        || (!alone && now > leaderState.confirmedAt + confirmationTimeout);
    if (suspended == leaderState.suspended) {
        return;
    }
    leaderState.suspended = suspended;
    logEvent(entry, suspended ? "scheduler_suspended" : "scheduler_resumed",
             {{"epoch", std::to_string(entry.epoch)},
              {"confirmed_ms_ago", std::to_string((now - leaderState.confirmedAt) / millisecond)}});
    if (!suspended) {
        requestDecision(entry);
    }
}

} // namespace bramleygrade::entry
