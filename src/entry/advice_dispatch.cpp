#include <algorithm>

#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

/// Time that an answer may take beyond the expected processing time of the advisory service.
constexpr microseconds adviceMargin = 700 * millisecond;
/// An entry whose call has failed gets no calls for this long.
constexpr microseconds adviceBackoff = 1 * second;

struct advice_client
{
    std::string name;
    std::string address;
};

/// Returns the entry that makes the call, or nothing if all that may make it are busy or in
/// backoff.
std::optional<advice_client> chooseAdviceClient(entry_state &entry, bool longCall, timestamp now)
{
    std::vector<cell::advice_client_load> loads;
    for (const auto &[name, address] : entry.members) {
        const advice_client_state &state = entry.leaderState->adviceClients[name];
        loads.push_back({state.inFlight, now < state.backoffUntil});
    }
    const auto chosen = cell::chooseAdviceClient(loads, longCall);
    if (!chosen) {
        return std::nullopt;
    }
    const auto member = std::next(entry.members.begin(), static_cast<std::ptrdiff_t>(*chosen));
    return advice_client {member->first, member->second};
}

/// Removes the next call that is still needed from the queue and returns it.
std::optional<cell::advice_order> takeAdviceOrder(leader_state &leaderState,
                                                  cell::advice_queue &queue, timestamp now)
{
    while (!queue.empty()) {
        // Short calls go by priority alone, as the most urgent jobs make the shortest ones.
        const bool longCalls = &queue == &leaderState.longAdviceQueue;
        const auto next =
            longCalls ? cell::findNextAdvice(queue, leaderState.openAdviceCalls) : queue.begin();
        cell::advice_order order = std::move(next->second);
        queue.erase(next);
        if (cell::prepareAdvice(leaderState.cell, order, now)) {
            return order;
        }
    }
    return std::nullopt;
}

void onAdviceResult(entry_state &entry, const cell::advice_order &order,
                    const std::string &adviceClient, const advice_result &result, timestamp sentAt)
{
    const timestamp now = steadyNow();
    observeLatency(entry.metrics, "advice_seconds", now - sentAt);
    advice_client_state &state = entry.leaderState->adviceClients[adviceClient];
    --state.inFlight;
    --entry.leaderState->openAdviceCalls[order.queue];
    if (result.answered) {
        logEvent(entry, "advice_answered",
                 {{"job", order.step.job},
                  {"step", std::to_string(order.step.step)},
                  {"workers", std::to_string(order.workers.size())},
                  {"allowed", std::to_string(result.allowed.size())},
                  {"for_held_room", order.holdsCapacity ? "yes" : "no"},
                  {"took_ms", std::to_string((now - sentAt) / millisecond)}});
        cell::onAdvice(entry.leaderState->cell, order, result.allowed, result.validFor, now);
    } else {
        ++entry.metrics.counters["advice_failed_total"];
        state.backoffUntil = now + adviceBackoff;
        logEvent(entry, "advice_failed",
                 {{"job", order.step.job},
                  {"adviser", adviceClient},
                  {"took_ms", std::to_string((now - sentAt) / millisecond)}});
        cell::onAdviceFailed(entry.leaderState->cell, order, now);
    }
    dispatchAdvice(entry);
    requestDecision(entry);
}

void sendAdviceCall(entry_state &entry, const cell::advice_order &order,
                    const advice_client &chosen)
{
    const timestamp now = steadyNow();
    const int ahead = entry.leaderState->adviceClients[chosen.name].inFlight++;
    ++entry.leaderState->openAdviceCalls[order.queue];
    const microseconds timeout = order.expected * (ahead + 1) + adviceMargin;
    logEvent(entry, "advice_asked",
             {{"job", order.step.job},
              {"step", std::to_string(order.step.step)},
              {"workers", std::to_string(order.workers.size())},
              {"adviser", chosen.name},
              {"queued", std::to_string(countQueuedAdvice(*entry.leaderState))}});
    const auto isCurrent = [&entry, epoch = entry.epoch] {
        return entry.leaderState && entry.epoch == epoch && entry.role == entry_role::scheduler;
    };
    if (chosen.name == entry.settings.name) {
        entry.ports.advice(order, now + timeout,
                           [&entry, order, chosen, now, isCurrent](const advice_result &result) {
                               if (isCurrent()) {
                                   onAdviceResult(entry, order, chosen.name, result, now);
                               }
                           });
        return;
    }
    sendPeer(entry, chosen.address, "/advice", encodeAdviceOrder(order), timeout, true,
             [&entry, order, chosen, now, isCurrent](const net::call_result &reply) {
                 if (!isCurrent()) {
                     return;
                 }
                 const auto result = decodeAdviceResult(reply.body);
                 onAdviceResult(entry, order, chosen.name,
                                reply.status == 200 && result ? *result : advice_result {}, now);
             });
}

/// Sends queued calls of one kind while an entry is free to make them.
void dispatchAdviceCalls(entry_state &entry, bool longCall)
{
    const timestamp now = steadyNow();
    // A call may complete while it is sent, so nothing is kept across iterations.
    while (entry.leaderState) {
        cell::advice_queue &queue =
            longCall ? entry.leaderState->longAdviceQueue : entry.leaderState->shortAdviceQueue;
        const auto chosen = queue.empty() ? std::nullopt : chooseAdviceClient(entry, longCall, now);
        const auto order = chosen ? takeAdviceOrder(*entry.leaderState, queue, now) : std::nullopt;
        if (!order) {
            return;
        }
        sendAdviceCall(entry, *order, *chosen);
    }
}

} // namespace

void queueAdvice(entry_state &entry, const std::vector<cell::advice_order> &orders)
{
    leader_state &leaderState = *entry.leaderState;
    for (const cell::advice_order &order : orders) {
        (order.longCall ? leaderState.longAdviceQueue : leaderState.shortAdviceQueue)
            .emplace(order.priority, order);
    }
    if (!orders.empty()) {
        dispatchAdvice(entry);
    }
}

void dispatchAdvice(entry_state &entry)
{
    const net::duty_scope scope(&entry.meter, net::duty::advice);
    // Short calls first, as they may use the entries of the long ones.
    dispatchAdviceCalls(entry, false);
    dispatchAdviceCalls(entry, true);
}

std::size_t countQueuedAdvice(const leader_state &leaderState)
{
    return leaderState.longAdviceQueue.size() + leaderState.shortAdviceQueue.size();
}

} // namespace bramleygrade::entry
