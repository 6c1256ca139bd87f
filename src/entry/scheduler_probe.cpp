#include <algorithm>
#include <functional>

#include "entry/membership.h"

namespace bramleygrade::entry {

namespace {

/// Pause between two probes of the scheduler.
constexpr microseconds probeInterval = 150 * millisecond;
/// Timeout for another entry's answer to a probe.
constexpr microseconds probeTimeout = 200 * millisecond;
/// Number of other entries that one probe asks, so that its cost does not grow with the cell.
constexpr std::size_t maxAskedPeers = 5;
/// A scheduler whose event loop is blocked for less than this is busy, not dead.
constexpr microseconds maxBlockedTime = 1'200 * millisecond;
/// A scheduler that has not been heard for longer is replaced even if its event loop runs, as it
/// cannot reach this entry.
constexpr microseconds maxBusySilence = 2 * second;
/// A scheduler that another entry has seen within this time counts as alive.
constexpr microseconds recentContactLimit = 350 * millisecond;

void endProbe(entry_state &entry)
{
    entry.isProbing = false;
    entry.nextProbeAt = steadyNow() + probeInterval;
}

void claimAfterProbe(entry_state &entry, std::int64_t version, std::int64_t epoch)
{
    claimHead(entry, version, epoch, [&entry](bool) { endProbe(entry); });
}

/// One probe: the answers of the scheduler and of the other entries.
struct scheduler_probe
{
    std::int64_t version = 0;
    std::int64_t epoch = 0;
    microseconds claimDelay = 0;
    timestamp startedAt = distantPast;
    /// When the scheduler had been seen last as the probe started.
    timestamp schedulerSeenAt = distantPast;
    std::size_t openAnswers = 0;
    /// Number of other entries asked, and of those that answered.
    std::size_t asked = 0;
    std::size_t answered = 0;
    /// Shortest time since another entry has seen the scheduler; -1: no answer tells.
    microseconds newestContactAgo = -1;
    bool isAlive = false;
    bool isEnded = false;
};

using probe_pointer = std::shared_ptr<scheduler_probe>;

void completeProbe(entry_state &entry, const probe_pointer &probe)
{
    probe->isEnded = true;
    endProbe(entry);
}

/// Claims the head row, unless a scheduler was heard or another entry has announced a claim since
/// the probe started, or the silence may be due to this entry's own lateness.
void claimIfSilent(entry_state &entry, const probe_pointer &probe)
{
    const timestamp now = steadyNow();
    const bool isUncertain =
        now < probe->schedulerSeenAt + maxBusySilence && wasLate(entry, probe->startedAt, now);
    // The claim before this turn may still be on its way to the store, as writes can take longer
    // than the turns are apart. The next probe finds out whether it has succeeded.
    const bool isClaimed = entry.otherClaimAt >= probe->startedAt;
    if (isUncertain || isClaimed || entry.schedulerSeenAt > probe->startedAt) {
        endProbe(entry);
    } else {
        logEvent(
            entry, "probe_failed",
            {{"epoch", std::to_string(probe->epoch)},
             {"asked", std::to_string(probe->asked)},
             {"answered", std::to_string(probe->answered)},
             {"seen_by_others_ms_ago",
              probe->newestContactAgo < 0 ? "never"
                                          : std::to_string(probe->newestContactAgo / millisecond)},
             {"took_ms", std::to_string((now - probe->startedAt) / millisecond)}});
        claimAfterProbe(entry, probe->version, probe->epoch);
    }
}

/// Counts one answer. After the last one waits for this entry's turn to claim, unless the scheduler
/// is alive.
void countProbeAnswer(entry_state &entry, const probe_pointer &probe)
{
    if (probe->isEnded || --probe->openAnswers > 0) {
        return;
    }
    probe->isEnded = true;
    if (probe->isAlive) {
        endProbe(entry);
    } else if (probe->claimDelay == 0) {
        claimIfSilent(entry, probe);
    } else {
        runAfter(entry, probe->claimDelay, [&entry, probe] { claimIfSilent(entry, probe); });
    }
}

/// Returns the addresses of the entries that this entry asks about the scheduler. Different entries
/// ask different ones.
std::vector<std::string> chooseAskedPeers(const entry_state &entry, const std::string &scheduler)
{
    std::vector<std::pair<std::size_t, std::string>> others;
    for (const auto &[name, address] : entry.members) {
        if (name != entry.settings.name && address != scheduler) {
            others.emplace_back(std::hash<std::string> {}(entry.settings.name + '/' + name),
                                address);
        }
    }
    std::sort(others.begin(), others.end());
    std::vector<std::string> addresses;
    for (std::size_t index = 0; index < std::min(maxAskedPeers, others.size()); ++index) {
        addresses.push_back(others[index].second);
    }
    return addresses;
}

/// Asks another entry whether it has seen the scheduler recently.
void askPeer(entry_state &entry, const std::string &address, const probe_pointer &probe)
{
    sendPeer(entry, address, "/word", "{}", probeTimeout, true,
             [&entry, probe](const net::call_result &result) {
                 const auto memberStatus = decodeMemberStatus(result.body);
                 const bool answered = result.status == 200 && memberStatus;
                 const bool seesScheduler = answered && memberStatus->epoch >= probe->epoch
                     && memberStatus->schedulerSeenAgo >= 0
                     && memberStatus->schedulerSeenAgo < recentContactLimit;
                 probe->answered += answered ? 1 : 0;
                 if (answered && memberStatus->epoch >= probe->epoch
                     && memberStatus->schedulerSeenAgo >= 0
                     && (probe->newestContactAgo < 0
                         || memberStatus->schedulerSeenAgo < probe->newestContactAgo)) {
                     probe->newestContactAgo = memberStatus->schedulerSeenAgo;
                 }
                 probe->isAlive =
                     probe->isAlive || seesScheduler || (answered && memberStatus->isClaiming);
                 countProbeAnswer(entry, probe);
             });
}

/// Asks the scheduler's process for the state of its event loop, which may be too busy to answer.
void askLiveness(entry_state &entry, const std::string &address, const probe_pointer &probe)
{
    queryLiveness(entry.loop, address, probe->startedAt + probeTimeout,
                  [&entry, probe](const std::optional<liveness_report> &report) {
                      const bool isReachable = probe->schedulerSeenAt == distantPast
                          || probe->startedAt < probe->schedulerSeenAt + maxBusySilence;
                      const bool isBusy = report && report->leadingEpoch >= probe->epoch
                          && report->blockedFor < maxBlockedTime && isReachable;
                      if (isBusy && !probe->isEnded) {
                          logEvent(
                              entry, "scheduler_busy",
                              {{"scheduler", entry.scheduler.name},
                               {"blocked_ms", std::to_string(report->blockedFor / millisecond)}});
                      }
                      probe->isAlive = probe->isAlive || isBusy;
                      countProbeAnswer(entry, probe);
                  });
}

/// Sends a hello to the scheduler that the head row names, and asks some other entries whether they
/// have seen it. A new scheduler gets time to start if it does not answer, but not if it answers
/// that it does not lead.
void contactScheduler(entry_state &entry, const head_row &head, std::int64_t version, bool isNew,
                      const claim_turn &turn)
{
    const auto probe = std::make_shared<scheduler_probe>();
    probe->version = version;
    probe->epoch = head.epoch;
    probe->claimDelay = turn.claimDelay;
    probe->startedAt = steadyNow();
    probe->schedulerSeenAt = entry.schedulerSeenAt;
    const std::vector<std::string> peers = chooseAskedPeers(entry, head.address);
    probe->openAnswers = peers.size() + 2;
    probe->asked = peers.size();
    member_status memberStatus;
    memberStatus.sender = self(entry);
    memberStatus.epoch = head.epoch;
    sendPeer(entry, head.address, "/hello", encodeMemberStatus(memberStatus), probeTimeout, true,
             [&entry, probe, isNew](const net::call_result &result) {
                 const auto answer = decodeMemberStatus(result.body);
                 const bool answered = result.status == 200 && answer;
                 const bool mayBeStarting = isNew && entry.schedulerSeenAt != distantPast;
                 if (answered && answer->isScheduler) {
                     recordScheduler(entry, answer->epoch, answer->sender, steadyNow());
                 } else if (mayBeStarting && result.outcome == net::call_outcome::unanswered) {
                     entry.schedulerSeenAt = steadyNow();
                 } else {
                     probe->isAlive = probe->isAlive || (answered && answer->isClaiming);
                     countProbeAnswer(entry, probe);
                     return;
                 }
                 if (!probe->isEnded) {
                     completeProbe(entry, probe);
                 }
             });
    askLiveness(entry, head.address, probe);
    for (const std::string &address : peers) {
        askPeer(entry, address, probe);
    }
}

} // namespace

void probeScheduler(entry_state &entry, const claim_turn &turn)
{
    entry.isProbing = true;
    readHead(entry,
             [&entry, turn](const store_result &result, const std::optional<head_row> &head,
                            std::int64_t version) {
                 if (result.outcome != store_outcome::done || entry.role != entry_role::follower) {
                     endProbe(entry);
                     return;
                 }
                 if (!head) {
                     claimAfterProbe(entry, version, 0);
                     return;
                 }
                 const bool isNew = head->epoch > entry.epoch;
                 if (isNew) {
                     entry.epoch = head->epoch;
                     entry.scheduler = {head->scheduler, head->address};
                 }
                 if (head->address == self(entry).address) {
                     claimAfterProbe(entry, version, head->epoch);
                     return;
                 }
                 contactScheduler(entry, *head, version, isNew, turn);
             });
}

} // namespace bramleygrade::entry
