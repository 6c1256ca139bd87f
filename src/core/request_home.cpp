#include "core/request_home.h"

#include <charconv>

#include "core/invariant.h"

namespace bramleygrade {

timestamp issueTimeOf(const std::string &requestId)
{
    const std::size_t dash = requestId.find('-');
    if (dash == std::string::npos || dash + 1 >= requestId.size()
        || requestId.size() > requestIdLengthLimit) {
        return -1;
    }
    std::int64_t milliseconds = -1;
    const char *end = requestId.data() + dash;
    const auto parsed = std::from_chars(requestId.data(), end, milliseconds);
    constexpr std::int64_t limit = distantFuture / millisecond;
    if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds < 0 || milliseconds > limit) {
        return -1;
    }
    return milliseconds * millisecond;
}

home_verdict judgeRequestId(const request_home_state &state, const std::string &requestId,
                            timestamp vouchFrom, timestamp now)
{
    const timestamp issued = issueTimeOf(requestId);
    if (issued > now + futureTolerance) {
        return home_verdict::isFromFuture;
    }
    const auto known = state.remembered.find(requestId);
    if (known != state.remembered.end()) {
        return known->second.phase == memory_phase::running ? home_verdict::runs
                                                            : home_verdict::wasAnswered;
    }
    if (issued + requestIdLifetime < now) {
        return home_verdict::isExpired;
    }
    // A former home may have run ids up to its own idea of the future.
    if (issued <= vouchFrom + futureTolerance + clockOffsetBound) {
        return home_verdict::cannotVouch;
    }
    const bool isFull =
        state.remembered.size() >= rememberedRequestLimit || state.bodyBytes >= rememberedBodyLimit;
    return isFull ? home_verdict::isFull : home_verdict::unknownId;
}

void rememberRunning(request_home_state &state, const std::string &requestId, std::uint64_t number,
                     timestamp now)
{
    remembered_request memory;
    memory.number = number;
    memory.forgetAt = now + 2 * requestIdLifetime;
    const auto [item, isNew] = state.remembered.emplace(requestId, memory);
    BRAMLEYGRADE_INVARIANT(isNew,
                           "an unrepeatable request would run twice; join the first attempt");
    state.forgetOrder.emplace(memory.forgetAt, requestId);
}

void rememberAnswer(request_home_state &state, const std::string &requestId, const answer &outcome)
{
    const auto known = state.remembered.find(requestId);
    if (known == state.remembered.end() || known->second.phase == memory_phase::answered) {
        return;
    }
    known->second.phase = memory_phase::answered;
    known->second.outcome = outcome;
    state.bodyBytes += outcome.body.size();
}

void replaceAnswer(request_home_state &state, const std::string &requestId, const answer &outcome)
{
    const auto known = state.remembered.find(requestId);
    const bool isReplaceable = known != state.remembered.end()
        && known->second.phase == memory_phase::answered
        && known->second.outcome.outcome == outcome::may_have_run;
    if (isReplaceable) {
        known->second.outcome = outcome;
        state.bodyBytes += outcome.body.size();
    }
}

void forgetExpired(request_home_state &state, timestamp now)
{
    while (!state.forgetOrder.empty() && state.forgetOrder.begin()->first <= now) {
        const auto known = state.remembered.find(state.forgetOrder.begin()->second);
        if (known != state.remembered.end()) {
            state.bodyBytes -= known->second.outcome.body.size();
            state.remembered.erase(known);
        }
        state.forgetOrder.erase(state.forgetOrder.begin());
    }
}

} // namespace bramleygrade
