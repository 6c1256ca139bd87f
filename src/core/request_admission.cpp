#include <algorithm>

#include "core/request_answers.h"
#include "core/request_routing.h"
#include "core/requests.h"

namespace bramleygrade {

namespace {

constexpr std::size_t bodyBytesLimit = 1024ul * 1024;
/// Longest time from receipt to deadline; a later deadline is brought forward to it.
constexpr microseconds maxRequestTimeout = 60 * second;
/// Upper limit of the retry budget. Each accepted request adds a tenth of a retry.
constexpr int retryBudgetCapTenths = 100;
/// Time for which a forward's key is kept after its `start_by`, to detect duplicates.
constexpr microseconds duplicateRetention = 60 * second;

/// Returns why the request cannot be admitted; empty where it can.
std::string explainRejection(const request_state &request, const request_environment &environment,
                             timestamp now)
{
    if (!areDocumentsFresh(environment.documents, now)) {
        return "this entry cannot confirm that its service documents are current; try another "
               "entry";
    }
    const service_document *document = findDocument(environment.documents, request.service);
    const bool isCaller = document != nullptr
        && (document->team == request.team
            || std::find(document->callers.begin(), document->callers.end(), request.team)
                != document->callers.end());
    if (!isCaller) {
        return "unknown service, or the team may not call it; check the service and team names";
    }
    if (request.deadline <= now) {
        return "the deadline has passed; send a later deadline";
    }
    if (request.body.size() > bodyBytesLimit) {
        return "the body is longer than 1 MiB; send a shorter body";
    }
    if (request.isNonIdempotent && parseIssueTime(request.requestId) < 0) {
        return "a non-idempotent request needs an id of the form <issued ms>-<unique>; "
               "GET /v1/request-id returns one";
    }
    return {};
}

std::uint64_t addRequest(request_flow &flow, request_state request)
{
    const std::uint64_t number = flow.nextNumber++;
    request.expiresAt = std::min(request.deadline, request.startBy);
    flow.expiries.emplace(request.expiresAt, number);
    flow.requests.emplace(number, std::move(request));
    ++flow.counters.accepted;
    flow.retryBudgetTenths = std::min(retryBudgetCapTenths, flow.retryBudgetTenths + 1);
    return number;
}

/// Answers a request that was not admitted.
void rejectRequest(request_flow &flow, const request_environment &environment,
                   const request_origin &origin, const std::string &service, const answer &outcome,
                   step_context &context)
{
    countAnswer(flow.counters, outcome);
    answerOrigin(flow, environment, origin, service, outcome, context);
}

/// Handles a non-idempotent request at the owner of its home shard: runs it, joins it to the
/// running request with its id, returns the recorded answer, or rejects it.
void handleAsHomeOwner(request_flow &flow, request_environment &environment, request_state request,
                       step_context &context)
{
    const std::string homeShard = homeShardOf(request.requestId);
    const timestamp authorityStart = environment.authority.shards.at(homeShard).leaseStart;
    const request_origin origin = request.origins.front();
    const auto reject = [&](const answer &outcome) {
        rejectRequest(flow, environment, origin, request.service, outcome, context);
    };
    switch (checkRequestId(flow.home, request.requestId, authorityStart, context.now)) {
    case request_id_status::unknown_id: {
        request.isHomeOwner = true;
        const std::string requestId = request.requestId;
        const std::uint64_t number = addRequest(flow, std::move(request));
        recordStart(flow.home, requestId, number, context.now);
        routeRequest(flow, environment, number, context);
        return;
    }
    case request_id_status::in_progress: {
        const std::uint64_t number = flow.home.remembered.at(request.requestId).number;
        flow.requests.at(number).origins.push_back(origin);
        return;
    }
    case request_id_status::completed:
        return reject(flow.home.remembered.at(request.requestId).outcome);
    case request_id_status::issued_before_authority:
        return reject(
            makeMayHaveRun("a former owner may have run this id, and its records are lost; "
                           "check the request's effect before sending it under a new id"));
    case request_id_status::expired_id:
        return reject(
            makeMayHaveRun("the id is older than 90 s and has no record any more; check the "
                           "request's effect before sending it under a new id"));
    case request_id_status::future_id:
        return reject(
            makeRejectionFor(request,
                             "the id was issued in the future; correct the caller's clock, or "
                             "use an id from GET /v1/request-id",
                             0));
    case request_id_status::at_capacity:
        return reject(makeRejectionFor(
            request, "this entry keeps too many records of non-idempotent requests; retry later",
            5'000));
    }
}

/// Forwards a non-idempotent request to the owner of its home shard.
void forwardToHomeOwner(request_flow &flow, request_environment &environment, request_state request,
                        step_context &context)
{
    const std::string homeShard = homeShardOf(request.requestId);
    const request_origin origin = request.origins.front();
    const auto view = environment.authority.shards.find(homeShard);
    const bool isKnown = view != environment.authority.shards.end() && view->second.rowVersion != 0
        && view->second.row.owner != environment.cell.identity;
    if (!isKnown || request.hops > 0
        || !isPeerLive(environment, view->second.row.owner, context.now)) {
        rejectRequest(
            flow, environment, origin, request.service,
            makeRejectionFor(request,
                             "the owner of the home shard of this id is not reachable; retry later",
                             1'000),
            context);
        return;
    }
    const std::string owner = view->second.row.owner;
    const std::uint64_t number = addRequest(flow, std::move(request));
    if (!forwardToPeer(flow, environment, number, owner, true, context)) {
        finishRequest(
            flow, environment, number,
            makeRejectionFor(
                flow.requests.at(number),
                "too little time is left before the deadline to reach the owner of the home "
                "shard of this id; send a later deadline",
                0),
            context);
    }
}

void admitRequest(request_flow &flow, request_environment &environment, request_state request,
                  bool asHome, step_context &context)
{
    const std::string rejection = explainRejection(request, environment, context.now);
    if (!rejection.empty()) {
        rejectRequest(flow, environment, request.origins.front(), request.service,
                      makeRejectionFor(request, rejection, 1'000), context);
        return;
    }
    const bool needsHome = request.isNonIdempotent && (asHome || request.hops == 0);
    if (!needsHome) {
        const std::uint64_t number = addRequest(flow, std::move(request));
        routeRequest(flow, environment, number, context);
        return;
    }
    const bool isHomeOwner = holdsLease(environment.authority, environment.cell.identity,
                                        homeShardOf(request.requestId), context.now);
    if (isHomeOwner) {
        handleAsHomeOwner(flow, environment, std::move(request), context);
    } else {
        forwardToHomeOwner(flow, environment, std::move(request), context);
    }
}

} // namespace

void handleCallerRequest(request_flow &flow, request_environment &environment,
                         const caller_request &request, step_context &context)
{
    request_state state;
    request_origin origin;
    origin.handle = request.handle;
    state.origins.push_back(origin);
    state.service = request.service;
    state.team = request.team;
    state.requestId = request.request_id;
    state.isNonIdempotent = request.unrepeatable;
    state.isCallerRetry = request.is_repeat;
    state.deadline = std::min(request.deadline, context.now + maxRequestTimeout);
    const service_document *document = findDocument(environment.documents, request.service);
    if (document != nullptr) {
        state.deadline =
            std::min(state.deadline, context.now + document->request_timeout_ms * millisecond);
    }
    state.startBy = state.deadline;
    state.path = request.path;
    state.body = request.body;
    admitRequest(flow, environment, std::move(state), false, context);
}

void handleForwardedRequest(request_flow &flow, request_environment &environment,
                            const std::string &from, const forward_request &request,
                            step_context &context)
{
    const std::string key = from + "/" + std::to_string(request.number);
    const timestamp eraseAt = request.start_by + duplicateRetention;
    if (context.now >= eraseAt || !flow.taken.insert(key).second) {
        return; // A duplicate, or so late that its key may have been erased.
    }
    flow.takenOrder.emplace(eraseAt, key);
    request_state state;
    request_origin origin;
    origin.peer = from;
    origin.peerNumber = request.number;
    state.isCallerRetry = request.is_repeat;
    if (context.now >= request.start_by) {
        rejectRequest(
            flow, environment, origin, request.service,
            makeRejectionFor(state, "the forwarded request arrived after its latest start time", 0),
            context);
        return;
    }
    state.origins.push_back(origin);
    state.service = request.service;
    state.team = request.team;
    state.requestId = request.request_id;
    state.isNonIdempotent = request.unrepeatable;
    state.deadline = request.deadline;
    state.startBy = request.start_by;
    state.hops = request.hops;
    state.path = request.path;
    state.body = request.body;
    admitRequest(flow, environment, std::move(state), request.as_home, context);
}

} // namespace bramleygrade
