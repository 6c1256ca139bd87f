#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/context.h"

/// \file
/// Leases on shards: which entry may act for a shard, and until when.
///
/// The table row of a shard names its owner, its epoch and its successors. The owner's lease lasts
/// until the later of two deadlines: its last confirmed reading of the row plus `leaseDuration`,
/// and the earliest expiry of its successors' promises that they have not claimed the shard. A
/// claimant's lease starts only after `leaseDuration` has passed since it learned that its claim is
/// in the table, so that every deadline of the former owner has passed. The safety argument is in
/// docs/design/authority.md.

namespace bramleygrade {

/// Length of the lease that a confirmed reading of the row, or a promise, gives the owner.
constexpr microseconds leaseDuration = 3 * second;
/// A successor claims a shard after this long without a promise_ask from its owner.
constexpr microseconds ownerTimeout = 3 * second;
/// Interval at which an owner asks its successors for promises.
constexpr microseconds promiseRenewalInterval = 700 * millisecond;

/// State of one shard as this entry knows it.
struct shard_view
{
    shard_row row;
    std::uint64_t rowVersion = 0;
    /// When this entry first read the present owner and epoch, or first found the row missing.
    timestamp knownSince = 0;
    /// When this entry first read the present successors.
    timestamp successorsSince = 0;
    /// When this entry learned that it owns the shard. The fields from here to `isClosing` describe
    /// its own lease and are meaningful only while `row.owner` is this entry.
    timestamp ownedSince = distantFuture;
    timestamp leaseStart = distantFuture;
    timestamp tableLeaseExpiry = distantPast;
    /// Successor identity to the expiry of its promise.
    std::map<std::string, timestamp> promiseExpiry;
    /// The lease has been ended ahead of its expiry; only a new epoch starts another one.
    bool isRelinquished = false;
    /// A hand-over is being prepared: nothing new is committed on the shard.
    bool isClosing = false;
    /// Successors named by an unsettled write of this entry, that is a write that may still take
    /// effect; their promises are needed too until it settles.
    std::vector<std::string> proposedSuccessors;
    /// Row version on which an unsettled write of this entry depends; 0 where none is unsettled.
    std::uint64_t unsettledVersion = 0;
    /// Claims by this entry that may be in the table without its knowledge. While there are any, it
    /// grants no promise for the shard: the next claimant counts its wait from its own claim, not
    /// from the claim of this entry.
    int unsettledClaims = 0;
    timestamp nextWriteAt = 0;
};

/// Leases and promises of one entry.
struct authority_state
{
    std::map<std::string, shard_view> shards;
    /// Owner identity to the time before which this entry has promised to claim none of its shards.
    std::map<std::string, timestamp> grantedPromiseExpiry;
    std::map<std::string, timestamp> lastPromiseAskAt;
    timestamp nextPromiseAskAt = 0;
};

/// Time at which the lease of `self` on the shard expires; in the past where it holds none.
timestamp leaseExpiry(const authority_state &state, const std::string &self,
                      const std::string &shard, timestamp now);

bool holdsLease(const authority_state &state, const std::string &self, const std::string &shard,
                timestamp now);

/// Applies a row that was read at `askedAt` or later; ignores it if a newer version is known.
void updateShardRow(authority_state &state, const std::string &self, const std::string &shard,
                    const shard_row &row, std::uint64_t version, timestamp askedAt, timestamp now);

/// Extends own leases: the table has confirmed, as of `askedAt`, that no shard row has changed
/// since the last reading.
void confirmShardRows(authority_state &state, const std::string &self, timestamp askedAt);

/// Asks the successors of all own shards for promises when that is due, with one message for each
/// successor.
void requestPromises(authority_state &state, const std::string &self, step_context &context);

/// Answers a promise_ask of the owner `from`; `claimed` in the answer lists the shards for which no
/// promise is granted.
void handlePromiseAsk(authority_state &state, const std::string &self, const std::string &from,
                      const promise_ask &ask, step_context &context);

/// Extends own leases by the promises of the successor `from`.
void handlePromiseGrant(authority_state &state, const std::string &self, const std::string &from,
                        const promise_grant &grant);

/// Ends all own leases at once, for example after a clock error.
void relinquishAllShards(authority_state &state);

} // namespace bramleygrade
