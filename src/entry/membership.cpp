#include <algorithm>
#include <functional>

#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

/// Silence after which a scheduler is looked for; three signs of life are missing by then.
constexpr microseconds silenceLimit = 450 * millisecond;
/// Pause between two looks for the scheduler.
constexpr microseconds probePause = 150 * millisecond;
/// Time that another entry gets to answer.
constexpr microseconds peerPatience = 200 * millisecond;
constexpr microseconds storePatience = 700 * millisecond;
/// A sign of life that another entry heard within this counts as ours.
constexpr microseconds freshHearing = 350 * millisecond;
/// Claims are spread over this much time, so that one of many claimants is first.
constexpr microseconds claimSpread = 100 * millisecond;
/// A processor share this many times one's own counts as much larger.
constexpr std::int64_t muchLarger = 2;
/// Time that a scheduler acts before it hands over to an entry with a larger processor share.
constexpr microseconds calmBeforeHandover = 2 * second;

/// Whether the member left the last sign of life of this scheduler unanswered.
bool isSilent(const entry_state &entry, const std::string &name)
{
    if (!entry.leaderState) {
        return false;
    }
    const auto missed = entry.leaderState->missedHeartbeats.find(name);
    return missed != entry.leaderState->missedHeartbeats.end() && missed->second > 0;
}

/// Whether another member, the scheduler of now aside, has a much larger processor share.
bool isOutmatched(const entry_state &entry)
{
    return std::any_of(
        entry.processorShares.begin(), entry.processorShares.end(), [&](const auto &other) {
            return other.first != entry.scheduler.name && !isSilent(entry, other.first)
                && entry.settings.processorMilli * muchLarger < other.second;
        });
}

microseconds claimDelay(const entry_state &entry)
{
    const auto mixed = std::hash<std::string> {}(entry.settings.name + entry.incarnation);
    const auto spread = static_cast<microseconds>(mixed % static_cast<std::size_t>(claimSpread));
    return spread + (isOutmatched(entry) ? claimSpread : 0);
}

/// The addresses of the other members: those that are heard first, and among these the ones with
/// the largest processor share.
std::vector<std::string> successors(const entry_state &entry)
{
    std::vector<std::pair<std::pair<bool, std::int64_t>, std::string>> others;
    for (const auto &[name, address] : entry.members) {
        if (name != entry.settings.name) {
            const auto share = entry.processorShares.find(name);
            const std::int64_t known = share == entry.processorShares.end() ? 0 : share->second;
            others.emplace_back(std::make_pair(isSilent(entry, name), -known), address);
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

void endProbe(entry_state &entry)
{
    entry.isProbing = false;
    entry.nextProbeAt = steadyNow() + probePause;
}

void claimAfterProbe(entry_state &entry, std::int64_t version, std::int64_t epoch)
{
    claimHead(entry, version, epoch, [&entry](bool) { endProbe(entry); });
}

/// One look for the scheduler: what it and the other entries answer.
struct scheduler_look
{
    std::int64_t version = 0;
    std::int64_t epoch = 0;
    timestamp startedAt = distantPast;
    std::size_t open = 0;
    bool heard = false;
    bool ended = false;
};

using look_pointer = std::shared_ptr<scheduler_look>;

void endLook(entry_state &entry, const look_pointer &look)
{
    look->ended = true;
    endProbe(entry);
}

/// Takes one answer into account; after the last one claims the head, if nobody hears the
/// scheduler.
void settleLook(entry_state &entry, const look_pointer &look)
{
    if (look->ended || --look->open > 0) {
        return;
    }
    look->ended = true;
    if (look->heard || entry.schedulerSeenAt > look->startedAt) {
        endProbe(entry);
    } else {
        claimAfterProbe(entry, look->version, look->epoch);
    }
}

/// Asks another entry whether it hears the scheduler.
void askOpinion(entry_state &entry, const std::string &address, const look_pointer &look)
{
    sendPeer(entry, address, "/word", "{}", peerPatience, true,
             [&entry, look](const net::call_result &result) {
                 const auto word = decodeMemberStatus(result.body);
                 const bool answered = result.status == 200 && word;
                 const bool hears = answered && word->epoch >= look->epoch
                     && word->schedulerSeenAgo >= 0 && word->schedulerSeenAgo < freshHearing;
                 look->heard = look->heard || hears || (answered && word->isClaiming);
                 settleLook(entry, look);
             });
}

/// Joins the scheduler that the head row names, and asks the other entries at the same time
/// whether they hear it. A scheduler that was not known before gets some time to start, unless
/// it says that it does not act.
void lookForScheduler(entry_state &entry, const head_row &head, std::int64_t version, bool isNew)
{
    const auto look = std::make_shared<scheduler_look>();
    look->version = version;
    look->epoch = head.epoch;
    look->startedAt = steadyNow();
    std::vector<std::string> others;
    for (const auto &[name, address] : entry.members) {
        if (name != entry.settings.name && address != head.address) {
            others.push_back(address);
        }
    }
    look->open = others.size() + 1;
    member_status word;
    word.sender = self(entry);
    word.epoch = head.epoch;
    sendPeer(entry, head.address, "/hello", encodeMemberStatus(word), peerPatience, true,
             [&entry, look, isNew](const net::call_result &result) {
                 const auto answer = decodeMemberStatus(result.body);
                 const bool answered = result.status == 200 && answer;
                 const bool firstTry = isNew && entry.schedulerSeenAt != distantPast;
                 if (answered && answer->isScheduler) {
                     recordScheduler(entry, answer->epoch, answer->sender, steadyNow());
                 } else if (firstTry && result.outcome == net::call_outcome::unanswered) {
                     entry.schedulerSeenAt = steadyNow();
                 } else {
                     look->heard = look->heard || (answered && answer->isClaiming);
                     settleLook(entry, look);
                     return;
                 }
                 if (!look->ended) {
                     endLook(entry, look);
                 }
             });
    for (const std::string &address : others) {
        askOpinion(entry, address, look);
    }
}

void probeScheduler(entry_state &entry)
{
    entry.isProbing = true;
    readHead(entry,
             [&entry](const store_result &result, const std::optional<head_row> &head,
                      std::int64_t version) {
                 if (result.outcome != store_outcome::done || entry.role != entry_role::follower) {
                     endProbe(entry);
                     return;
                 }
                 if (!head) {
                     claimAfterProbe(entry, version, 0);
                     return;
                 }
                 if (head->epoch > entry.epoch) {
                     entry.epoch = head->epoch;
                     entry.scheduler = {head->scheduler, head->address};
                 }
                 if (head->address == self(entry).address) {
                     claimAfterProbe(entry, version, head->epoch);
                     return;
                 }
                 lookForScheduler(entry, *head, version, false);
             });
}

} // namespace

void recordProcessorShare(entry_state &entry, const member &other)
{
    if (other.processorMilli > 0) {
        entry.processorShares[other.name] = other.processorMilli;
    }
}

void handOverToLarger(entry_state &entry, timestamp now)
{
    leader_state &leaderState = *entry.leaderState;
    if (leaderState.write || leaderState.handoverInFlight || now < leaderState.nextHandoverAt
        || now < leaderState.cell.tookOverAt + calmBeforeHandover || !isOutmatched(entry)) {
        return;
    }
    leaderState.nextHandoverAt = now + calmBeforeHandover;
    logEvent(entry, "handover_to_larger",
             {{"own_processor_milli", std::to_string(entry.settings.processorMilli)}});
    handOverTo(entry, successors(entry).front(), [](bool) {});
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
        stepDown(entry, "a higher epoch acts");
    }
    entry.epoch = epoch;
    entry.scheduler = scheduler;
    entry.schedulerSeenAt = now;
    entry.members[scheduler.name] = scheduler.address;
    recordProcessorShare(entry, scheduler);
    if (changed) {
        logEvent(entry, "scheduler_known",
                 {{"scheduler", scheduler.name}, {"epoch", std::to_string(epoch)}});
        resendForwarded(entry);
    }
}

void suspectScheduler(entry_state &entry)
{
    entry.schedulerSeenAt = std::min(entry.schedulerSeenAt, steadyNow() - silenceLimit);
}

void monitorScheduler(entry_state &entry, timestamp now)
{
    if (entry.role != entry_role::follower || entry.isProbing || entry.stopping
        || now < entry.nextProbeAt) {
        return;
    }
    const microseconds limit = entry.schedulerSeenAt == distantPast ? 0 : silenceLimit;
    if (now < entry.schedulerSeenAt + limit + claimDelay(entry)) {
        return;
    }
    if (entry.schedulerSeenAt != distantPast) {
        logEvent(entry, "scheduler_silent",
                 {{"scheduler", entry.scheduler.name},
                  {"epoch", std::to_string(entry.epoch)},
                  {"silent_ms", std::to_string((now - entry.schedulerSeenAt) / millisecond)}});
    }
    probeScheduler(entry);
}

void readHead(
    entry_state &entry,
    const std::function<void(store_result, std::optional<head_row>, std::int64_t version)> &done)
{
    const row_range range {headTable, "", "", true};
    entry.ports.store.read(range, steadyNow() + storePatience,
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
                                           entry.members.emplace(other.name, other.address);
                                       }
                                   }
                               }
                               done(result, head, version);
                           });
}

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
    logEvent(entry, "claim", {{"epoch", std::to_string(next)}});
    entry.ports.store.write(
        claim, steadyNow() + storePatience, [&entry, next, done](const store_result &result) {
            entry.role = entry_role::follower;
            if (result.outcome == store_outcome::done) {
                entry.epoch = next;
                startLeading(entry, result.version);
                done(true);
                return;
            }
            if (result.outcome != store_outcome::unanswered) {
                done(false);
                return;
            }
            // The claim may have taken effect: the row tells.
            readHead(entry,
                     [&entry, next, done](const store_result &, const std::optional<head_row> &head,
                                          std::int64_t now) {
                         const bool mine = head && head->epoch == next && head->sequence == 0
                             && head->incarnation == entry.incarnation
                             && entry.role == entry_role::follower;
                         if (mine) {
                             entry.epoch = next;
                             startLeading(entry, now);
                         }
                         done(mine);
                     });
        });
}

void stepDown(entry_state &entry, const char *reason)
{
    if (!entry.leaderState) {
        return;
    }
    logEvent(entry, "stepped_down", {{"epoch", std::to_string(entry.epoch)}, {"reason", reason}});
    ++entry.metrics.counters["stepped_down_total"];
    entry.role = entry_role::follower;
    const std::unique_ptr<leader_state> former = std::move(entry.leaderState);
    entry.decideTimer.cancel();
    entry.scheduler = {};
    entry.schedulerSeenAt = steadyNow() - silenceLimit;
    for (const auto &call : former->deferredCalls) {
        call();
    }
    for (const auto &[id, waiter] : former->waiters) {
        caller_answer answer;
        answer.kind = answer_kind::unknown;
        answer.reason = "the scheduler has changed";
        waiter.answer(answer);
    }
}

void handOver(entry_state &entry, const std::function<void(bool)> &done)
{
    if (entry.leaderState->handoverInFlight) {
        return;
    }
    const std::vector<std::string> addresses = successors(entry);
    if (addresses.empty()) {
        done(false);
        return;
    }
    // Another one is asked each time, in case the first cannot reach the store either.
    const std::size_t turn = entry.leaderState->nextSuccessorIndex++ % addresses.size();
    handOverTo(entry, addresses[turn], done);
}

void handOverTo(entry_state &entry, const std::string &address,
                const std::function<void(bool)> &done)
{
    ++entry.metrics.counters["handovers_asked"];
    entry.leaderState->handoverInFlight = true;
    member_status word;
    word.sender = self(entry);
    word.epoch = entry.epoch;
    // With a write under way the row's version is not known.
    word.headVersion = entry.leaderState->write ? 0 : entry.leaderState->headVersion;
    sendPeer(entry, address, "/handover", encodeMemberStatus(word), 2 * storePatience, false,
             [&entry, done, epoch = entry.epoch](const net::call_result &result) {
                 const bool taken = result.status == 200;
                 // This entry may have come to lead again meanwhile, in a later epoch.
                 if (entry.leaderState && entry.epoch == epoch) {
                     entry.leaderState->handoverInFlight = false;
                     entry.leaderState->mustWriteBeforeHandover = true;
                     if (taken) {
                         stepDown(entry, "handed over");
                     }
                 }
                 done(taken);
             });
}

} // namespace bramleygrade::entry
