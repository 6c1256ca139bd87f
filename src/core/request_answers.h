#pragma once

#include <string>

#include "core/requests.h"

/// \file
/// Building answers, and bringing them to whoever waits.

namespace bramleygrade {

answer makeNotRun(std::string reason, int retryAfterMs);
answer makeMayHaveRun(std::string reason);
/// "Not run" for this attempt; "may have run" where the caller has sent the id before and this
/// entry does not remember it.
answer makeRejectionFor(const request_state &request, std::string reason, int retryAfterMs);

/// The whole answer of an endpoint.
answer makeDone(const endpoint_attempt &attempt, const endpoint_result &result);

void countAnswer(request_counters &counters, const answer &outcome);

void answerOrigin(const request_flow &flow, const request_environment &environment,
                  const request_origin &origin, const std::string &service, const answer &outcome,
                  step_context &context);

/// Answers all origins of a request and forgets it; a home keeps the answer for repeats.
void finishRequest(request_flow &flow, const request_environment &environment, std::uint64_t number,
                   const answer &outcome, step_context &context);

} // namespace bramleygrade
