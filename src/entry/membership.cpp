#include <algorithm>
#include <functional>
#include <utility>

#include "entry/membership.h"

namespace bramleygrade::entry {

namespace {

/// The scheduler is probed after this long without contact; three heartbeats are missing by then.
constexpr microseconds schedulerTimeout = 450 * millisecond;
/// Entries that have just started claim after a jitter of up to this much.
constexpr microseconds maxClaimJitter = 100 * millisecond;
/// A turn of the event loop that is later than one heartbeat interval counts as late.
constexpr microseconds maxTurnDelay = 150 * millisecond;
/// After a late turn, the scheduler has this long to be heard before it is probed: one heartbeat
/// interval and a tick.
constexpr microseconds freshContactTime = 200 * millisecond;
/// An entry that is late all the time probes after this long without contact all the same.
constexpr microseconds maxUnprobedSilence = 2 * second;

/// Returns the milliseconds from `then` to `now`; an empty text if `then` is not known.
std::string formatAge(timestamp then, timestamp now)
{
    return then == distantPast ? "" : std::to_string((now - then) / millisecond);
}

/// Returns when this entry probes a silent scheduler, and when it claims the head row.
claim_turn findOwnTurn(const entry_state &entry)
{
    const auto seed = std::hash<std::string> {}(entry.settings.name + entry.incarnation);
    if (entry.schedulerSeenAt == distantPast) {
        // The other entries are not known yet.
        return {static_cast<microseconds>(seed % static_cast<std::size_t>(maxClaimJitter)), 0};
    }
    return findClaimTurn(entry.processorShares, entry.settings.name, entry.scheduler.name, seed);
}

} // namespace

void recordTurn(entry_state &entry, timestamp now)
{
    constexpr microseconds newestWeightDivisor = 4;
    if (entry.lastTickAt != distantPast) {
        const microseconds delay = std::max<microseconds>(now - entry.lastTickAt - tickInterval, 0);
        entry.loopDelay += (delay - entry.loopDelay) / newestWeightDivisor;
        entry.lateAt = delay > maxTurnDelay ? now : entry.lateAt;
    }
    entry.lastTickAt = now;
    entry.loopState.turnedAt = now;
}

bool wasLate(const entry_state &entry, timestamp since, timestamp now)
{
    return entry.lateAt >= since
        || (entry.lastTickAt != distantPast
            && now > entry.lastTickAt + tickInterval + maxTurnDelay);
}

bool recordMember(entry_state &entry, const member &other)
{
    if (other.name.empty()) {
        return false;
    }
    if (other.processorMilli > 0) {
        entry.processorShares[other.name] = other.processorMilli;
    }
    std::string &address = entry.members[other.name];
    const bool changed = address != other.address;
    address = other.address;
    return changed;
}

member self(const entry_state &entry)
{
    return {entry.settings.name, entry.settings.peerAddress, entry.settings.processorMilli};
}

void recordScheduler(entry_state &entry, std::int64_t epoch, const member &scheduler, timestamp now)
{
    if (epoch < entry.epoch) {
        return;
    }
    const bool changed = epoch > entry.epoch || entry.scheduler.address != scheduler.address
        || entry.schedulerSeenAt == distantPast;
    if (entry.role != entry_role::follower && epoch > entry.epoch) {
        stepDown(entry, "another entry leads in a higher epoch");
    }
    const timestamp seenBefore = entry.schedulerSeenAt;
    const int probes = std::exchange(entry.observed.probesSinceSeen, 0);
    entry.epoch = epoch;
    entry.scheduler = scheduler;
    entry.schedulerSeenAt = now;
    recordMember(entry, scheduler);
    if (changed) {
        logEvent(
            entry, "scheduler_known",
            {{"scheduler", scheduler.name},
             {"epoch", std::to_string(epoch)},
             {"silent_ms", formatAge(seenBefore, now)},
             {"probes", std::to_string(probes)},
             {"loop_delay_ms", std::to_string(recentDelay(entry.observed.delay) / millisecond)}});
        resendForwarded(entry);
    } else if (probes > 0) {
        logEvent(
            entry, "scheduler_heard_again",
            {{"epoch", std::to_string(epoch)},
             {"silent_ms", formatAge(seenBefore, now)},
             {"probes", std::to_string(probes)},
             {"loop_delay_ms", std::to_string(recentDelay(entry.observed.delay) / millisecond)}});
    }
}

void suspectScheduler(entry_state &entry)
{
    entry.schedulerSeenAt = std::min(entry.schedulerSeenAt, steadyNow() - schedulerTimeout);
}

void monitorScheduler(entry_state &entry, timestamp now)
{
    if (entry.role != entry_role::follower || entry.isProbing || entry.stopping
        || now < entry.nextProbeAt) {
        return;
    }
    const microseconds limit = entry.schedulerSeenAt == distantPast ? 0 : schedulerTimeout;
    if (now < entry.schedulerSeenAt + limit) {
        return;
    }
    const claim_turn turn = findOwnTurn(entry);
    if (now < entry.schedulerSeenAt + limit + turn.probeDelay) {
        return;
    }
    if (now < entry.schedulerSeenAt + maxUnprobedSilence
        && wasLate(entry, now - freshContactTime + 1, now)) {
        return;
    }
    // The lines that follow the silence give the number of probes.
    if (entry.schedulerSeenAt != distantPast && entry.observed.probesSinceSeen++ == 0) {
        logEvent(
            entry, "scheduler_silent",
            {{"scheduler", entry.scheduler.name},
             {"epoch", std::to_string(entry.epoch)},
             {"silent_ms", formatAge(entry.schedulerSeenAt, now)},
             {"loop_delay_ms", std::to_string(recentDelay(entry.observed.delay) / millisecond)}});
    }
    probeScheduler(entry, turn);
}

void readHead(
    entry_state &entry,
    const std::function<void(store_result, std::optional<head_row>, std::int64_t version)> &done)
{
    // Without the rows of workers, the largest ones, which are last.
    const row_range range {headTable, "", workersKey, true};
    entry.ports.store.read(range, {steadyNow() + headTimeout, distantPast, {}},
                           [&entry, done](const store_result &result) {
                               entry.storeReachable = result.outcome == store_outcome::done;
                               std::optional<head_row> head;
                               std::int64_t version = 0;
                               for (const stored_row &row : result.rows) {
                                   if (row.key == headKey) {
                                       head = decodeHead(row.value);
                                       version = row.version;
                                   } else if (row.key == membersKey) {
                                       for (const member &other : decodeMembers(row.value)) {
                                           if (entry.members.count(other.name) == 0) {
                                               recordMember(entry, other);
                                           }
                                       }
                                   }
                               }
                               done(result, head, version);
                           });
}

namespace {

/// Follows the entry whose claim came first, if the conflict tells; it gets time to start.
void followWinner(entry_state &entry, const store_result &conflict)
{
    for (const stored_row &row : conflict.rows) {
        const auto head =
            row.table == headTable && row.key == headKey ? decodeHead(row.value) : std::nullopt;
        if (head && head->epoch > entry.epoch && head->address != self(entry).address) {
            recordScheduler(entry, head->epoch, {head->scheduler, head->address}, steadyNow());
        }
    }
}

} // namespace

void claimHead(entry_state &entry, std::int64_t version, std::int64_t epoch,
               const std::function<void(bool)> &done)
{
    if (entry.role != entry_role::follower || entry.stopping) {
        done(false);
        return;
    }
    entry.role = entry_role::claiming;
    const std::int64_t next = std::max(epoch, entry.epoch) + 1;
    table_write claim;
    claim.expected.push_back({headTable, headKey, version});
    claim.puts.push_back(
        {headTable, headKey,
         encodeHead({next, 0, entry.settings.name, entry.settings.peerAddress, entry.incarnation}),
         0, false});
    const timestamp claimedAt = steadyNow();
    entry.observed.claimedAt = claimedAt;
    logEvent(entry, "claim",
             {{"epoch", std::to_string(next)},
              {"silent_ms", formatAge(entry.schedulerSeenAt, claimedAt)},
              {"probes", std::to_string(entry.observed.probesSinceSeen)},
              {"loop_delay_ms", std::to_string(recentDelay(entry.observed.delay) / millisecond)}});
    ++entry.metrics.counters["claims_total"];
    announceClaim(entry);
    entry.ports.store.write(
        claim, claimedAt + headTimeout,
        [&entry, next, claimedAt, done](const store_result &result) {
            entry.role = entry_role::follower;
            if (result.outcome == store_outcome::done) {
                entry.epoch = next;
                entry.loopState.leadingEpoch = next;
                startLeading(entry, result.version, claimedAt);
                done(true);
                return;
            }
            if (result.outcome != store_outcome::unanswered) {
                followWinner(entry, result);
                done(false);
                return;
            }
            // The claim may have taken effect; the head row shows whether it did.
            readHead(entry,
                     [&entry, next, claimedAt, done](const store_result &,
                                                     const std::optional<head_row> &head,
                                                     std::int64_t currentVersion) {
                         const bool hasClaimed = head && head->epoch == next && head->sequence == 0
                             && head->incarnation == entry.incarnation
                             && entry.role == entry_role::follower;
                         if (hasClaimed) {
                             entry.epoch = next;
                             entry.loopState.leadingEpoch = next;
                             startLeading(entry, currentVersion, claimedAt);
                         }
                         done(hasClaimed);
                     });
        });
}

void stepDown(entry_state &entry, const char *reason)
{
    if (!entry.leaderState) {
        return;
    }
    const timestamp now = steadyNow();
    logEvent(entry, "stepped_down",
             {{"epoch", std::to_string(entry.epoch)},
              {"reason", reason},
              {"led_ms", formatAge(entry.leaderState->cell.tookOverAt, now)},
              {"confirmed_ms_ago", formatAge(entry.leaderState->confirmedAt, now)},
              {"workers_unreconciled",
               std::to_string(countUnreconciledWorkers(entry.leaderState->cell))},
              {"loop_delay_ms", std::to_string(recentDelay(entry.observed.delay) / millisecond)},
              {"busy", recentShares(entry)}});
    ++entry.metrics.counters["stepped_down_total"];
    entry.role = entry_role::follower;
    entry.loopState.leadingEpoch = 0;
    const std::unique_ptr<leader_state> former = std::move(entry.leaderState);
    entry.decideTimer.cancel();
    entry.scheduler = {};
    entry.schedulerSeenAt = steadyNow() - schedulerTimeout;
    for (const auto &call : former->deferredCalls) {
        call();
    }
    for (const auto &[id, waiter] : former->waiters) {
        caller_answer answer;
        answer.kind = answer_kind::unknown;
        answer.reason = "the scheduler changed before the outcome was known; retry the call";
        waiter.answer(answer);
    }
}

} // namespace bramleygrade::entry
