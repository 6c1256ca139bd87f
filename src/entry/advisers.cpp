#include <algorithm>

#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

/// Time beyond the advisory service's own that an answer may take.
constexpr microseconds advicePatience = 600 * millisecond;
/// A call's way to the adviser and back.
constexpr microseconds adviceOverhead = 3 * millisecond;
/// An adviser that fails is left out for this long.
constexpr microseconds adviserPause = 2 * second;

struct adviser
{
    std::string name;
    std::string address;
    timestamp free_at = 0;
};

/// The advisory service takes one call at a time of each instance, in turn. The first half of the
/// instances, by name, makes the long calls, the others the short ones.
adviser chooseAdviser(entry_state &entry, bool longCall, timestamp now)
{
    std::vector<adviser> advisers;
    for (const auto &[name, address] : entry.members) {
        advisers.push_back({name, address, std::max(now, entry.lead->adviser_busy_until[name])});
    }
    if (entry.members.count(entry.settings.name) == 0) {
        advisers.push_back({entry.settings.name, entry.settings.peer_address,
                            std::max(now, entry.lead->adviser_busy_until[entry.settings.name])});
    }
    const std::size_t half = (advisers.size() + 1) / 2;
    const auto middle = advisers.begin() + static_cast<std::ptrdiff_t>(half);
    const bool split = advisers.size() > 1;
    const auto first = !split || longCall ? advisers.begin() : middle;
    const auto last = !split || !longCall ? advisers.end() : middle;
    return *std::min_element(
        first, last, [](const adviser &a, const adviser &b) { return a.free_at < b.free_at; });
}

void onResult(entry_state &entry, const cell::advice_order &order, const std::string &adviser,
              const advice_result &result, timestamp askedAt)
{
    const timestamp now = steadyNow();
    observeLatency(entry.metrics, "advice_seconds", now - askedAt);
    if (result.answered) {
        cell::onAdvice(entry.lead->cell, order, result.allowed, result.valid, now);
    } else {
        ++entry.metrics.counters["advice_failed_total"];
        entry.lead->adviser_busy_until[adviser] = now + adviserPause;
        logEvent(entry, "advice_failed", {{"job", order.step.job}, {"adviser", adviser}});
        cell::onAdviceFailed(entry.lead->cell, order, now);
    }
    wantDecision(entry);
}

} // namespace

void askForAdvice(entry_state &entry, const cell::advice_order &order)
{
    const timestamp now = steadyNow();
    const adviser chosen = chooseAdviser(entry, order.long_call, now);
    const timestamp doneBy = chosen.free_at + order.expected + adviceOverhead;
    entry.lead->adviser_busy_until[chosen.name] = doneBy;
    logEvent(entry, "advice_asked",
             {{"job", order.step.job},
              {"step", std::to_string(order.step.step)},
              {"workers", std::to_string(order.workers.size())},
              {"adviser", chosen.name},
              {"expected_ms", std::to_string((doneBy - now) / millisecond)}});
    const auto concerns = [&entry, epoch = entry.epoch] {
        return entry.lead && entry.epoch == epoch && entry.role == entry_role::scheduler;
    };
    if (chosen.name == entry.settings.name) {
        entry.ports.advice(order, doneBy + advicePatience,
                           [&entry, order, chosen, now, concerns](const advice_result &result) {
                               if (concerns()) {
                                   onResult(entry, order, chosen.name, result, now);
                               }
                           });
        return;
    }
    sendPeer(entry, chosen.address, "/advice", encodeAdviceOrder(order),
             doneBy - now + advicePatience, true,
             [&entry, order, chosen, now, concerns](const net::call_result &reply) {
                 if (!concerns()) {
                     return;
                 }
                 const auto result = decodeAdviceResult(reply.body);
                 onResult(entry, order, chosen.name,
                          reply.status == 200 && result ? *result : advice_result {}, now);
             });
}

} // namespace bramleygrade::entry
