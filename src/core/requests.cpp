#include "core/requests.h"

#include <algorithm>

#include "core/invariant.h"
#include "core/request_answers.h"
#include "core/request_routing.h"

namespace bramleygrade {

namespace {

constexpr std::size_t bodyLengthLimit = 1024ul * 1024;
constexpr microseconds longestDeadline = 60 * second;
/// Part of a retry that each accepted request earns; ten make one.
constexpr int retryBudgetCap = 100;
constexpr int attemptLimit = 3;
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
    if (request.isUnrepeatable && issueTimeOf(request.requestId) < 0) {
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
    flow.retryBudget = std::min(retryBudgetCap, flow.retryBudget + 1);
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
    const timestamp vouchFrom = environment.authority.shards.at(homeShard).actsFrom;
    const request_origin origin = request.origins.front();
    const auto refuse = [&](const answer &outcome) {
        refuseOrigin(flow, environment, origin, request.service, outcome, context);
    };
    switch (judgeRequestId(flow.home, request.requestId, vouchFrom, context.now)) {
    case home_verdict::unknownId: {
        request.isHome = true;
        const std::string requestId = request.requestId;
        const std::uint64_t number = addRequest(flow, std::move(request));
        rememberRunning(flow.home, requestId, number, context.now);
        routeRequest(flow, environment, number, context);
        return;
    }
    case home_verdict::runs: {
        const std::uint64_t number = flow.home.remembered.at(request.requestId).number;
        flow.requests.at(number).origins.push_back(origin);
        return;
    }
    case home_verdict::wasAnswered:
        return refuse(flow.home.remembered.at(request.requestId).outcome);
    case home_verdict::cannotVouch:
        return refuse(makeMayHaveRun("the entry that knew this id is gone; the request may have "
                                     "run: look up its effect before you send it under a new id"));
    case home_verdict::isExpired:
        return refuse(makeMayHaveRun("the id is older than 90 s and is not remembered any more; "
                                     "look up its effect before you send it under a new id"));
    case home_verdict::isFromFuture:
        return refuse(makeNotRunFor(request,
                                    "the id lies in the future; set your clock, or take an id "
                                    "from GET /v1/request-id",
                                    0));
    case home_verdict::isFull:
        return refuse(makeNotRunFor(
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
        || !isHeardLately(environment, view->second.row.owner, context.now)) {
        refuseOrigin(flow, environment, origin, request.service,
                     makeNotRunFor(request,
                                   "no entry can remember this id at the moment; come back later",
                                   1'000),
                     context);
        return;
    }
    const std::string owner = view->second.row.owner;
    const std::uint64_t number = addRequest(flow, std::move(request));
    if (!forwardTo(flow, environment, number, owner, true, context)) {
        finishRequest(flow, environment, number,
                      makeNotRunFor(flow.requests.at(number),
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
                     makeNotRunFor(request, refusal, 1'000), context);
        return;
    }
    const bool needsHome = request.isUnrepeatable && (asHome || request.hops == 0);
    if (!needsHome) {
        const std::uint64_t number = addRequest(flow, std::move(request));
        routeRequest(flow, environment, number, context);
        return;
    }
    const bool isHome = holdsAuthority(environment.authority, environment.cell.identity,
                                       homeShardOf(request.requestId), context.now);
    if (isHome) {
        takeAtHome(flow, environment, std::move(request), context);
    } else {
        passToHome(flow, environment, std::move(request), context);
    }
}

/// Another attempt elsewhere, where the request allows it and the retry budget has room.
bool retryElsewhere(request_flow &flow, request_environment &environment, std::uint64_t number,
                    bool wasRefused, step_context &context)
{
    request_state &request = flow.requests.at(number);
    constexpr int retryCost = 10;
    const bool isAllowed = wasRefused || (!request.isUnrepeatable && flow.retryBudget >= retryCost);
    if (!isAllowed || request.attempts >= attemptLimit || context.now >= request.deadline) {
        return false;
    }
    if (!wasRefused) {
        flow.retryBudget -= retryCost;
        request.mayHaveRun = true;
    }
    ++flow.counters.retried;
    request.avoidedWorker = request.target;
    request.phase = request_phase::waiting;
    routeRequest(flow, environment, number, context);
    return true;
}

void endAttemptWithAnswer(request_flow &flow, request_environment &environment,
                          const endpoint_attempt &attempt, const endpoint_result &result,
                          step_context &context)
{
    constexpr int firstServerError = 500;
    const bool isServerError = result.status >= firstServerError;
    const auto worker = environment.pool.workers.find(attempt.worker);
    if (worker != environment.pool.workers.end()) {
        if (isServerError) {
            noteEndpointFailure(environment.pool, worker->second, context.now);
        } else {
            const microseconds took = context.now - attempt.sentAt;
            noteEndpointSuccess(worker->second, took);
            service_queue &queue = flow.queues[attempt.service];
            queue.meanAnswer += (took - queue.meanAnswer) / 16;
        }
    }
    if (isServerError && retryElsewhere(flow, environment, attempt.request, false, context)) {
        return;
    }
    finishRequest(flow, environment, attempt.request, makeDone(attempt, result), context);
}

/// The caller has been told "may have run"; a repeat gets the whole answer all the same.
void noteLateAnswer(request_flow &flow, const endpoint_attempt &attempt,
                    const endpoint_result &result)
{
    if (result.outcome == endpoint_outcome::answered && !attempt.homeRequestId.empty()) {
        replaceAnswer(flow.home, attempt.homeRequestId, makeDone(attempt, result));
    }
}

void endAttemptWithoutAnswer(request_flow &flow, request_environment &environment,
                             const endpoint_attempt &attempt, endpoint_outcome result,
                             step_context &context)
{
    const bool wasRefused = result != endpoint_outcome::lost;
    const auto worker = environment.pool.workers.find(attempt.worker);
    if (worker != environment.pool.workers.end()) {
        if (result == endpoint_outcome::refused) {
            // The endpoint is full: someone else's requests hold its slots until the next poll.
            ++worker->second.foreignSlots;
            worker->second.nextPollAt = context.now;
        } else if (result != endpoint_outcome::too_late) {
            noteEndpointFailure(environment.pool, worker->second, context.now);
        }
        if (result == endpoint_outcome::lost) {
            ++worker->second.foreignSlots;
            worker->second.nextPollAt = context.now;
        }
    }
    if (retryElsewhere(flow, environment, attempt.request, wasRefused, context)) {
        return;
    }
    const request_state &request = flow.requests.at(attempt.request);
    const bool surelyNotRun = wasRefused && !request.mayHaveRun;
    finishRequest(flow, environment, attempt.request,
                  surelyNotRun
                      ? makeNotRun("no endpoint took the request; come back later", 500)
                      : makeMayHaveRun("the endpoint was reached, but its answer was lost"),
                  context);
}

void expireRequests(request_flow &flow, request_environment &environment, step_context &context)
{
    while (!flow.expiries.empty() && flow.expiries.begin()->first <= context.now) {
        const std::uint64_t number = flow.expiries.begin()->second;
        const request_state &request = flow.requests.at(number);
        const bool surelyNotRun = request.phase == request_phase::waiting && !request.mayHaveRun;
        finishRequest(flow, environment, number,
                      surelyNotRun
                          ? makeNotRun("no slot became free before the deadline", 1'000)
                          : makeMayHaveRun("the deadline passed while the request was under way"),
                      context);
    }
}

/// Requests passed to a peer that can no longer answer get their final answer at once.
void endLostForwards(request_flow &flow, request_environment &environment, step_context &context)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[number, request] : flow.requests) {
        const bool isLost = request.phase == request_phase::forwarded
            && isGone(environment.cell, request.target, distantPast, context.now);
        if (isLost) {
            lost.push_back(number);
        }
    }
    for (const std::uint64_t number : lost) {
        finishRequest(flow, environment, number,
                      makeMayHaveRun("the entry that had the request is gone"), context);
    }
}

} // namespace

void takeCallerRequest(request_flow &flow, request_environment &environment,
                       const caller_request &request, step_context &context)
{
    request_state state;
    request_origin origin;
    origin.handle = request.handle;
    state.origins.push_back(origin);
    state.service = request.service;
    state.team = request.team;
    state.requestId = request.request_id;
    state.isUnrepeatable = request.unrepeatable;
    state.isRepeat = request.is_repeat;
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

void takeForwardedRequest(request_flow &flow, request_environment &environment,
                          const std::string &from, const forward_request &request,
                          step_context &context)
{
    const std::string key = from + "/" + std::to_string(request.number);
    const timestamp forgetAt = request.start_by + duplicateMemory;
    if (context.now >= forgetAt || !flow.taken.insert(key).second) {
        return; // A duplicate, or so late that it may be one.
    }
    flow.takenOrder.emplace(forgetAt, key);
    request_state state;
    request_origin origin;
    origin.peer = from;
    origin.peerNumber = request.number;
    state.isRepeat = request.is_repeat;
    if (context.now >= request.start_by) {
        refuseOrigin(flow, environment, origin, request.service,
                     makeNotRunFor(state, "the request arrived too late to be started", 0),
                     context);
        return;
    }
    state.origins.push_back(origin);
    state.service = request.service;
    state.team = request.team;
    state.requestId = request.request_id;
    state.isUnrepeatable = request.unrepeatable;
    state.deadline = request.deadline;
    state.startBy = request.start_by;
    state.hops = request.hops;
    state.path = request.path;
    state.body = request.body;
    takeRequest(flow, environment, std::move(state), request.as_home, context);
}

void noteForwardAnswer(request_flow &flow, request_environment &environment,
                       const std::string &from, const forward_answer &result, step_context &context)
{
    const auto load = flow.peers.find(from);
    if (load != flow.peers.end()) {
        noteFreeSlots(load->second, result.service, result.free_slots);
    }
    const auto found = flow.requests.find(result.number);
    if (found == flow.requests.end() || found->second.phase != request_phase::forwarded
        || found->second.target != from || result.outcome == nullptr) {
        ++flow.counters.lateAnswers;
        return;
    }
    const bool isRetriable = result.outcome->outcome == outcome::not_run && found->second.isHome;
    if (isRetriable && retryElsewhere(flow, environment, result.number, true, context)) {
        return;
    }
    finishRequest(flow, environment, result.number, *result.outcome, context);
}

void noteForwardUndelivered(request_flow &flow, request_environment &environment,
                            const forward_request &request, bool mayHaveArrived,
                            step_context &context)
{
    const auto found = flow.requests.find(request.number);
    if (found == flow.requests.end() || found->second.phase != request_phase::forwarded) {
        return;
    }
    flow.peers.erase(found->second.target);
    const bool canRouteElsewhere = !request.as_home;
    if (canRouteElsewhere
        && retryElsewhere(flow, environment, request.number, !mayHaveArrived, context)) {
        return;
    }
    if (mayHaveArrived) {
        finishRequest(flow, environment, request.number,
                      makeMayHaveRun("the entry that got the request does not answer"), context);
        return;
    }
    finishRequest(flow, environment, request.number,
                  makeNotRunFor(found->second,
                                "the entry that remembers this id cannot be reached; come back "
                                "later",
                                1'000),
                  context);
}

void noteEndpointResult(request_flow &flow, request_environment &environment,
                        const endpoint_result &result, step_context &context)
{
    const auto found = flow.attempts.find(result.attempt);
    if (found == flow.attempts.end()) {
        return;
    }
    const endpoint_attempt attempt = found->second;
    flow.attempts.erase(found);
    releaseSlot(flow, environment.pool, attempt);
    const auto worker = environment.pool.workers.find(attempt.worker);
    if (worker != environment.pool.workers.end() && result.is_leaving) {
        worker->second.saysLeaving = true;
    }
    if (flow.requests.count(attempt.request) == 0) {
        ++flow.counters.lateAnswers;
        noteLateAnswer(flow, attempt, result);
    } else if (result.outcome == endpoint_outcome::answered) {
        endAttemptWithAnswer(flow, environment, attempt, result, context);
    } else {
        endAttemptWithoutAnswer(flow, environment, attempt, result.outcome, context);
    }
    startWaiting(flow, environment, attempt.service, context);
}

void noteLoad(request_flow &flow, const std::string &from, const load_report &report, timestamp now)
{
    peer_load &load = flow.peers[from];
    load.heardAt = now;
    load.givenSince.clear();
    load_report newest = report;
    if (newest.shards.empty()) {
        newest.shards = std::move(load.report.shards);
    }
    load.report = std::move(newest);
}

void tendRequests(request_flow &flow, request_environment &environment, step_context &context)
{
    expireRequests(flow, environment, context);
    endLostForwards(flow, environment, context);
    std::vector<std::string> services;
    for (const auto &[service, queue] : flow.queues) {
        if (queue.waiting > 0) {
            services.push_back(service);
        }
    }
    for (const std::string &service : services) {
        startWaiting(flow, environment, service, context);
    }
    forgetExpired(flow.home, context.now);
    while (!flow.takenOrder.empty() && flow.takenOrder.begin()->first <= context.now) {
        flow.taken.erase(flow.takenOrder.begin()->second);
        flow.takenOrder.erase(flow.takenOrder.begin());
    }
}

void reportSlots(const request_flow &flow, const request_environment &environment,
                 load_report &report, timestamp now)
{
    for (const auto &[service, names] : environment.pool.byService) {
        std::map<std::string, int> freeByDomain;
        for (const std::string &name : names) {
            const worker_view &worker = environment.pool.workers.at(name);
            const std::string &self = environment.cell.identity;
            if (holdsAuthority(environment.authority, self, worker.shard, now)) {
                freeByDomain[worker.info.failure_domain] +=
                    usableSlots(worker, environment.authority, self, now);
            }
        }
        const auto queue = flow.queues.find(service);
        for (const auto &[domain, slots] : freeByDomain) {
            auto load = std::make_unique<service_load>();
            load->service = service;
            load->failure_domain = domain;
            load->free_slots = slots;
            load->queued = queue == flow.queues.end() ? 0 : static_cast<int>(queue->second.waiting);
            report.services.push_back(std::move(load));
        }
    }
}

} // namespace bramleygrade
