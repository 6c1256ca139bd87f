#include "core/request_home.h"

#include <charconv>

#include "core/invariant.h"

namespace bramleygrade {

timestamp parseIssueTime(const std::string &requestId)
{
    const std::size_t dash = requestId.find('-');
    if (dash == std::string::npos || dash + 1 >= requestId.size()
        || requestId.size() > requestIdBytesLimit) {
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

request_id_status checkRequestId(const idempotency_state &state, const std::string &requestId,
                                 timestamp authorityStart, timestamp now)
{
    const timestamp issued = parseIssueTime(requestId);
    if (issued > now + futureTolerance) {
        return request_id_status::future_id;
    }
    const auto known = state.remembered.find(requestId);
    if (known != state.remembered.end()) {
        return known->second.phase == record_phase::running ? request_id_status::in_progress
                                                            : request_id_status::completed;
    }
    if (issued + requestIdLifetime < now) {
        return request_id_status::expired_id;
    }
    // A former owner may have run ids that were ahead of its own clock by `futureTolerance`, and
    // its clock may have been ahead of this one by `clockOffsetBound`.
    if (issued <= authorityStart + futureTolerance + clockOffsetBound) {
        return request_id_status::issued_before_authority;
    }
    const bool isFull = state.remembered.size() >= idempotencyRecordLimit
        || state.bodyBytes >= recordedBodyBytesLimit;
    return isFull ? request_id_status::at_capacity : request_id_status::unknown_id;
}

void recordStart(idempotency_state &state, const std::string &requestId, std::uint64_t number,
                 timestamp now)
{
    idempotency_record record;
    record.number = number;
    record.eraseAt = now + 2 * requestIdLifetime;
    const auto [item, isNew] = state.remembered.emplace(requestId, record);
    BRAMLEYGRADE_INVARIANT(isNew,
                           "a non-idempotent request would run twice; join the running request");
    state.eraseOrder.emplace(record.eraseAt, requestId);
}

void recordAnswer(idempotency_state &state, const std::string &requestId, const answer &outcome)
{
    const auto known = state.remembered.find(requestId);
    if (known == state.remembered.end() || known->second.phase == record_phase::answered) {
        return;
    }
    known->second.phase = record_phase::answered;
    known->second.outcome = outcome;
    state.bodyBytes += outcome.body.size();
}

void replaceAnswer(idempotency_state &state, const std::string &requestId, const answer &outcome)
{
    const auto known = state.remembered.find(requestId);
    const bool isReplaceable = known != state.remembered.end()
        && known->second.phase == record_phase::answered
        && known->second.outcome.outcome == outcome::may_have_run;
    if (isReplaceable) {
        known->second.outcome = outcome;
        state.bodyBytes += outcome.body.size();
    }
}

void eraseExpiredRecords(idempotency_state &state, timestamp now)
{
    while (!state.eraseOrder.empty() && state.eraseOrder.begin()->first <= now) {
        const auto known = state.remembered.find(state.eraseOrder.begin()->second);
        if (known != state.remembered.end()) {
            state.bodyBytes -= known->second.outcome.body.size();
            state.remembered.erase(known);
        }
        state.eraseOrder.erase(state.eraseOrder.begin());
    }
}

} // namespace bramleygrade
