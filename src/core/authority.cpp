#include "core/authority.h"

#include <algorithm>
#include <set>

#include "core/invariant.h"

namespace bramleygrade {

namespace {

timestamp earliestPromiseExpiry(const shard_view &view)
{
    if (view.row.successors.empty()) {
        return distantPast;
    }
    timestamp earliest = distantFuture;
    for (const auto *successors : {&view.row.successors, &view.proposedSuccessors}) {
        for (const std::string &successor : *successors) {
            const auto promise = view.promiseExpiry.find(successor);
            earliest = std::min(
                earliest, promise == view.promiseExpiry.end() ? distantPast : promise->second);
        }
    }
    return earliest;
}

void beginOwnership(shard_view &view, timestamp now)
{
    const bool mustWait = !view.row.handed_over && view.row.epoch > 1;
    view.ownedSince = now;
    view.leaseStart = mustWait ? now + lengthenedByClockError(leaseDuration) : now;
    view.tableLeaseExpiry = distantPast;
    view.promiseExpiry.clear();
    view.isRelinquished = false;
    view.isClosing = false;
}

/// Clears unsettled writes that can no longer take effect because they depend on an older version
/// of the row than the one in the table.
void clearSettledWrites(shard_view &view, std::uint64_t version)
{
    if (view.unsettledVersion != 0 && version > view.unsettledVersion) {
        view.unsettledVersion = 0;
        view.unsettledClaims = 0;
        view.proposedSuccessors.clear();
    }
}

} // namespace

timestamp leaseExpiry(const authority_state &state, const std::string &self,
                      const std::string &shard, timestamp now)
{
    const auto found = state.shards.find(shard);
    if (found == state.shards.end()) {
        return distantPast;
    }
    const shard_view &view = found->second;
    if (view.row.owner != self || view.isRelinquished || now < view.leaseStart) {
        return distantPast;
    }
    return std::max(view.tableLeaseExpiry, earliestPromiseExpiry(view));
}

bool holdsLease(const authority_state &state, const std::string &self, const std::string &shard,
                timestamp now)
{
    return now < leaseExpiry(state, self, shard, now);
}

void updateShardRow(authority_state &state, const std::string &self, const std::string &shard,
                    const shard_row &row, std::uint64_t version, timestamp askedAt, timestamp now)
{
    shard_view &view = state.shards[shard];
    if (version < view.rowVersion) {
        return; // Late answer: a newer version of the row is known.
    }
    BRAMLEYGRADE_INVARIANT(
        row.epoch >= view.row.epoch,
        "the epoch of a shard row decreased; restore the table from its newest state");
    const bool isNewEpoch = row.epoch > view.row.epoch;
    const bool isNewOwner = row.owner != view.row.owner;
    view.successorsSince = row.successors == view.row.successors ? view.successorsSince : now;
    view.row = row;
    view.rowVersion = version;
    clearSettledWrites(view, version);
    if (isNewEpoch || isNewOwner) {
        view.knownSince = now;
        view.ownedSince = distantFuture;
        view.leaseStart = distantFuture;
        if (row.owner == self) {
            beginOwnership(view, now);
        }
    }
    if (row.owner == self) {
        view.tableLeaseExpiry =
            std::max(view.tableLeaseExpiry, askedAt + shortenedByClockError(leaseDuration));
    }
}

void confirmShardRows(authority_state &state, const std::string &self, timestamp askedAt)
{
    for (auto &[shard, view] : state.shards) {
        if (view.row.owner == self) {
            view.tableLeaseExpiry =
                std::max(view.tableLeaseExpiry, askedAt + shortenedByClockError(leaseDuration));
        }
    }
}

void requestPromises(authority_state &state, const std::string &self, step_context &context)
{
    if (context.now < state.nextPromiseAskAt) {
        return;
    }
    state.nextPromiseAskAt = context.now + promiseRenewalInterval;
    std::map<std::string, promise_ask> asks;
    for (const auto &[shard, view] : state.shards) {
        if (view.row.owner != self || view.isRelinquished) {
            continue;
        }
        std::set<std::string> successors(view.row.successors.begin(), view.row.successors.end());
        successors.insert(view.proposedSuccessors.begin(), view.proposedSuccessors.end());
        for (const std::string &successor : successors) {
            auto asked = std::make_unique<shard_epoch>();
            asked->shard = shard;
            asked->epoch = view.row.epoch;
            asks[successor].shards.push_back(std::move(asked));
        }
    }
    for (auto &[successor, ask] : asks) {
        ask.asked_at = context.now;
        sendToPeer(context, self, successor, std::move(ask));
    }
}

void handlePromiseAsk(authority_state &state, const std::string &self, const std::string &from,
                      const promise_ask &ask, step_context &context)
{
    promise_grant grant;
    grant.asked_at = ask.asked_at;
    for (const auto &asked : ask.shards) {
        const auto found = state.shards.find(asked->shard);
        if (found == state.shards.end()) {
            continue;
        }
        if (found->second.unsettledClaims > 0 || found->second.row.epoch > asked->epoch) {
            grant.claimed.push_back(std::make_unique<shard_epoch>(*asked));
        }
    }
    state.lastPromiseAskAt[from] = context.now;
    state.grantedPromiseExpiry[from] = context.now + leaseDuration;
    sendToPeer(context, self, from, std::move(grant));
}

void handlePromiseGrant(authority_state &state, const std::string &self, const std::string &from,
                        const promise_grant &grant)
{
    for (auto &[shard, view] : state.shards) {
        const bool isClaimed =
            std::any_of(grant.claimed.begin(), grant.claimed.end(),
                        [&name = shard](const auto &claimed) { return claimed->shard == name; });
        if (view.row.owner != self || isClaimed || view.ownedSince > grant.asked_at) {
            continue;
        }
        timestamp &until = view.promiseExpiry.try_emplace(from, distantPast).first->second;
        until = std::max(until, grant.asked_at + shortenedByClockError(leaseDuration));
    }
}

void relinquishAllShards(authority_state &state)
{
    for (auto &[shard, view] : state.shards) {
        view.isRelinquished = true;
    }
}

} // namespace bramleygrade
