#include <algorithm>

#include "core/request_answers.h"
#include "core/request_routing.h"
#include "core/requests.h"

namespace bramleygrade {

namespace {

constexpr std::size_t bodyLengthLimit = 1024ul * 1024;
constexpr microseconds longestDeadline = 60 * second;
/// Part of a retry that each accepted request earns; ten make one.
constexpr int retryBudgetCap = 100;
/// Forwards are remembered this long after they could last be started.
constexpr microseconds duplicateMemory = 60 * second;

std::string explainRefusal(const request_state &request, const request_environment &environment,
                           timestamp now)
{
    if (!areDocumentsFresh(environment.documents, now)) {
        return "this entry cannot tell whether its documents are the newest; try another entry";
    }
    const service_document *document = findDocument(environment.documents, request.service);
    const bool isCaller = document != nullptr
        && (document->team == request.team
            || std::find(document->callers.begin(), document->callers.end(), request.team)
                != document->callers.end());
    if (!isCaller) {
        return "unknown service, or the team may not call it; check both names";
    }
    if (request.deadline <= now) {
        return "the deadline has passed; send a later one";
    }
    if (request.body.size() > bodyLengthLimit) {
        return "the body is longer than 1 MiB; shorten it";
    }
    if (request.isNonIdempotent && parseIssueTime(request.requestId) < 0) {
        return "an unrepeatable request needs an id of the form <issued ms>-<unique>; "
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
    flow.retryBudgetTenths = std::min(retryBudgetCap, flow.retryBudgetTenths + 1);
    return number;
}

/// Answers a request that was never taken in.
void refuseOrigin(request_flow &flow, const request_environment &environment,
                  const request_origin &origin, const std::string &service, const answer &outcome,
                  step_context &context)
{
    countAnswer(flow.counters, outcome);
    answerOrigin(flow, environment, origin, service, outcome, context);
}

/// At the home of an unrepeatable id: runs it, joins it to its first attempt, or says why not.
void takeAtHome(request_flow &flow, request_environment &environment, request_state request,
                step_context &context)
{
    const std::string homeShard = homeShardOf(request.requestId);
    const timestamp authorityStart = environment.authority.shards.at(homeShard).leaseStart;
    const request_origin origin = request.origins.front();
    const auto refuse = [&](const answer &outcome) {
        refuseOrigin(flow, environment, origin, request.service, outcome, context);
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
        return refuse(flow.home.remembered.at(request.requestId).outcome);
    case request_id_status::issued_before_authority:
        return refuse(makeMayHaveRun("the entry that knew this id is gone; the request may have "
                                     "run: look up its effect before you send it under a new id"));
    case request_id_status::expired_id:
        return refuse(makeMayHaveRun("the id is older than 90 s and is not remembered any more; "
                                     "look up its effect before you send it under a new id"));
    case request_id_status::future_id:
        return refuse(makeRejectionFor(request,
                                       "the id lies in the future; set your clock, or take an id "
                                       "from GET /v1/request-id",
                                       0));
    case request_id_status::isFull:
        return refuse(makeRejectionFor(
            request, "too many unrepeatable requests are remembered; come back later", 5'000));
    }
}

/// Passes an unrepeatable request to the entry that remembers its id.
void passToHome(request_flow &flow, request_environment &environment, request_state request,
                step_context &context)
{
    const std::string homeShard = homeShardOf(request.requestId);
    const request_origin origin = request.origins.front();
    const auto view = environment.authority.shards.find(homeShard);
    const bool isKnown = view != environment.authority.shards.end() && view->second.rowVersion != 0
        && view->second.row.owner != environment.cell.identity;
    if (!isKnown || request.hops > 0
        || !isPeerLive(environment, view->second.row.owner, context.now)) {
        refuseOrigin(
            flow, environment, origin, request.service,
            makeRejectionFor(request,
                             "no entry can remember this id at the moment; come back later", 1'000),
            context);
        return;
    }
    const std::string owner = view->second.row.owner;
    const std::uint64_t number = addRequest(flow, std::move(request));
    if (!forwardToPeer(flow, environment, number, owner, true, context)) {
        finishRequest(flow, environment, number,
                      makeRejectionFor(flow.requests.at(number),
                                       "the deadline is too near to reach the home of this id", 0),
                      context);
    }
}

void takeRequest(request_flow &flow, request_environment &environment, request_state request,
                 bool asHome, step_context &context)
{
    const std::string refusal = explainRefusal(request, environment, context.now);
    if (!refusal.empty()) {
        refuseOrigin(flow, environment, request.origins.front(), request.service,
                     makeRejectionFor(request, refusal, 1'000), context);
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
        takeAtHome(flow, environment, std::move(request), context);
    } else {
        passToHome(flow, environment, std::move(request), context);
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
    state.deadline = std::min(request.deadline, context.now + longestDeadline);
    const service_document *document = findDocument(environment.documents, request.service);
    if (document != nullptr) {
        state.deadline =
            std::min(state.deadline, context.now + document->request_timeout_ms * millisecond);
    }
    state.startBy = state.deadline;
    state.path = request.path;
    state.body = request.body;
    takeRequest(flow, environment, std::move(state), false, context);
}

void handleForwardedRequest(request_flow &flow, request_environment &environment,
                            const std::string &from, const forward_request &request,
                            step_context &context)
{
    const std::string key = from + "/" + std::to_string(request.number);
    const timestamp eraseAt = request.start_by + duplicateMemory;
    if (context.now >= eraseAt || !flow.taken.insert(key).second) {
        return; // A duplicate, or so late that it may be one.
    }
    flow.takenOrder.emplace(eraseAt, key);
    request_state state;
    request_origin origin;
    origin.peer = from;
    origin.peerNumber = request.number;
    state.isCallerRetry = request.is_repeat;
    if (context.now >= request.start_by) {
        refuseOrigin(flow, environment, origin, request.service,
                     makeRejectionFor(state, "the request arrived too late to be started", 0),
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
    takeRequest(flow, environment, std::move(state), request.as_home, context);
}

} // namespace bramleygrade
