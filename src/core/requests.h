#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/documents.h"
#include "core/request_home.h"
#include "core/request_queue.h"
#include "core/worker_pool.h"

/// \file
/// The way of a request: from its caller or a peer, over its home and the queue, to an endpoint.
///
/// Every request ends in exactly one answer. `not_run` is given only where no byte can have reached
/// an endpoint, or the endpoint itself refused.

namespace bramleygrade {

/// Who waits for the answer: a caller here, or a peer that passed the request on.
struct request_origin
{
    std::uint64_t handle = 0;
    std::string peer;
    std::uint64_t peerNumber = 0;
};

enum class request_phase { waiting, dispatched, forwarded };

struct request_state
{
    std::vector<request_origin> origins;
    std::string service;
    std::string team;
    std::string requestId;
    bool isNonIdempotent = false;
    /// An earlier attempt of the caller may have run.
    bool isCallerRetry = false;
    /// This entry remembers the id and answers repeats.
    bool isHomeOwner = false;
    timestamp deadline = 0;
    /// No attempt may leave later.
    timestamp startBy = 0;
    /// The request gets its final answer then, if it has none.
    timestamp expiresAt = 0;
    int hops = 0;
    std::string path;
    std::string body;
    request_phase phase = request_phase::waiting;
    /// Where the current attempt went: a worker, or the identity of a peer.
    std::string target;
    std::string avoidedWorker;
    int attempts = 0;
    /// An earlier attempt was lost, so that "not run" cannot be said any more.
    bool mayHaveRun = false;
};

/// One request under way at an endpoint. It outlives its request where that has timed out.
struct endpoint_attempt
{
    std::uint64_t request = 0;
    std::string worker;
    std::string service;
    std::string team;
    /// Set where this entry is the home of the request.
    std::string recordedRequestId;
    timestamp sentAt = 0;
};

/// What a peer has to give, as far as it has told.
struct peer_load
{
    load_report report;
    timestamp receivedAt = distantPast;
    /// Requests given to the peer since the report, by service.
    std::map<std::string, int> sentSinceReport;
};

/// Counts since the start of the process, for metrics and status.
struct request_counters
{
    std::uint64_t accepted = 0;
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t retried = 0;
    std::uint64_t lateAnswers = 0;
};

struct request_flow
{
    std::uint64_t nextNumber = 1;
    std::map<std::uint64_t, request_state> requests;
    /// Requests by expiresAt.
    std::set<std::pair<timestamp, std::uint64_t>> expiries;
    std::map<std::uint64_t, endpoint_attempt> attempts;
    std::map<std::string, service_queue> queues;
    std::map<std::string, peer_load> peers;
    idempotency_state home;
    /// Forwards taken from peers, to drop duplicates: (time to forget, identity/number).
    std::set<std::pair<timestamp, std::string>> takenOrder;
    std::set<std::string> taken;
    /// Tenths of a retry that may still be spent.
    int retryBudgetTenths = 100;
    request_counters counters;
};

/// The parts of the entry that requests depend on.
struct request_environment
{
    const cell_state &cell;
    const authority_state &authority;
    const document_state &documents;
    worker_pool &pool;
};

void handleCallerRequest(request_flow &flow, request_environment &environment,
                         const caller_request &request, step_context &context);
void handleForwardedRequest(request_flow &flow, request_environment &environment,
                            const std::string &from, const forward_request &request,
                            step_context &context);
void handleForwardAnswer(request_flow &flow, request_environment &environment,
                         const std::string &from, const forward_answer &result,
                         step_context &context);
/// The forward did not get through; unless `mayHaveArrived`, no byte of it can have reached the
/// peer.
void handleUndeliveredForward(request_flow &flow, request_environment &environment,
                              const forward_request &request, bool mayHaveArrived,
                              step_context &context);
void handleEndpointResult(request_flow &flow, request_environment &environment,
                          const endpoint_result &result, step_context &context);
void recordLoadReport(request_flow &flow, const std::string &from, const load_report &report,
                      timestamp now);

/// Ends requests at their deadline, and those whose peer is gone; starts what can be started.
void tickRequests(request_flow &flow, request_environment &environment, step_context &context);

/// Free slots by service and failure domain, for peers.
void addServiceLoads(const request_flow &flow, const request_environment &environment,
                     load_report &report, timestamp now);

} // namespace bramleygrade
