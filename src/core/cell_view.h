#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/operations.h"

/// \file
/// An entry's view of the cell: its members, the instances of the platform's list, and which of
/// them can still act.

namespace bramleygrade {

/// An instance list older than this is no evidence that an instance has terminated.
constexpr microseconds instanceListMaxAge = 10 * second;
/// A process that has not run for longer than this treats its instance list as outdated.
constexpr microseconds pauseThreshold = 2 * second;
/// After a pause, an entry waits this long for a new instance list before it proceeds without one.
constexpr microseconds listRefreshTimeout = 5 * second;
/// The instance list may lack an instance for this long after the instance began to act.
constexpr microseconds maxListLag = 10 * second;
/// Once all successors of a shard have terminated, any member claims the shard if no message from
/// its owner has arrived for this long.
constexpr microseconds ownerTimeoutWithoutSuccessors = 5 * second;
/// A peer from which no message has arrived for this long gets no new work.
constexpr microseconds peerTimeout = 3 * second;
/// The row of a member that has been absent from the instance list for this long is erased.
constexpr microseconds memberCleanupDelay = 60 * second;
constexpr microseconds pollInterval = second;
/// Name of the shard whose owner writes the service documents.
constexpr char documentShard[] = "documents";
/// Number of home shards, which remember request ids and keep jobs; fixed, since ids map to it.
constexpr int homeShardCount = 14;

/// Maximum number of successors of a shard. In a table outage the owner needs the promises of all
/// of them, so that each additional one is one more entry that must be reachable.
constexpr std::size_t successorCount = 1;

struct member_view
{
    member_row row;
    std::uint64_t rowVersion = 0;
    timestamp knownSince = 0;
    timestamp absentSince = distantFuture;
};

struct cell_state
{
    std::string name;
    std::string identity;
    std::string failureDomain;
    std::string host;
    int peerPort = 0;
    bool isJoined = false;
    bool isDraining = false;

    /// Version of the cell head row at the newest reading of the member and shard rows.
    std::uint64_t headVersion = 0;
    bool isLoaded = false;
    bool isReloadNeeded = true;
    timestamp nextPollAt = 0;
    /// When the newest transaction that the table has answered was sent.
    timestamp tableReachedAt = distantPast;

    std::map<std::string, member_view> members;
    std::map<std::string, instance> instances;
    timestamp listReceivedAt = distantPast;
    timestamp listAskedAt = distantPast;
    /// When this process last resumed after a pause longer than `pauseThreshold`.
    timestamp resumedAt = distantPast;
    /// Names of the rack shards of all racks in the instance list.
    std::set<std::string> listedRacks;

    /// Identity to the time when its newest message arrived.
    std::map<std::string, timestamp> lastMessageAt;
};

/// Name of the instance: the part of an identity before `#`.
std::string nameOfIdentity(const std::string &identity);

/// True where `left` is a later incarnation than `right` of the same entry. A member row that was
/// read before a shard row may name an earlier incarnation than the shard's owner, which is no
/// evidence that the owner has terminated.
bool isNewerIncarnation(const std::string &left, const std::string &right);

/// Name of the shard that remembers this request id, or keeps the jobs of this service.
std::string homeShardOf(const std::string &id);
std::string rackShardOf(const instance &worker);

/// All shards that the cell should have: documents, homes, and one for each rack of the list.
std::vector<std::string> expectedShards(const cell_state &state);

/// The member row of exactly this incarnation, or null.
const member_view *findMember(const cell_state &state, const std::string &identity);

/// True where the platform's list, or a newer incarnation of the same name, shows that the process
/// with this identity cannot act any more. `since` is when this entry first learned of the process;
/// absence from the list counts only from `maxListLag` after it.
bool isTerminated(const cell_state &state, const std::string &identity, timestamp since,
                  timestamp now);

/// True unless the newest list was requested before the process resumed from a pause: an instance
/// listed then may be leaving now. True again once `listRefreshTimeout` has passed without a new
/// list.
bool isListCurrent(const cell_state &state, timestamp now);

/// True where the platform has removed all workers of the rack from its list, so that nothing runs
/// there. `since` is the last time at which something may have been placed there; the list may lag
/// behind it by `maxListLag`.
bool isRackRemoved(const cell_state &state, const std::string &rackShard, timestamp since,
                   timestamp now);

/// Members that are not leaving and either are this entry or have sent it a message within
/// `peerTimeout`, in order of name.
std::vector<std::string> activeMembers(const cell_state &state, timestamp now);

/// Up to `successorCount` active members to succeed this entry, those in other failure domains
/// first.
std::vector<std::string> chooseSuccessors(const cell_state &state, timestamp now);

/// Replaces the known instances with those of `list`.
void updateInstanceList(cell_state &state, const list_update &list, timestamp now);
/// Replaces the known members with the member rows among `rows`.
void updateMembers(cell_state &state, const std::vector<std::unique_ptr<table_row>> &rows,
                   timestamp now);

/// Writes the member row of this entry until it is in the table, and again with `leaving` set when
/// the entry drains.
void joinCell(cell_state &state, operation_tracker &operations, step_context &context);

/// Erases rows of members that have been absent from the instance list for `memberCleanupDelay`,
/// one at a time.
void eraseAbsentMembers(cell_state &state, operation_tracker &operations, step_context &context);

/// Weight in rendezvous hashing: the member with the greatest weight is the preferred owner of
/// `subject`.
std::uint64_t rendezvousWeight(const std::string &member, const std::string &subject);

} // namespace bramleygrade
