#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "core/context.h"

/// \file
/// Idempotency records of non-idempotent requests. The record of a request id is kept in memory by
/// the owner of the home shard of that id.
///
/// An id is `<issued>-<unique>`: the caller's time in milliseconds when it first sent the request,
/// and any text that makes it unique. An owner accepts only ids that were issued later than
/// `futureTolerance` plus `clockOffsetBound` after its lease on the home shard started, and every
/// owner rejects ids that are more than `futureTolerance` in the future, so no id is ever run by
/// two owners.

namespace bramleygrade {

/// A request may be retried under its id for this long after the id was issued.
constexpr microseconds requestIdLifetime = 90 * second;
/// An id may have been issued this far in the future, to allow for skew of the caller's clock.
constexpr microseconds futureTolerance = 500 * millisecond;
/// Records that one entry keeps; while it has as many, new ids are rejected.
constexpr std::size_t idempotencyRecordLimit = 50'000;
/// Total size of the recorded answer bodies; once it is reached, new ids are rejected.
constexpr std::size_t recordedBodyBytesLimit = 8ul * 1024 * 1024;
constexpr std::size_t requestIdBytesLimit = 128;

enum class record_phase { running, answered };

struct idempotency_record
{
    record_phase phase = record_phase::running;
    /// Number of the request in `request_flow::requests`; valid while `phase` is `running`.
    std::uint64_t number = 0;
    answer outcome;
    timestamp eraseAt = 0;
};

struct idempotency_state
{
    /// Records by request id.
    std::map<std::string, idempotency_record> remembered;
    /// Request ids by `eraseAt`.
    std::set<std::pair<timestamp, std::string>> eraseOrder;
    /// Total size of the recorded answer bodies.
    std::size_t bodyBytes = 0;
};

/// Returns the issue time in microseconds, or a negative number where the id is malformed.
timestamp parseIssueTime(const std::string &requestId);

/// `unknown_id`: a new id that may be run. `issued_before_authority`: a former owner of the home
/// shard may have run the id. `at_capacity`: the id is new, but no record can be added.
enum class request_id_status {
    unknown_id,
    in_progress,
    completed,
    issued_before_authority,
    expired_id,
    future_id,
    at_capacity
};

/// Returns the status of the id at the owner of its home shard. `authorityStart` is the time at
/// which the lease of this entry on that shard started.
request_id_status checkRequestId(const idempotency_state &state, const std::string &requestId,
                                 timestamp authorityStart, timestamp now);

/// Adds a record of a running request, which is erased `2 * requestIdLifetime` after `now`. The id
/// must not have a record yet.
void recordStart(idempotency_state &state, const std::string &requestId, std::uint64_t number,
                 timestamp now);

/// Records the answer for retries; has no effect where the id has no record or an answer already.
/// `not_run` is recorded too: it is final for the id, so that a delayed attempt cannot run after
/// the caller received that answer.
void recordAnswer(idempotency_state &state, const std::string &requestId, const answer &outcome);

/// Replaces a recorded `may_have_run` with the endpoint's answer, which arrived late. Has no effect
/// on other answers.
void replaceAnswer(idempotency_state &state, const std::string &requestId, const answer &outcome);

/// Erases the records whose `eraseAt` has come.
void eraseExpiredRecords(idempotency_state &state, timestamp now);

} // namespace bramleygrade
