#include "core/cell_view.h"

#include <algorithm>
#include <string_view>

#include "core/table_rows.h"

namespace bramleygrade {

namespace {

constexpr std::uint64_t fnvOffset = 14695981039346656037ull;
constexpr std::uint64_t fnvPrime = 1099511628211ull;

std::uint64_t addToHash(std::uint64_t hash, std::string_view text)
{
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * fnvPrime;
    }
    return hash;
}

/// Finaliser of splitmix64 (Steele, Lea, Flood 2014); FNV alone distributes short keys unevenly.
std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ull;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebull;
    return value ^ (value >> 31);
}

bool isLeaving(const cell_state &state, const member_view &member)
{
    const auto listed = state.instances.find(nameOfIdentity(member.row.identity));
    const bool listSaysLeaving =
        listed != state.instances.end() && listed->second.state == instance_state::leaving;
    return member.row.leaving || listSaysLeaving;
}

} // namespace

std::string nameOfIdentity(const std::string &identity)
{
    return identity.substr(0, identity.find('#'));
}

bool isNewerIncarnation(const std::string &left, const std::string &right)
{
    const std::string leftNumber = left.substr(nameOfIdentity(left).size());
    const std::string rightNumber = right.substr(nameOfIdentity(right).size());
    return leftNumber.size() != rightNumber.size() ? leftNumber.size() > rightNumber.size()
                                                   : leftNumber > rightNumber;
}

std::string homeShardOf(const std::string &id)
{
    const std::uint64_t hash = mixBits(addToHash(fnvOffset, id));
    return "home-" + std::to_string(hash % homeShardCount);
}

std::string rackShardOf(const instance &worker)
{
    return "rack-" + worker.rack;
}

std::vector<std::string> expectedShards(const cell_state &state)
{
    std::set<std::string> shards {documentShard};
    for (int number = 0; number < homeShardCount; ++number) {
        shards.insert("home-" + std::to_string(number));
    }
    shards.insert(state.listedRacks.begin(), state.listedRacks.end());
    return {shards.begin(), shards.end()};
}

const member_view *findMember(const cell_state &state, const std::string &identity)
{
    const auto member = state.members.find(nameOfIdentity(identity));
    if (member == state.members.end() || member->second.row.identity != identity) {
        return nullptr;
    }
    return &member->second;
}

bool isTerminated(const cell_state &state, const std::string &identity, timestamp since,
                  timestamp now)
{
    const auto member = state.members.find(nameOfIdentity(identity));
    if (member != state.members.end()
        && isNewerIncarnation(member->second.row.identity, identity)) {
        return true;
    }
    const bool isListFresh = now - state.listReceivedAt < instanceListMaxAge;
    const bool isPastListLag = now - since > maxListLag;
    return isListFresh && isPastListLag && state.instances.count(nameOfIdentity(identity)) == 0;
}

bool isListCurrent(const cell_state &state, timestamp now)
{
    return state.listAskedAt >= state.resumedAt || now - state.resumedAt > listRefreshTimeout;
}

bool isRackRemoved(const cell_state &state, const std::string &rackShard, timestamp since,
                   timestamp now)
{
    const bool isListFresh = now - state.listReceivedAt < instanceListMaxAge;
    return isListFresh && now - since > maxListLag && state.listedRacks.count(rackShard) == 0;
}

std::vector<std::string> activeMembers(const cell_state &state, timestamp now)
{
    std::vector<std::string> active;
    for (const auto &[name, member] : state.members) {
        if (isLeaving(state, member)) {
            continue;
        }
        const auto lastMessage = state.lastMessageAt.find(member.row.identity);
        const bool isAlive =
            lastMessage != state.lastMessageAt.end() && now - lastMessage->second < peerTimeout;
        if (member.row.identity == state.identity || isAlive) {
            active.push_back(member.row.identity);
        }
    }
    return active;
}

std::vector<std::string> chooseSuccessors(const cell_state &state, timestamp now)
{
    std::vector<std::string> candidates = activeMembers(state, now);
    candidates.erase(std::remove(candidates.begin(), candidates.end(), state.identity),
                     candidates.end());
    const auto preference = [&state](const std::string &identity) {
        const member_view *member = findMember(state, identity);
        const bool isSameDomain =
            member != nullptr && member->row.failure_domain == state.failureDomain;
        return std::make_pair(isSameDomain, ~rendezvousWeight(identity, state.identity));
    };
    std::sort(candidates.begin(), candidates.end(),
              [&preference](const std::string &left, const std::string &right) {
                  return preference(left) < preference(right);
              });
    candidates.resize(std::min(candidates.size(), successorCount));
    return candidates;
}

void updateInstanceList(cell_state &state, const list_update &list, timestamp now)
{
    state.instances.clear();
    state.listedRacks.clear();
    for (const auto &listed : list.instances) {
        state.instances.emplace(listed->name, *listed);
        if (!listed->rack.empty()) {
            state.listedRacks.insert(rackShardOf(*listed));
        }
    }
    state.listReceivedAt = now;
    for (auto &[name, member] : state.members) {
        const bool isAbsent = state.instances.count(name) == 0;
        member.absentSince = isAbsent ? std::min(member.absentSince, now) : distantFuture;
    }
}

void updateMembers(cell_state &state, const std::vector<std::unique_ptr<table_row>> &rows,
                   timestamp now)
{
    const std::string_view prefix = memberPrefix;
    std::map<std::string, member_view> members;
    for (const auto &row : rows) {
        if (row->key.compare(0, prefix.size(), prefix) != 0) {
            continue;
        }
        auto value = parseJson<member_row>(row->value);
        if (!value) {
            continue;
        }
        const std::string name = row->key.substr(prefix.size());
        const auto known = state.members.find(name);
        const bool isKnown =
            known != state.members.end() && known->second.row.identity == value->identity;
        member_view member = isKnown ? known->second : member_view {};
        member.knownSince = isKnown ? member.knownSince : now;
        member.row = *value;
        member.rowVersion = row->version;
        members.emplace(name, std::move(member));
    }
    state.members = std::move(members);
    const member_view *own = findMember(state, state.identity);
    state.isJoined = own != nullptr;
}

void joinCell(cell_state &state, operation_tracker &operations, step_context &context)
{
    const member_view *own = findMember(state, state.identity);
    const bool isRowOutdated =
        own == nullptr ? !state.isDraining : state.isDraining && !own->row.leaving;
    if (!state.isLoaded || !isRowOutdated
        || isOperationPending(operations, operation_purpose::join)) {
        return;
    }
    member_row row;
    row.identity = state.identity;
    row.host = state.host;
    row.peer_port = state.peerPort;
    row.failure_domain = state.failureDomain;
    row.leaving = state.isDraining;
    const auto former = state.members.find(state.name);
    const std::uint64_t version = former == state.members.end() ? 0 : former->second.rowVersion;
    table_operation join;
    join.purpose = operation_purpose::join;
    addCondition(join.request, memberKey(state.name), version);
    addWrite(join.request, memberKey(state.name), row);
    addWrite(join.request, cellHeadKey, row);
    startOperation(operations, std::move(join), context);
}

void eraseAbsentMembers(cell_state &state, operation_tracker &operations, step_context &context)
{
    if (isOperationPending(operations, operation_purpose::leave)) {
        return;
    }
    for (const auto &[name, member] : state.members) {
        const bool isLongAbsent = member.absentSince < context.now - memberCleanupDelay;
        if (!isLongAbsent || member.row.identity == state.identity) {
            continue;
        }
        table_operation erase;
        erase.purpose = operation_purpose::leave;
        addCondition(erase.request, memberKey(name), member.rowVersion);
        addErase(erase.request, memberKey(name));
        addWrite(erase.request, cellHeadKey, member.row);
        startOperation(operations, std::move(erase), context);
        return;
    }
}

std::uint64_t rendezvousWeight(const std::string &member, const std::string &subject)
{
    return mixBits(addToHash(addToHash(fnvOffset, member), subject));
}

} // namespace bramleygrade
