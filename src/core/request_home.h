#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "core/context.h"

/// \file
/// Memory of unrepeatable requests, kept by the owner of the home shard of each id.
///
/// An id is `<issued>-<unique>`: the caller's time in milliseconds when it first sent the request,
/// and anything that makes it unique. A home vouches only for ids issued after it began to act, and
/// every home refuses ids from the future; so no id is ever run by two homes.

namespace bramleygrade {

/// An id may be repeated until this long after it was issued.
constexpr microseconds requestIdLifetime = 90 * second;
/// An id may lie this far in the future, to allow for the caller's clock.
constexpr microseconds futureTolerance = 500 * millisecond;
/// Requests that one home remembers; beyond it new ones are refused.
constexpr std::size_t idempotencyRecordLimit = 50'000;
constexpr std::size_t recordedBodyBytesLimit = 8ul * 1024 * 1024;
constexpr std::size_t requestIdBytesLimit = 128;

enum class record_phase { running, answered };

struct idempotency_record
{
    record_phase phase = record_phase::running;
    /// Number of the request in this entry while it runs.
    std::uint64_t number = 0;
    answer outcome;
    timestamp eraseAt = 0;
};

struct idempotency_state
{
    std::map<std::string, idempotency_record> remembered;
    std::set<std::pair<timestamp, std::string>> eraseOrder;
    std::size_t bodyBytes = 0;
};

/// Time of issue in microseconds, or a negative number where the id is malformed.
timestamp parseIssueTime(const std::string &requestId);

enum class request_id_status {
    unknown_id,
    in_progress,
    completed,
    issued_before_authority,
    expired_id,
    future_id,
    isFull
};

/// What the home knows of the id. `authorityStart` is when it began to act for the home shard.
request_id_status checkRequestId(const idempotency_state &state, const std::string &requestId,
                                 timestamp authorityStart, timestamp now);

void recordStart(idempotency_state &state, const std::string &requestId, std::uint64_t number,
                 timestamp now);

/// Keeps the answer for repeats. "Not run" is kept too: it is final for the id, so that an attempt
/// which comes late cannot run after its caller was told.
void recordAnswer(idempotency_state &state, const std::string &requestId, const answer &outcome);

/// Puts the whole answer, which came late, in place of "may have run".
void replaceAnswer(idempotency_state &state, const std::string &requestId, const answer &outcome);

void eraseExpiredRecords(idempotency_state &state, timestamp now);

} // namespace bramleygrade
