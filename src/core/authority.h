#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/context.h"

/// \file
/// Who may act for a shard, and until when.
///
/// The table row of a shard names its owner, its epoch and two successors. The owner may act until
/// the later of two deadlines: its last confirmed reading of the row plus `leaseDuration`, and the
/// earliest of its successors' promises that they have not claimed the shard. A claimant acts only
/// after `leaseDuration` has passed since it learned that its claim is in the table, so that every
/// deadline of the former owner has passed. docs/design/authority.md has the argument.

namespace bramleygrade {

/// How long a reading of the row, or a promise, allows the owner to act.
constexpr microseconds leaseDuration = 3 * second;
/// A successor claims a shard after this long without a word from its owner.
constexpr microseconds ownerTimeout = 3 * second;
/// Promises are renewed this often.
constexpr microseconds promiseRenewalInterval = 700 * millisecond;

/// One shard as this entry knows it.
struct shard_view
{
    shard_row row;
    std::uint64_t rowVersion = 0;
    timestamp knownSince = 0;
    /// When this entry first read the present successors.
    timestamp successorsSince = 0;
    /// Own authority; meaningful only while `row.owner` is this entry.
    timestamp ownedSince = distantFuture;
    timestamp leaseStart = distantFuture;
    timestamp tableLeaseExpiry = distantPast;
    std::map<std::string, timestamp> promiseExpiry;
    bool isRelinquished = false;
    /// The shard is about to be handed over: nothing new is committed on it.
    bool isClosing = false;
    /// Successors of an unsettled write of ours; their promises are needed too until it settles.
    std::vector<std::string> proposedSuccessors;
    /// Row version on which an unsettled write of ours depends; 0 where none is unsettled.
    std::uint64_t unsettledVersion = 0;
    /// Claims of ours that may be in the table without our knowledge. While there are any, no
    /// promise is given: the next claimant after us counts its wait from its own claim, not from
    /// ours.
    int unsettledClaims = 0;
    timestamp nextWriteAt = 0;
};

struct authority_state
{
    std::map<std::string, shard_view> shards;
    /// Owner identity to the time before which this entry claims none of its shards.
    std::map<std::string, timestamp> grantedPromiseExpiry;
    std::map<std::string, timestamp> lastPromiseAskAt;
    timestamp nextPromiseAskAt = 0;
};

/// Time until which `self` may act for the shard; in the past where it may not.
timestamp leaseExpiry(const authority_state &state, const std::string &self,
                      const std::string &shard, timestamp now);

bool holdsLease(const authority_state &state, const std::string &self, const std::string &shard,
                timestamp now);

/// Takes in a row read at `askedAt` or later.
void updateShardRow(authority_state &state, const std::string &self, const std::string &shard,
                    const shard_row &row, std::uint64_t version, timestamp askedAt, timestamp now);

/// The table has confirmed that no shard row has changed since the last reading, as of `askedAt`.
void confirmShardRows(authority_state &state, const std::string &self, timestamp askedAt);

/// Asks the successors of all own shards for promises; one message for each successor.
void requestPromises(authority_state &state, const std::string &self, step_context &context);

/// Answers a promise_ask of the owner `from`.
void handlePromiseAsk(authority_state &state, const std::string &self, const std::string &from,
                      const promise_ask &ask, step_context &context);

void handlePromiseGrant(authority_state &state, const std::string &self, const std::string &from,
                        const promise_grant &grant);

/// Ends all own authority at once, as when a clock is found to be wrong.
void relinquishAllShards(authority_state &state);

} // namespace bramleygrade
