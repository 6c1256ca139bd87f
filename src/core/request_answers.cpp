#include "core/request_answers.h"

namespace bramleygrade {

answer makeNotRun(std::string reason, int retryAfterMs)
{
    answer outcome;
    outcome.outcome = outcome::not_run;
    outcome.reason = std::move(reason);
    outcome.retry_after_ms = retryAfterMs;
    return outcome;
}

answer makeMayHaveRun(std::string reason)
{
    answer outcome;
    outcome.outcome = outcome::may_have_run;
    outcome.reason = std::move(reason);
    return outcome;
}

answer makeRejectionFor(const request_state &request, std::string reason, int retryAfterMs)
{
    if (!request.isCallerRetry || request.isHomeOwner) {
        return makeNotRun(std::move(reason), retryAfterMs);
    }
    answer outcome =
        makeMayHaveRun("an earlier attempt may have run; retry with the same id: " + reason);
    outcome.retry_after_ms = retryAfterMs;
    return outcome;
}

answer makeDone(const endpoint_attempt &attempt, const endpoint_result &result)
{
    answer outcome;
    outcome.outcome = outcome::done;
    outcome.status = result.status;
    outcome.body = result.body;
    outcome.worker = attempt.worker;
    return outcome;
}

void countAnswer(request_counters &counters, const answer &outcome)
{
    switch (outcome.outcome) {
    case outcome::done:
        ++counters.done;
        return;
    case outcome::not_run:
        ++counters.notRun;
        return;
    case outcome::may_have_run:
        ++counters.mayHaveRun;
        return;
    }
}

void answerOrigin(const request_flow &flow, const request_environment &environment,
                  const request_origin &origin, const std::string &service, const answer &outcome,
                  step_context &context)
{
    if (origin.peer.empty()) {
        answer_caller result;
        result.handle = origin.handle;
        result.outcome = std::make_unique<answer>(outcome);
        emit(context, std::move(result));
        return;
    }
    forward_answer result;
    result.number = origin.peerNumber;
    result.outcome = std::make_unique<answer>(outcome);
    result.service = service;
    const service_document *document = findDocument(environment.documents, service);
    const auto queue = flow.queues.find(service);
    const bool isQueued = queue != flow.queues.end() && queue->second.waiting > 0;
    if (document != nullptr && !isQueued) {
        result.free_slots = countSlots(environment.pool, environment.authority,
                                       environment.cell.identity, *document, context.now)
                                .free;
    }
    sendToPeer(context, environment.cell.identity, origin.peer, std::move(result));
}

void finishRequest(request_flow &flow, const request_environment &environment, std::uint64_t number,
                   const answer &outcome, step_context &context)
{
    const auto found = flow.requests.find(number);
    const request_state request = std::move(found->second);
    flow.requests.erase(found);
    flow.expiries.erase({request.expiresAt, number});
    if (request.phase == request_phase::waiting) {
        removeWaiting(flow.queues[request.service], request.team, number);
    }
    if (request.isHomeOwner) {
        recordAnswer(flow.home, request.requestId, outcome);
    }
    for (const request_origin &origin : request.origins) {
        countAnswer(flow.counters, outcome);
        answerOrigin(flow, environment, origin, request.service, outcome, context);
    }
}

} // namespace bramleygrade
