#include "core/shard_claims.h"

#include <algorithm>

#include "core/table_rows.h"
#include "core/task_owner.h"

namespace bramleygrade {

namespace {

/// Members other than the preferred owner create a missing shard only after this delay.
constexpr microseconds creationDelay = 2 * second;
/// Successors after the first wait this much longer than the first one before they claim.
constexpr microseconds laterSuccessorDelay = second;
/// Members that are not successors spread their claims over this period.
constexpr microseconds nonSuccessorClaimSpread = 2 * second;
constexpr microseconds writeRetryInterval = second;
constexpr std::size_t concurrentWriteLimit = 8;

bool isSuccessor(const shard_view &view, const std::string &identity)
{
    return std::find(view.row.successors.begin(), view.row.successors.end(), identity)
        != view.row.successors.end();
}

void writeShardRow(authority_state &authority, const std::string &shard, const shard_row &row,
                   bool isClaim, operation_tracker &operations, step_context &context)
{
    shard_view &view = authority.shards[shard];
    table_operation write;
    write.purpose = isClaim ? operation_purpose::claim : operation_purpose::changeRow;
    write.subject = shard;
    addCondition(write.request, shardKey(shard), view.rowVersion);
    addWrite(write.request, shardKey(shard), row);
    addWrite(write.request, cellHeadKey, row);
    view.nextWriteAt = context.now + writeRetryInterval;
    if (view.rowVersion != 0) {
        view.unsettledVersion = view.rowVersion;
        view.unsettledClaims += isClaim ? 1 : 0;
    }
    startOperation(operations, std::move(write), context);
}

void claim(authority_state &authority, const cell_state &cell, const std::string &shard,
           operation_tracker &operations, step_context &context)
{
    const shard_view &view = authority.shards[shard];
    shard_row row;
    row.epoch = view.row.epoch + 1;
    row.owner = cell.identity;
    row.successors = chooseSuccessors(cell, context.now);
    writeShardRow(authority, shard, row, true, operations, context);
}

/// Delay within `nonSuccessorClaimSpread`, fixed for each member and shard.
microseconds nonSuccessorClaimDelay(const cell_state &cell, const std::string &shard)
{
    return static_cast<microseconds>(rendezvousWeight(cell.identity, shard)
                                     % static_cast<std::uint64_t>(nonSuccessorClaimSpread));
}

bool mayClaimAsSuccessor(const authority_state &authority, const cell_state &cell,
                         const shard_view &view, timestamp now)
{
    if (!isSuccessor(view, cell.identity)) {
        return false;
    }
    const auto promised = authority.grantedPromiseExpiry.find(view.row.owner);
    const timestamp promiseExpiry =
        promised == authority.grantedPromiseExpiry.end() ? distantPast : promised->second;
    const auto asked = authority.lastPromiseAskAt.find(view.row.owner);
    const timestamp lastContact = std::max(
        view.knownSince, asked == authority.lastPromiseAskAt.end() ? distantPast : asked->second);
    const bool isFirst = view.row.successors.front() == cell.identity;
    const microseconds claimTimeout = ownerTimeout + (isFirst ? 0 : laterSuccessorDelay);
    return now >= promiseExpiry && now - lastContact >= claimTimeout;
}

/// True where an entry that is not a successor may claim the shard: its owner has terminated, or
/// all successors have and no message from the owner arrives.
bool mayClaimAsNonSuccessor(const cell_state &cell, const std::string &shard,
                            const shard_view &view, timestamp now)
{
    const microseconds delay = nonSuccessorClaimDelay(cell, shard);
    if (now - view.knownSince < delay) {
        return false;
    }
    const timestamp since = view.knownSince + delay;
    if (isTerminated(cell, view.row.owner, since, now)) {
        return true;
    }
    // Successors that have terminated grant no more promises, so that only readings of the row
    // extend the owner's lease, and the claimant's wait outlasts the lease from the last reading.
    const auto &successors = view.row.successors;
    const bool areSuccessorsTerminated =
        std::all_of(successors.begin(), successors.end(), [&](const std::string &successor) {
            return isTerminated(cell, successor, view.successorsSince + delay, now);
        });
    const auto lastMessage = cell.lastMessageAt.find(view.row.owner);
    const timestamp lastContact = std::max(
        since, lastMessage == cell.lastMessageAt.end() ? distantPast : lastMessage->second);
    return areSuccessorsTerminated && now - lastContact >= ownerTimeoutWithoutSuccessors;
}

/// The preferred owner creates a missing shard at once, other members after `creationDelay`.
void createMissingShards(authority_state &authority, const cell_state &cell,
                         operation_tracker &operations, step_context &context)
{
    const std::vector<std::string> active = activeMembers(cell, context.now);
    for (const std::string &shard : expectedShards(cell)) {
        shard_view &view = authority.shards[shard];
        if (view.rowVersion != 0 || context.now < view.nextWriteAt) {
            continue;
        }
        if (view.knownSince == 0) {
            view.knownSince = context.now;
        }
        const auto preferredOwner = std::max_element(
            active.begin(), active.end(), [&shard](const auto &left, const auto &right) {
                return rendezvousWeight(left, shard) < rendezvousWeight(right, shard);
            });
        const bool isPreferredOwner =
            preferredOwner != active.end() && *preferredOwner == cell.identity;
        if (isPreferredOwner || context.now - view.knownSince > creationDelay) {
            claim(authority, cell, shard, operations, context);
        }
    }
}

/// True where the owner should name other successors: one is not active and so cannot grant
/// promises any more, or more are available than the row names.
bool needsNewSuccessors(const cell_state &cell, const shard_view &view, timestamp now)
{
    const std::vector<std::string> active = activeMembers(cell, now);
    for (const std::string &successor : view.row.successors) {
        const bool isActive = std::find(active.begin(), active.end(), successor) != active.end();
        if (!isActive) {
            return active.size() > 1;
        }
    }
    return view.row.successors.size() < std::min(successorCount, active.size() - 1);
}

void proposeSuccessors(authority_state &authority, const cell_state &cell, const std::string &shard,
                       operation_tracker &operations, step_context &context)
{
    shard_view &view = authority.shards[shard];
    shard_row row = view.row;
    row.successors = chooseSuccessors(cell, context.now);
    row.handed_over = false;
    std::vector<std::string> &proposed = view.proposedSuccessors;
    for (const std::string &successor : row.successors) {
        if (std::find(proposed.begin(), proposed.end(), successor) == proposed.end()) {
            proposed.push_back(successor);
        }
    }
    writeShardRow(authority, shard, row, false, operations, context);
}

/// Writes `receiver` as the next owner of the shard, and ends the own lease at once.
void handOver(authority_state &authority, const cell_state &cell, const std::string &shard,
              const std::string &receiver, operation_tracker &operations, step_context &context)
{
    shard_view &view = authority.shards[shard];
    view.isRelinquished = true;
    shard_row row;
    row.epoch = view.row.epoch + 1;
    row.owner = receiver;
    row.successors = chooseSuccessors(cell, context.now);
    row.successors.erase(std::remove(row.successors.begin(), row.successors.end(), receiver),
                         row.successors.end());
    row.successors.insert(row.successors.begin(), cell.identity);
    row.successors.resize(std::min(row.successors.size(), successorCount));
    row.handed_over = true;
    writeShardRow(authority, shard, row, false, operations, context);
}

std::string leastLoadedMember(const authority_state &authority, const cell_state &cell,
                              timestamp now)
{
    std::string best;
    int fewest = 0;
    for (const std::string &member : activeMembers(cell, now)) {
        const int count = countOwnedShards(authority, member);
        if (member != cell.identity && (best.empty() || count < fewest)) {
            best = member;
            fewest = count;
        }
    }
    return best;
}

/// Hands over one shard at a time if this entry owns at least two more than the least loaded
/// member, and all of its shards if it drains.
void handOverSurplus(authority_state &authority, const cell_state &cell, const worker_pool &pool,
                     operation_tracker &operations, step_context &context)
{
    const std::string receiver = leastLoadedMember(authority, cell, context.now);
    if (receiver.empty() || isAnyOperationPending(operations, operation_purpose::changeRow)) {
        return;
    }
    const int own = countOwnedShards(authority, cell.identity);
    const int surplus = own - countOwnedShards(authority, receiver);
    if (!cell.isDraining && surplus < 2) {
        for (auto &[shard, view] : authority.shards) {
            view.isClosing = false;
        }
        return;
    }
    for (auto &[shard, view] : authority.shards) {
        const bool isSettled = view.unsettledVersion == 0 && context.now >= view.nextWriteAt;
        if (!isSettled || !holdsLease(authority, cell.identity, shard, context.now)) {
            continue;
        }
        // The hand-over waits until no start of a task is unconfirmed: one in flight could take
        // effect after the lease of the new owner has started.
        view.isClosing = true;
        if (!hasUnconfirmedStarts(pool, shard)) {
            handOver(authority, cell, shard, receiver, operations, context);
        }
        if (!cell.isDraining) {
            return;
        }
    }
}

void reconcileShard(authority_state &authority, const cell_state &cell, const std::string &shard,
                    operation_tracker &operations, step_context &context)
{
    const shard_view &view = authority.shards[shard];
    if (view.rowVersion == 0 || context.now < view.nextWriteAt) {
        return;
    }
    if (view.row.owner == cell.identity) {
        if (view.isRelinquished) {
            // The hand-over did not take effect, or a clock error ended the lease; the claim begins
            // a new epoch.
            claim(authority, cell, shard, operations, context);
        } else if (view.unsettledVersion != 0 || needsNewSuccessors(cell, view, context.now)) {
            // A new version of the row also prevents a write whose answer was lost from taking
            // effect later.
            proposeSuccessors(authority, cell, shard, operations, context);
        }
        return;
    }
    if (cell.isDraining) {
        return;
    }
    const bool mayClaimNow = mayClaimAsSuccessor(authority, cell, view, context.now)
        || mayClaimAsNonSuccessor(cell, shard, view, context.now);
    if (mayClaimNow) {
        claim(authority, cell, shard, operations, context);
    } else if (view.unsettledClaims > 0) {
        // The owner is active again: a new version of its row prevents the unsettled claim from
        // taking effect later.
        writeShardRow(authority, shard, view.row, false, operations, context);
    }
}

} // namespace

int countOwnedShards(const authority_state &authority, const std::string &owner)
{
    return static_cast<int>(
        std::count_if(authority.shards.begin(), authority.shards.end(), [&owner](const auto &item) {
            return item.second.rowVersion != 0 && item.second.row.owner == owner;
        }));
}

void reconcileShards(authority_state &authority, cell_state &cell, const worker_pool &pool,
                     operation_tracker &operations, step_context &context)
{
    const bool isTableReached = context.now - cell.tableReachedAt < 3 * pollInterval;
    if (!cell.isJoined || !isTableReached
        || operations.unanswered.size() > concurrentWriteLimit + 2) {
        return;
    }
    if (!cell.isDraining) {
        createMissingShards(authority, cell, operations, context);
    }
    std::vector<std::string> shards;
    for (const auto &[shard, view] : authority.shards) {
        shards.push_back(shard);
    }
    for (const std::string &shard : shards) {
        if (operations.unanswered.size() > concurrentWriteLimit) {
            break;
        }
        reconcileShard(authority, cell, shard, operations, context);
    }
    handOverSurplus(authority, cell, pool, operations, context);
}

void handleShardWriteResult(authority_state &authority, const cell_state &cell,
                            const table_operation &operation, const table_result &result,
                            step_context &context)
{
    shard_view &view = authority.shards[operation.subject];
    if (result.outcome == table_outcome::not_applied) {
        // Only this write is certain to have had no effect: an earlier one may still be in flight.
        const bool wasClaim = operation.purpose == operation_purpose::claim;
        view.unsettledClaims = std::max(0, view.unsettledClaims - (wasClaim ? 1 : 0));
        view.nextWriteAt = context.now + writeRetryInterval;
        return;
    }
    const table_row *row = findRow(result.rows, shardKey(operation.subject));
    if (row == nullptr) {
        return;
    }
    const auto value = parseJson<shard_row>(row->value);
    if (value) {
        updateShardRow(authority, cell.identity, operation.subject, *value, row->version,
                       operation.askedAt, context.now);
    }
}

} // namespace bramleygrade
