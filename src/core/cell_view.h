#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/operations.h"

/// \file
/// What an entry knows of the cell: members, instances of the platform's list, and which of them
/// can still act.

namespace bramleygrade {

/// A list older than this says nothing about who is gone.
constexpr microseconds instanceListMaxAge = 10 * second;
/// A process that has not run for this long takes what it knows for outdated.
constexpr microseconds pauseThreshold = 2 * second;
constexpr microseconds listRefreshTimeout = 5 * second;
/// The list may lack an instance this long after it began to act.
constexpr microseconds maxListLag = 10 * second;
/// Without successors that could act, any member claims a shard whose owner was not heard this
/// long.
constexpr microseconds ownerTimeoutWithoutSuccessors = 5 * second;
/// A peer that was not heard for this long gets no new work.
constexpr microseconds peerTimeout = 3 * second;
/// Row of a member that the list has not held for this long is erased.
constexpr microseconds memberCleanupDelay = 60 * second;
constexpr microseconds pollInterval = second;
/// Documents, and homes of request ids, are shards of a fixed number.
constexpr char documentShard[] = "documents";
constexpr int homeShardCount = 14;

/// Each more successor is one more entry whose promise an owner needs in a table outage.
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

    std::uint64_t headVersion = 0;
    bool isLoaded = false;
    bool isReloadNeeded = true;
    timestamp nextPollAt = 0;
    timestamp tableReachedAt = distantPast;

    std::map<std::string, member_view> members;
    std::map<std::string, instance> instances;
    timestamp listReceivedAt = distantPast;
    timestamp listAskedAt = distantPast;
    /// When this process last went on after it had not run for a while.
    timestamp resumedAt = distantPast;
    std::set<std::string> listedRacks;

    /// Identity to the time of its newest message.
    std::map<std::string, timestamp> lastMessageAt;
};

/// Part of an identity before `#`.
std::string nameOfIdentity(const std::string &identity);

/// True where `left` is a later incarnation of the same entry. A member row that was read before a
/// shard row may name an earlier one, which says nothing about the owner of the shard.
bool isNewerIncarnation(const std::string &left, const std::string &right);

/// Name of the shard that remembers this request id or keeps this job.
std::string homeShardOf(const std::string &id);
std::string rackShardOf(const instance &worker);

/// All shards that the cell should have: documents, homes, and a shard for each rack.
std::vector<std::string> expectedShards(const cell_state &state);

/// The member row for this very incarnation, or null.
const member_view *findMember(const cell_state &state, const std::string &identity);

/// True where the platform's list, or a newer incarnation at its address, shows that the process
/// with this identity cannot act any more. `since` is when this entry first learned of it.
bool isTerminated(const cell_state &state, const std::string &identity, timestamp since,
                  timestamp now);

/// True unless the newest list was asked for before the process went on after a pause: what was
/// listed then may be leaving now. An entry that gets no list goes on after `listRefreshTimeout`
/// all the same.
bool isListCurrent(const cell_state &state, timestamp now);

/// True where the platform has taken all workers of the rack from its list, so that nothing runs
/// there. `since` is when something may last have been placed there: the list may lag behind that.
bool isRackRemoved(const cell_state &state, const std::string &rackShard, timestamp since,
                   timestamp now);

/// Members that were heard lately and are not leaving, this entry included, in order of name.
std::vector<std::string> activeMembers(const cell_state &state, timestamp now);

/// Members to succeed this entry, first those in other failure domains.
std::vector<std::string> chooseSuccessors(const cell_state &state, timestamp now);

void updateInstanceList(cell_state &state, const list_update &list, timestamp now);
void updateMembers(cell_state &state, const std::vector<std::unique_ptr<table_row>> &rows,
                   timestamp now);

/// Writes the own member row until it stands in the table, and again to say that the entry leaves.
void joinCell(cell_state &state, operation_tracker &operations, step_context &context);

/// Erases rows of members that have long been absent from the list.
void eraseAbsentMembers(cell_state &state, operation_tracker &operations, step_context &context);

/// Rendezvous weight: the member with the greatest weight is the natural holder of `subject`.
std::uint64_t rendezvousWeight(const std::string &member, const std::string &subject);

} // namespace bramleygrade
