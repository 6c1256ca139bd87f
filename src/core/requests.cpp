#include "core/requests.h"

#include <algorithm>

#include "core/invariant.h"
#include "core/request_answers.h"
#include "core/request_routing.h"

namespace bramleygrade {

namespace {

constexpr int attemptLimit = 3;

/// Routes the request again, avoiding its last target. `wasRefused`: the last attempt has not run,
/// so that the retry is not charged to the retry budget. Returns false where the attempt limit, the
/// deadline or the budget is exhausted, or the request is non-idempotent and may have run.
bool retryElsewhere(request_flow &flow, request_environment &environment, std::uint64_t number,
                    bool wasRefused, step_context &context)
{
    request_state &request = flow.requests.at(number);
    constexpr int retryCostTenths = 10;
    const bool isAllowed =
        wasRefused || (!request.isNonIdempotent && flow.retryBudgetTenths >= retryCostTenths);
    if (!isAllowed || request.attempts >= attemptLimit || context.now >= request.deadline) {
        return false;
    }
    if (!wasRefused) {
        flow.retryBudgetTenths -= retryCostTenths;
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
            recordEndpointFailure(environment.pool, worker->second, context.now);
        } else {
            const microseconds took = context.now - attempt.sentAt;
            recordEndpointSuccess(worker->second, took);
            service_queue &queue = flow.queues[attempt.service];
            queue.meanAnswer += (took - queue.meanAnswer) / 16;
        }
    }
    if (isServerError && retryElsewhere(flow, environment, attempt.request, false, context)) {
        return;
    }
    finishRequest(flow, environment, attempt.request, makeDone(attempt, result), context);
}

/// Records an answer that arrived after the caller got `may_have_run`, so that a retry by the
/// caller gets it.
void recordLateAnswer(request_flow &flow, const endpoint_attempt &attempt,
                      const endpoint_result &result)
{
    if (result.outcome == endpoint_outcome::answered && !attempt.recordedRequestId.empty()) {
        replaceAnswer(flow.home, attempt.recordedRequestId, makeDone(attempt, result));
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
            // The endpoint is full: another sender's request holds a slot that this entry counted
            // as free. The slot counts as busy until the next poll.
            ++worker->second.untrackedSlots;
            worker->second.nextPollAt = context.now;
        } else if (result != endpoint_outcome::too_late) {
            recordEndpointFailure(environment.pool, worker->second, context.now);
        }
        if (result == endpoint_outcome::lost) {
            // The request may still hold its slot; it counts as busy until the next poll.
            ++worker->second.untrackedSlots;
            worker->second.nextPollAt = context.now;
        }
    }
    if (retryElsewhere(flow, environment, attempt.request, wasRefused, context)) {
        return;
    }
    const request_state &request = flow.requests.at(attempt.request);
    const bool hasNotRun = wasRefused && !request.mayHaveRun;
    finishRequest(flow, environment, attempt.request,
                  hasNotRun
                      ? makeNotRun("no endpoint accepted the request; retry later", 500)
                      : makeMayHaveRun(
                          "the request may have reached an endpoint, but no answer was received"),
                  context);
}

void expireRequests(request_flow &flow, request_environment &environment, step_context &context)
{
    while (!flow.expiries.empty() && flow.expiries.begin()->first <= context.now) {
        const std::uint64_t number = flow.expiries.begin()->second;
        const request_state &request = flow.requests.at(number);
        const bool hasNotRun = request.phase == request_phase::waiting && !request.mayHaveRun;
        finishRequest(flow, environment, number,
                      hasNotRun
                          ? makeNotRun("no slot became free before the deadline", 1'000)
                          : makeMayHaveRun("the deadline passed while the request was in progress"),
                      context);
    }
}

/// Ends the requests that were forwarded to a peer that can no longer answer.
void endLostForwards(request_flow &flow, request_environment &environment, step_context &context)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[number, request] : flow.requests) {
        const bool isLost = request.phase == request_phase::forwarded
            && isTerminated(environment.cell, request.target, distantPast, context.now);
        if (isLost) {
            lost.push_back(number);
        }
    }
    for (const std::uint64_t number : lost) {
        finishRequest(flow, environment, number,
                      makeMayHaveRun("the entry to which the request was forwarded has terminated"),
                      context);
    }
}

} // namespace

void handleForwardAnswer(request_flow &flow, request_environment &environment,
                         const std::string &from, const forward_answer &result,
                         step_context &context)
{
    const auto load = flow.peers.find(from);
    if (load != flow.peers.end()) {
        updateFreeSlots(load->second, result.service, result.free_slots);
    }
    const auto found = flow.requests.find(result.number);
    if (found == flow.requests.end() || found->second.phase != request_phase::forwarded
        || found->second.target != from || result.outcome == nullptr) {
        ++flow.counters.lateAnswers;
        return;
    }
    const bool isRetriable =
        result.outcome->outcome == outcome::not_run && found->second.isHomeOwner;
    if (isRetriable && retryElsewhere(flow, environment, result.number, true, context)) {
        return;
    }
    finishRequest(flow, environment, result.number, *result.outcome, context);
}

void handleUndeliveredForward(request_flow &flow, request_environment &environment,
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
        finishRequest(
            flow, environment, request.number,
            makeMayHaveRun("the entry to which the request was forwarded does not answer"),
            context);
        return;
    }
    finishRequest(
        flow, environment, request.number,
        makeRejectionFor(found->second,
                         "the entry to which the request was forwarded cannot be reached; "
                         "retry later",
                         1'000),
        context);
}

void handleEndpointResult(request_flow &flow, request_environment &environment,
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
        worker->second.hasReportedLeaving = true;
    }
    if (flow.requests.count(attempt.request) == 0) {
        ++flow.counters.lateAnswers;
        recordLateAnswer(flow, attempt, result);
    } else if (result.outcome == endpoint_outcome::answered) {
        endAttemptWithAnswer(flow, environment, attempt, result, context);
    } else {
        endAttemptWithoutAnswer(flow, environment, attempt, result.outcome, context);
    }
    dispatchQueued(flow, environment, attempt.service, context);
}

void recordLoadReport(request_flow &flow, const std::string &from, const load_report &report,
                      timestamp now)
{
    peer_load &load = flow.peers[from];
    load.receivedAt = now;
    load.sentSinceReport.clear();
    load_report newest = report;
    if (newest.shards.empty()) {
        newest.shards = std::move(load.report.shards);
    }
    load.report = std::move(newest);
}

void tickRequests(request_flow &flow, request_environment &environment, step_context &context)
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
        dispatchQueued(flow, environment, service, context);
    }
    eraseExpiredRecords(flow.home, context.now);
    while (!flow.takenOrder.empty() && flow.takenOrder.begin()->first <= context.now) {
        flow.taken.erase(flow.takenOrder.begin()->second);
        flow.takenOrder.erase(flow.takenOrder.begin());
    }
}

void addServiceLoads(const request_flow &flow, const request_environment &environment,
                     load_report &report, timestamp now)
{
    for (const auto &[service, names] : environment.pool.byService) {
        std::map<std::string, int> freeByDomain;
        for (const std::string &name : names) {
            const worker_view &worker = environment.pool.workers.at(name);
            const std::string &self = environment.cell.identity;
            if (holdsLease(environment.authority, self, worker.shard, now)) {
                freeByDomain[worker.info.failure_domain] +=
                    countUsableSlots(worker, environment.authority, self, now);
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
