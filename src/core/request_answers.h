#pragma once

#include <string>

#include "core/requests.h"

/// \file
/// Builds answers and sends them to the callers and peers that wait for them.

namespace bramleygrade {

/// Answer `not_run`. `retryAfterMs` is the delay suggested to the caller before a retry.
answer makeNotRun(std::string reason, int retryAfterMs);
answer makeMayHaveRun(std::string reason);
/// Answer to a request that is rejected: `not_run`, or `may_have_run` where the caller has sent the
/// id before and this entry is not the owner of its home shard, so that it cannot know how the
/// earlier attempt ended.
answer makeRejectionFor(const request_state &request, std::string reason, int retryAfterMs);

/// Answer `done` with the status and body that the endpoint returned.
answer makeDone(const endpoint_attempt &attempt, const endpoint_result &result);

/// Increments the counter of the answer's outcome.
void countAnswer(request_counters &counters, const answer &outcome);

/// Sends the answer to the caller, or to the peer that forwarded the request. The answer to a peer
/// also reports the free slots of this entry for the service; 0 while requests for it are queued.
void answerOrigin(const request_flow &flow, const request_environment &environment,
                  const request_origin &origin, const std::string &service, const answer &outcome,
                  step_context &context);

/// Answers all origins of a request and erases it. Where this entry owns the home shard of the id,
/// it records the answer for retries by the caller.
void finishRequest(request_flow &flow, const request_environment &environment, std::uint64_t number,
                   const answer &outcome, step_context &context);

} // namespace bramleygrade
