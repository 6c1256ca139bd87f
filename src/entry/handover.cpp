#include <algorithm>

#include "entry/membership.h"
#include "entry/observation.h"

namespace bramleygrade::entry {

namespace {

/// A processor share of more than this many times one's own counts as much larger.
constexpr std::int64_t largerShareFactor = 2;
/// Time that a scheduler leads before it hands over to an entry with a larger processor share.
constexpr microseconds minLeadTime = 2 * second;

/// Time after a takeover by which all workers are usually reconciled.
constexpr microseconds maxReconcileTime = 8 * second;

/// Returns true if restored tasks wait for workers. A successor would begin to wait anew.
bool isReconciling(const leader_state &leaderState, timestamp now)
{
    return now < leaderState.cell.tookOverAt + maxReconcileTime
        && countUnreconciledWorkers(leaderState.cell) > 0;
}

/// Returns true if the member has not answered this scheduler's last heartbeat.
bool isUnresponsive(const entry_state &entry, const std::string &name)
{
    if (!entry.leaderState) {
        return false;
    }
    const auto missed = entry.leaderState->missedHeartbeats.find(name);
    return missed != entry.leaderState->missedHeartbeats.end() && missed->second > 0;
}

/// Returns true if a responsive member has a much larger processor share.
bool hasLargerMember(const entry_state &entry)
{
    return std::any_of(entry.processorShares.begin(), entry.processorShares.end(),
                       [&](const auto &other) {
                           return !isUnresponsive(entry, other.first)
                               && entry.settings.processorMilli * largerShareFactor < other.second;
                       });
}

/// Returns the other members' addresses: responsive members first, larger processor shares first.
std::vector<std::string> successorAddresses(const entry_state &entry)
{
    std::vector<std::pair<std::pair<bool, std::int64_t>, std::string>> others;
    for (const auto &[name, address] : entry.members) {
        if (name != entry.settings.name) {
            const auto share = entry.processorShares.find(name);
            const std::int64_t known = share == entry.processorShares.end() ? 0 : share->second;
            others.emplace_back(std::make_pair(isUnresponsive(entry, name), -known), address);
        }
    }
    std::stable_sort(others.begin(), others.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<std::string> addresses;
    addresses.reserve(others.size());
    for (const auto &[rank, address] : others) {
        addresses.push_back(address);
    }
    return addresses;
}

} // namespace

bool isHandoverToLargerDue(const entry_state &entry, timestamp now)
{
    const leader_state &leaderState = *entry.leaderState;
    return !leaderState.write && !leaderState.handoverInFlight && now >= leaderState.nextHandoverAt
        && now >= leaderState.cell.tookOverAt + minLeadTime && hasLargerMember(entry)
        && !isReconciling(leaderState, now);
}

void handOverToLarger(entry_state &entry, timestamp now)
{
    leader_state &leaderState = *entry.leaderState;
    leaderState.nextHandoverAt = now + minLeadTime;
    logEvent(entry, "handover_to_larger",
             {{"own_processor_milli", std::to_string(entry.settings.processorMilli)}});
    handOverTo(entry, successorAddresses(entry).front(), [](bool) {});
}

void handOver(entry_state &entry, const std::function<void(bool)> &done)
{
    if (entry.leaderState->handoverInFlight) {
        return;
    }
    const std::vector<std::string> addresses = successorAddresses(entry);
    if (addresses.empty()) {
        done(false);
        return;
    }
    // A different entry is asked each time, since the entry asked before may not reach the store.
    const std::size_t index = entry.leaderState->nextSuccessorIndex++ % addresses.size();
    handOverTo(entry, addresses[index], done);
}

void handOverTo(entry_state &entry, const std::string &address,
                const std::function<void(bool)> &done)
{
    ++entry.metrics.counters["handovers_asked"];
    entry.leaderState->handoverInFlight = true;
    member_status memberStatus;
    memberStatus.sender = self(entry);
    memberStatus.epoch = entry.epoch;
    // While a write is under way, the version of the head row is not known.
    memberStatus.headVersion = entry.leaderState->write ? 0 : entry.leaderState->headVersion;
    sendPeer(entry, address, "/handover", encodeMemberStatus(memberStatus), 2 * headTimeout, false,
             [&entry, done, epoch = entry.epoch](const net::call_result &result) {
                 const bool taken = result.status == 200;
                 // This entry may lead again by now, in a later epoch.
                 if (entry.leaderState && entry.epoch == epoch) {
                     entry.leaderState->handoverInFlight = false;
                     entry.leaderState->mustWriteBeforeHandover = true;
                     if (taken) {
                         stepDown(entry, "another entry has taken over on request");
                     }
                 }
                 done(taken);
             });
}

} // namespace bramleygrade::entry
