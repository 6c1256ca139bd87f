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
    leaderState.verifiedBy.clear();
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

/// Whether these members and this entry are more than half of all. Members that are cut off from
/// the store together with this entry know of no successor either; there can be one as long as the
/// others may follow it.
bool isMajority(const entry_state &entry, std::size_t others)
{
    return 2 * (others + 1) > entry.members.size();
}

/// Notes when so many entries follow this one that the others are no majority, which an earlier
/// scheduler that is cut off from the store needs to go on.
void checkPredecessors(entry_state &entry, timestamp now)
{
    cell::scheduler &cell = entry.leaderState->cell;
    if (cell.predecessorsOverAt != distantFuture) {
        return;
    }
    const auto &followedAt = entry.leaderState->followedAt;
    const auto following = static_cast<std::size_t>(
        std::count_if(followedAt.begin(), followedAt.end(), [&](const auto &follower) {
            return entry.members.count(follower.first) > 0;
        }));
    if (2 * (following + 1) < entry.members.size()) {
        return;
    }
    cell.predecessorsOverAt = now;
    logEvent(entry, "predecessors_over",
             {{"epoch", std::to_string(entry.epoch)},
              {"followers", std::to_string(following)},
              {"members", std::to_string(entry.members.size())},
              {"since_takeover_ms", std::to_string((now - cell.tookOverAt) / millisecond)}});
}

/// Returns the newest time since which a majority has replied that it follows this entry;
/// `distantPast` if there is none.
timestamp followedByMajoritySince(const entry_state &entry)
{
    std::vector<timestamp> times;
    for (const auto &[name, askedAt] : entry.leaderState->followedAt) {
        if (entry.members.count(name) > 0) {
            times.push_back(askedAt);
        }
    }
    std::sort(times.rbegin(), times.rend());
    for (std::size_t others = 1; others <= times.size(); ++others) {
        if (isMajority(entry, others)) {
            return times[others - 1];
        }
    }
    return distantPast;
}

/// Returns the newest time since which all members have replied that they follow this entry and do
/// not claim; `distantPast` if one has not.
timestamp followedByAllSince(const entry_state &entry)
{
    const auto &followedAt = entry.leaderState->followedUnclaimingAt;
    timestamp since = distantFuture;
    for (const auto &[name, address] : entry.members) {
        if (name != entry.settings.name) {
            const auto follower = followedAt.find(name);
            since = std::min(since, follower == followedAt.end() ? distantPast : follower->second);
        }
    }
    return since;
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
    entry.leaderState->noSuccessorAt = claimedAt;
    entry.leaderState->cell.predecessorsOverAt = distantFuture;
    checkPredecessors(entry, steadyNow());
    confirm(entry, claimedAt);
}

void confirmByWrite(entry_state &entry, timestamp startedAt)
{
    leader_state &leaderState = *entry.leaderState;
    if (leaderState.needsStoreProof && startedAt >= leaderState.resumedAt) {
        leaderState.needsStoreProof = false;
        leaderState.refutedEvidence.merge(leaderState.evidence);
        leaderState.evidence.clear();
    }
    confirm(entry, startedAt);
    leaderState.noSuccessorAt = std::max(leaderState.noSuccessorAt, startedAt);
    verifyLeadership(entry, startedAt);
}

void questionLeadership(entry_state &entry, const std::string &evidence, timestamp now)
{
    leader_state &leaderState = *entry.leaderState;
    if (leaderState.refutedEvidence.count(evidence) > 0
        || !leaderState.evidence.insert(evidence).second) {
        return;
    }
    leaderState.needsStoreProof = true;
    leaderState.resumedAt = now;
    logEvent(entry, "leadership_questioned",
             {{"epoch", std::to_string(entry.epoch)}, {"evidence", evidence}});
    updateConfirmation(entry, now);
}

void confirmByMember(entry_state &entry, const std::string &name, timestamp askedAt,
                     member_reply reply)
{
    leader_state &leaderState = *entry.leaderState;
    if (leaderState.needsStoreProof) {
        return;
    }
    if (reply != member_reply::none) {
        timestamp &followedAt = leaderState.followedAt[name];
        followedAt = std::max(followedAt, askedAt);
        confirm(entry, followedByMajoritySince(entry));
        if (reply == member_reply::follows) {
            timestamp &repliedAt = leaderState.followedUnclaimingAt[name];
            repliedAt = std::max(repliedAt, askedAt);
            leaderState.noSuccessorAt =
                std::max(leaderState.noSuccessorAt, followedByAllSince(entry));
        }
        checkPredecessors(entry, steadyNow());
    }
    if (!awaitsVerification(leaderState) || askedAt < leaderState.resumedAt
        || reply == member_reply::claiming) {
        return;
    }
    leaderState.unverifiedMembers.erase(name);
    if (reply == member_reply::follows) {
        leaderState.verifiedBy.insert(name);
    }
    if (!leaderState.unverifiedMembers.empty()) {
        return;
    }
    if (isMajority(entry, leaderState.verifiedBy.size())) {
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
    checkPredecessors(entry, now);
    const bool alone = entry.members.size() < 2 && !leaderState.needsStoreProof;
    leaderState.cell.confirmedAt = alone ? distantFuture : leaderState.confirmedAt;
    leaderState.cell.noSuccessorAt = alone ? distantFuture : leaderState.noSuccessorAt;
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
