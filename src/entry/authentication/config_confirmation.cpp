#include "entry/authentication/config_confirmation.h"

#include <algorithm>
#include <functional>

namespace bramleygrade::entry {

namespace {

/// Share of the limit by which the rates of two clocks may differ, in parts per thousand.
constexpr microseconds clockDriftMilli = 20;
/// Share of the limit after which peers are asked, in parts per thousand.
constexpr microseconds askShareMilli = 400;
constexpr microseconds askInterval = 1 * second;
/// Share of the limit that one long poll may last, in parts per thousand: during a poll, the newest
/// confirmation is as old as two polls, which must be less than `askShareMilli`.
constexpr microseconds pollShareMilli = 150;
/// A limit too short to be met does not make the polls a load on the store.
constexpr microseconds minPollDuration = 100 * millisecond;

bool isBehind(const config_confirmation &confirmation, std::int64_t own)
{
    return confirmation.newestVersion > own;
}

} // namespace

timestamp expiryOf(timestamp confirmedAt, microseconds limit)
{
    return confirmedAt + limit - limit * clockDriftMilli / 1'000;
}

void confirm(config_confirmation &confirmation, timestamp at, microseconds limit,
             const std::string &by)
{
    if (at <= confirmation.confirmedAt) {
        return;
    }
    confirmation.confirmedAt = at;
    confirmation.expiresAt = expiryOf(at, limit);
    confirmation.by = by;
}

bool isExpired(const config_confirmation &confirmation, microseconds limit, timestamp now)
{
    return limit > 0 && now >= confirmation.expiresAt;
}

void noteVersion(config_confirmation &confirmation, std::int64_t own, std::int64_t heard,
                 timestamp now, microseconds askDelay)
{
    if (heard <= own || (heard <= confirmation.newestVersion && askDelay > 0)) {
        return;
    }
    confirmation.behindAskAt = isBehind(confirmation, own)
        ? std::min(confirmation.behindAskAt, now + askDelay)
        : now + askDelay;
    confirmation.newestVersion = std::max(confirmation.newestVersion, heard);
}

bool isAskDue(const config_confirmation &confirmation, std::int64_t own, microseconds limit,
              timestamp now)
{
    if (now < confirmation.nextAskAt) {
        return false;
    }
    if (isBehind(confirmation, own) && now >= confirmation.behindAskAt) {
        return true;
    }
    return limit > 0 && now >= confirmation.confirmedAt + limit * askShareMilli / 1'000;
}

std::vector<std::pair<std::string, std::string>>
beginAsk(config_confirmation &confirmation, std::int64_t own,
         const std::map<std::string, std::string> &members, const std::string &self,
         const std::string &scheduler, timestamp now)
{
    std::vector<std::pair<std::string, std::string>> others;
    for (const auto &[name, address] : members) {
        if (name != self && !address.empty()) {
            others.emplace_back(name, address);
        }
    }
    std::vector<std::pair<std::string, std::string>> peers;
    const auto lead = members.find(scheduler);
    if (isBehind(confirmation, own) && scheduler != self && lead != members.end()) {
        peers.emplace_back(*lead);
    }
    const std::size_t wanted = std::min<std::size_t>(
        !peers.empty() || confirmation.hasLastAskFailed ? 2 : 1, others.size());
    // Entries begin at different places, so that they do not all ask the same one.
    const std::size_t start = std::hash<std::string> {}(self) + confirmation.asked;
    for (std::size_t offset = 0; offset < others.size() && peers.size() < wanted; ++offset) {
        const auto &peer = others[(start + offset) % others.size()];
        if (std::find(peers.begin(), peers.end(), peer) == peers.end()) {
            peers.push_back(peer);
        }
    }
    confirmation.asked += peers.size();
    confirmation.nextAskAt = now + askInterval;
    confirmation.hasLastAskFailed = true; // until a peer confirms
    return peers;
}

microseconds pollDuration(microseconds longest, microseconds limit)
{
    if (limit == 0) {
        return longest;
    }
    return std::min(longest, std::max(limit * pollShareMilli / 1'000, minPollDuration));
}

} // namespace bramleygrade::entry
