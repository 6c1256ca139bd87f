#include "core/request_routing.h"

#include <algorithm>

#include "core/invariant.h"
#include "core/request_answers.h"

namespace bramleygrade {

namespace {

/// Maximum number of times that a request is forwarded between owners of workers.
constexpr int hopLimit = 2;

/// Returns the latest time at which an attempt may leave this entry for the worker.
timestamp computeStartDeadline(const request_state &request, const request_environment &environment,
                               const worker_view &worker, timestamp now)
{
    const std::string &self = environment.cell.identity;
    timestamp limit = std::min({request.startBy, environment.documents.freshUntil,
                                leaseExpiry(environment.authority, self, worker.shard, now)});
    if (request.isHomeOwner) {
        limit = std::min(
            limit, leaseExpiry(environment.authority, self, homeShardOf(request.requestId), now));
    }
    return limit;
}

void setExpiry(request_flow &flow, std::uint64_t number, timestamp expiresAt)
{
    request_state &request = flow.requests.at(number);
    flow.expiries.erase({request.expiresAt, number});
    request.expiresAt = expiresAt;
    flow.expiries.emplace(expiresAt, number);
}

/// Sends the request to an endpoint with a free slot. Returns false where there is none or this
/// entry may not dispatch now.
bool tryDispatch(request_flow &flow, request_environment &environment, std::uint64_t number,
                 step_context &context)
{
    request_state &request = flow.requests.at(number);
    const service_document *document = findDocument(environment.documents, request.service);
    if (document == nullptr || !areDocumentsFresh(environment.documents, context.now)
        || !isListCurrent(environment.cell, context.now)) {
        return false;
    }
    worker_view *worker =
        chooseEndpoint(environment.pool, environment.authority, environment.cell.identity,
                       *document, request.avoidedWorker, context.now);
    if (worker == nullptr) {
        return false;
    }
    const timestamp limit = computeStartDeadline(request, environment, *worker, context.now);
    if (limit <= context.now) {
        return false;
    }
    BRAMLEYGRADE_INVARIANT(
        isAllowedDomain(*document, worker->info.failure_domain),
        "a request would be sent outside its allowed failure domains; check chooseEndpoint");
    BRAMLEYGRADE_INVARIANT(
        worker->busySlots < worker->info.slots,
        "an endpoint would get more requests than it has slots; check its slot count");
    ++worker->busySlots;
    worker->health.isProbing = worker->health.ejections > 0;
    ++flow.queues[request.service].teams[request.team].inFlight;
    request.phase = request_phase::dispatched;
    request.target = worker->info.name;
    ++request.attempts;
    dispatch_request order;
    order.attempt = flow.nextNumber++;
    order.worker = worker->info.name;
    order.host = worker->info.host;
    order.port = worker->info.port;
    order.start_by = limit;
    order.deadline = request.deadline;
    order.request_id = request.requestId;
    order.path = request.path;
    order.body = request.body;
    endpoint_attempt attempt;
    attempt.request = number;
    attempt.worker = worker->info.name;
    attempt.service = request.service;
    attempt.team = request.team;
    attempt.sentAt = context.now;
    if (request.isHomeOwner) {
        attempt.recordedRequestId = request.requestId;
    }
    setExpiry(flow, number, request.deadline);
    flow.attempts.emplace(order.attempt, std::move(attempt));
    emit(context, std::move(order));
    return true;
}

/// Returns the peer's free slots in the failure domains that the document allows, less the requests
/// sent to it since its report.
int countFreeSlotsAt(const peer_load &load, const service_document &document)
{
    int slots = 0;
    for (const auto &service : load.report.services) {
        if (service->service == document.service
            && isAllowedDomain(document, service->failure_domain)) {
            slots += service->free_slots;
        }
    }
    const auto sent = load.sentSinceReport.find(document.service);
    return slots - (sent == load.sentSinceReport.end() ? 0 : sent->second);
}

bool isUsablePeer(const request_environment &environment, const std::string &identity,
                  timestamp now)
{
    return identity != environment.cell.identity
        && findMember(environment.cell, identity) != nullptr
        && isPeerLive(environment, identity, now);
}

/// Returns a random peer with free slots, weighted by their number; empty where no peer has any.
std::string choosePeerWithFreeSlots(const request_flow &flow, request_environment &environment,
                                    const service_document &document, timestamp now)
{
    int total = 0;
    std::string chosen;
    for (const auto &[identity, load] : flow.peers) {
        const bool isUsable = isUsablePeer(environment, identity, now);
        const int slots = isUsable ? countFreeSlotsAt(load, document) : 0;
        if (slots <= 0) {
            continue;
        }
        total += slots;
        if (nextRandom(environment.pool.random) % static_cast<std::uint64_t>(total)
            < static_cast<std::uint64_t>(slots)) {
            chosen = identity;
        }
    }
    return chosen;
}

/// Returns the peer with the shortest queue among those that have workers for the service. An entry
/// without workers of its own forwards requests there while no peer has a free slot.
std::string choosePeerWithShortestQueue(const request_flow &flow,
                                        const request_environment &environment,
                                        const service_document &document, timestamp now)
{
    std::string chosen;
    int shortest = 0;
    for (const auto &[identity, load] : flow.peers) {
        for (const auto &service : load.report.services) {
            const auto sent = load.sentSinceReport.find(document.service);
            const int queued =
                service->queued + (sent == load.sentSinceReport.end() ? 0 : sent->second);
            const bool isBetter = (chosen.empty() || queued < shortest)
                && service->service == document.service
                && isAllowedDomain(document, service->failure_domain)
                && isUsablePeer(environment, identity, now);
            if (isBetter) {
                chosen = identity;
                shortest = queued;
            }
        }
    }
    return chosen;
}

/// Forwards the request to a peer. Returns false where no peer is suitable, the hop limit is
/// reached or it is too late.
bool tryForward(request_flow &flow, request_environment &environment, std::uint64_t number,
                step_context &context)
{
    const request_state &request = flow.requests.at(number);
    const service_document *document = findDocument(environment.documents, request.service);
    if (document == nullptr || request.hops >= hopLimit) {
        return false;
    }
    std::string peer = choosePeerWithFreeSlots(flow, environment, *document, context.now);
    const bool hasNoWorkers = countSlots(environment.pool, environment.authority,
                                         environment.cell.identity, *document, context.now)
                                  .total
        == 0;
    if (peer.empty() && hasNoWorkers) {
        peer = choosePeerWithShortestQueue(flow, environment, *document, context.now);
    }
    if (peer.empty()) {
        return false;
    }
    return forwardToPeer(flow, environment, number, peer, false, context);
}

/// Returns the longest acceptable time in the queue. Under `least_waiting` it is an eighth of the
/// time left until the deadline: a queue that outlasts a burst lengthens every wait without raising
/// throughput, so a request that would wait longer is rejected at once.
microseconds computeMaxQueueWait(const request_state &request, const service_document &document,
                                 timestamp now)
{
    constexpr microseconds queueTimeDivisor = 8;
    const microseconds remaining = request.deadline - now;
    return document.policy == placement_policy::least_waiting ? remaining / queueTimeDivisor
                                                              : remaining;
}

} // namespace

bool isPeerLive(const request_environment &environment, const std::string &identity, timestamp now)
{
    const auto lastMessage = environment.cell.lastMessageAt.find(identity);
    return lastMessage != environment.cell.lastMessageAt.end()
        && now - lastMessage->second < peerTimeout;
}

void routeRequest(request_flow &flow, request_environment &environment, std::uint64_t number,
                  step_context &context)
{
    const request_state &request = flow.requests.at(number);
    service_queue &queue = flow.queues[request.service];
    if (queue.waiting == 0
        && (tryDispatch(flow, environment, number, context)
            || tryForward(flow, environment, number, context))) {
        return;
    }
    const service_document *document = findDocument(environment.documents, request.service);
    const slot_count slots = document == nullptr
        ? slot_count {}
        : countSlots(environment.pool, environment.authority, environment.cell.identity, *document,
                     context.now);
    const microseconds wait = estimateWait(queue, request.team, slots.total);
    const bool isTooLong =
        document == nullptr || wait > computeMaxQueueWait(request, *document, context.now);
    const bool isRejected = slots.total == 0 || queue.waiting >= serviceQueueLimit || isTooLong
        || context.now + wait + queue.meanAnswer > request.deadline;
    if (!isRejected) {
        enqueue(queue, request.team, number);
        dispatchQueued(flow, environment, request.service, context);
        return;
    }
    const auto retryAfterMs =
        static_cast<int>(std::max<microseconds>(wait, 100 * millisecond) / millisecond);
    finishRequest(
        flow, environment, number,
        request.mayHaveRun
            ? makeMayHaveRun("an earlier attempt may have run, and no slot is free for a retry")
            : makeNotRun("no slot is expected to be free before the deadline; retry later",
                         retryAfterMs),
        context);
}

bool forwardToPeer(request_flow &flow, request_environment &environment, std::uint64_t number,
                   const std::string &peer, bool asHome, step_context &context)
{
    request_state &request = flow.requests.at(number);
    timestamp startBy = std::min(request.startBy, environment.documents.freshUntil);
    if (request.isHomeOwner) {
        startBy = std::min(startBy,
                           leaseExpiry(environment.authority, environment.cell.identity,
                                       homeShardOf(request.requestId), context.now));
    }
    // The receiver's clock may be behind this one by up to `clockOffsetBound`.
    startBy -= clockOffsetBound;
    if (startBy <= context.now) {
        return false;
    }
    request.phase = request_phase::forwarded;
    request.target = peer;
    ++request.attempts;
    ++flow.counters.forwarded;
    if (!asHome) {
        ++flow.peers[peer].sentSinceReport[request.service];
    }
    forward_request forward;
    forward.number = number;
    forward.service = request.service;
    forward.team = request.team;
    forward.request_id = request.requestId;
    forward.unrepeatable = request.isNonIdempotent;
    forward.as_home = asHome;
    forward.is_repeat = asHome && request.isCallerRetry;
    forward.deadline = request.deadline;
    forward.start_by = startBy;
    forward.hops = request.hops + 1;
    forward.path = request.path;
    forward.body = request.body;
    sendToPeer(context, environment.cell.identity, peer, std::move(forward));
    setExpiry(flow, number, request.deadline);
    return true;
}

void dispatchQueued(request_flow &flow, request_environment &environment,
                    const std::string &service, step_context &context)
{
    service_queue &queue = flow.queues[service];
    while (queue.waiting > 0) {
        const std::uint64_t number = dequeueFairly(queue);
        if (tryDispatch(flow, environment, number, context)
            || tryForward(flow, environment, number, context)) {
            continue;
        }
        requeue(queue, flow.requests.at(number).team, number);
        return;
    }
}

void releaseSlot(request_flow &flow, worker_pool &pool, const endpoint_attempt &attempt)
{
    const auto worker = pool.workers.find(attempt.worker);
    if (worker != pool.workers.end() && worker->second.busySlots > 0) {
        --worker->second.busySlots;
    }
    --flow.queues[attempt.service].teams[attempt.team].inFlight;
}

void updateFreeSlots(peer_load &load, const std::string &service, int freeSlots)
{
    bool isFirst = true;
    for (const auto &reported : load.report.services) {
        if (reported->service == service) {
            // A `forward_answer` reports one number for all failure domains.
            reported->free_slots = isFirst ? freeSlots : 0;
            isFirst = false;
        }
    }
    load.sentSinceReport[service] = 0;
}

} // namespace bramleygrade
