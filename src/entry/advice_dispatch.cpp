#include <algorithm>

#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

/// Time beyond the advisory service's own that an answer may take.
constexpr microseconds advicePatience = 700 * millisecond;
/// An adviser that fails is left out for this long.
constexpr microseconds adviserPause = 1 * second;
/// Calls that one entry has open at a time. The service takes them one after another; a second
/// one, of the short kind, covers the way there and back.
constexpr int longCallsOpen = 1;
constexpr int shortCallsOpen = 2;

struct adviser
{
    std::string name;
    std::string address;
};

/// The first half of the entries, by name, makes the long calls, the others the short ones, so
/// that a short call never waits behind a long one.
std::vector<adviser> advisersFor(const entry_state &entry, bool longCall)
{
    std::vector<adviser> all;
    for (const auto &[name, address] : entry.members) {
        all.push_back({name, address});
    }
    if (all.size() < 2) {
        return all;
    }
    const auto half = static_cast<std::ptrdiff_t>((all.size() + 1) / 2);
    return longCall ? std::vector<adviser>(all.begin(), all.begin() + half)
                    : std::vector<adviser>(all.begin() + half, all.end());
}

/// The entry with the fewest open calls; none if all have enough.
std::optional<adviser> chooseAdviser(entry_state &entry, bool longCall, timestamp now)
{
    std::optional<adviser> best;
    int fewest = longCall ? longCallsOpen : shortCallsOpen;
    for (const adviser &candidate : advisersFor(entry, longCall)) {
        const advice_client_state &state = entry.leaderState->adviceClients[candidate.name];
        if (now >= state.backoffUntil && state.inFlight < fewest) {
            fewest = state.inFlight;
            best = candidate;
        }
    }
    return best;
}

void onResult(entry_state &entry, const cell::advice_order &order, const std::string &adviser,
              const advice_result &result, timestamp askedAt)
{
    const timestamp now = steadyNow();
    observeLatency(entry.metrics, "advice_seconds", now - askedAt);
    advice_client_state &state = entry.leaderState->adviceClients[adviser];
    --state.inFlight;
    if (result.answered) {
        cell::onAdvice(entry.leaderState->cell, order, result.allowed, result.valid, now);
    } else {
        ++entry.metrics.counters["advice_failed_total"];
        state.backoffUntil = now + adviserPause;
        logEvent(entry, "advice_failed",
                 {{"job", order.step.job},
                  {"adviser", adviser},
                  {"took_ms", std::to_string((now - askedAt) / millisecond)}});
        cell::onAdviceFailed(entry.leaderState->cell, order, now);
    }
    dispatchAdvice(entry);
    requestDecision(entry);
}

void callAdviser(entry_state &entry, const cell::advice_order &order, const adviser &chosen)
{
    const timestamp now = steadyNow();
    const int ahead = entry.leaderState->adviceClients[chosen.name].inFlight++;
    const microseconds patience = order.expected * (ahead + 1) + advicePatience;
    logEvent(entry, "advice_asked",
             {{"job", order.step.job},
              {"step", std::to_string(order.step.step)},
              {"workers", std::to_string(order.workers.size())},
              {"adviser", chosen.name},
              {"queued", std::to_string(entry.leaderState->adviceQueue.size())}});
    const auto concerns = [&entry, epoch = entry.epoch] {
        return entry.leaderState && entry.epoch == epoch && entry.role == entry_role::scheduler;
    };
    if (chosen.name == entry.settings.name) {
        entry.ports.advice(order, now + patience,
                           [&entry, order, chosen, now, concerns](const advice_result &result) {
                               if (concerns()) {
                                   onResult(entry, order, chosen.name, result, now);
                               }
                           });
        return;
    }
    sendPeer(entry, chosen.address, "/advice", encodeAdviceOrder(order), patience, true,
             [&entry, order, chosen, now, concerns](const net::call_result &reply) {
                 if (!concerns()) {
                     return;
                 }
                 const auto result = decodeAdviceResult(reply.body);
                 onResult(entry, order, chosen.name,
                          reply.status == 200 && result ? *result : advice_result {}, now);
             });
}

} // namespace

void queueAdvice(entry_state &entry, const cell::advice_order &order)
{
    const auto place = std::upper_bound(
        entry.leaderState->adviceQueue.begin(), entry.leaderState->adviceQueue.end(), order,
        [](const auto &a, const auto &b) { return a.priority < b.priority; });
    entry.leaderState->adviceQueue.insert(place, order);
    dispatchAdvice(entry);
}

void dispatchAdvice(entry_state &entry)
{
    const timestamp now = steadyNow();
    auto &queue = entry.leaderState->adviceQueue;
    for (std::size_t index = 0; index < queue.size();) {
        const cell::advice_order order = queue[index];
        const cell::job_state *job = cell::findJob(entry.leaderState->cell, order.step.job);
        if (job == nullptr || job->finalPhase) {
            queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(index));
            continue;
        }
        const auto chosen = chooseAdviser(entry, order.longCall, now);
        if (!chosen) {
            ++index;
            continue;
        }
        queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(index));
        callAdviser(entry, order, *chosen);
    }
}

} // namespace bramleygrade::entry
