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
/// Handling of requests: admission from a caller or a peer, deduplication by the owner of the home
/// shard of the id, queueing, dispatch to an endpoint, retries and answers.
///
/// Every request ends in exactly one answer. `not_run` is given only where no byte can have reached
/// an endpoint, or the endpoint itself refused.

namespace bramleygrade {

/// Recipient of the answer: a caller of this entry under `handle`, or, where `peer` is set, the
/// peer that forwarded the request under its `peerNumber`.
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
    /// The request must not run more than once.
    bool isNonIdempotent = false;
    /// The caller has sent the id before, and that attempt may have run.
    bool isCallerRetry = false;
    /// This entry owns the home shard of the id; it records the answer and answers retries with it.
    bool isHomeOwner = false;
    timestamp deadline = 0;
    /// Latest time at which an attempt may be sent.
    timestamp startBy = 0;
    /// Time at which the request gets its final answer, if it has none yet.
    timestamp expiresAt = 0;
    /// Number of times that the request was forwarded before it reached this entry.
    int hops = 0;
    std::string path;
    std::string body;
    request_phase phase = request_phase::waiting;
    /// Target of the current attempt: the name of a worker, or the identity of a peer.
    std::string target;
    /// Target of the previous attempt; chosen again only where no other endpoint has a free slot.
    std::string avoidedWorker;
    int attempts = 0;
    /// An earlier attempt may have run (its answer was lost, or was a server error), so that
    /// `not_run` must not be returned any more.
    bool mayHaveRun = false;
};

/// One attempt in progress at an endpoint. It outlives its request where the request has expired.
struct endpoint_attempt
{
    std::uint64_t request = 0;
    std::string worker;
    std::string service;
    std::string team;
    /// Id under which a late answer is recorded; empty unless this entry owns the home shard.
    std::string recordedRequestId;
    timestamp sentAt = 0;
};

/// Newest load report of a peer.
struct peer_load
{
    load_report report;
    timestamp receivedAt = distantPast;
    /// Number of requests forwarded to the peer since the report, by service.
    std::map<std::string, int> sentSinceReport;
};

/// Counters since the start of the process, for metrics and status.
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

/// State of all requests of this entry.
struct request_flow
{
    std::uint64_t nextNumber = 1;
    std::map<std::uint64_t, request_state> requests;
    /// Request numbers by `expiresAt`.
    std::set<std::pair<timestamp, std::uint64_t>> expiries;
    std::map<std::uint64_t, endpoint_attempt> attempts;
    /// Queues by service.
    std::map<std::string, service_queue> queues;
    /// Load by identity of the peer, and of this entry itself.
    std::map<std::string, peer_load> peers;
    idempotency_state home;
    /// Forwards accepted from peers, with the time at which each key is erased from `taken`.
    std::set<std::pair<timestamp, std::string>> takenOrder;
    /// Keys `identity/number` of accepted forwards, by which duplicates are dropped.
    std::set<std::string> taken;
    /// Tenths of a retry that are left. A retry after a lost answer or a server error costs ten.
    int retryBudgetTenths = 100;
    request_counters counters;
};

/// State of the entry that the handling of requests reads or changes.
struct request_environment
{
    const cell_state &cell;
    const authority_state &authority;
    const document_state &documents;
    worker_pool &pool;
};

/// Admits or rejects a request of a caller. Its deadline is limited to the service's request
/// timeout and to 60 s from now.
void handleCallerRequest(request_flow &flow, request_environment &environment,
                         const caller_request &request, step_context &context);
/// Admits or rejects a request that the peer `from` forwarded; drops duplicates.
void handleForwardedRequest(request_flow &flow, request_environment &environment,
                            const std::string &from, const forward_request &request,
                            step_context &context);
/// Ends or retries the forwarded request that the peer `from` has answered. An answer is counted as
/// late where the request is no longer assigned to that peer.
void handleForwardAnswer(request_flow &flow, request_environment &environment,
                         const std::string &from, const forward_answer &result,
                         step_context &context);
/// Retries or ends a request whose forward was not delivered; unless `mayHaveArrived`, no byte of
/// it can have reached the peer.
void handleUndeliveredForward(request_flow &flow, request_environment &environment,
                              const forward_request &request, bool mayHaveArrived,
                              step_context &context);
/// Handles the end of an attempt: releases its slot, updates the health of the endpoint, retries or
/// ends the request, and dispatches queued requests.
void handleEndpointResult(request_flow &flow, request_environment &environment,
                          const endpoint_result &result, step_context &context);
/// Replaces the load report of `from` and clears its counts of requests sent since the report. A
/// report without shards keeps the shards of the previous one.
void recordLoadReport(request_flow &flow, const std::string &from, const load_report &report,
                      timestamp now);

/// Periodic work: ends expired requests and those whose peer has terminated, dispatches queued
/// requests, and erases expired idempotency records and keys of forwards.
void tickRequests(request_flow &flow, request_environment &environment, step_context &context);

/// Adds the free slots and queue lengths of this entry's workers, by service and failure domain, to
/// a report for peers.
void addServiceLoads(const request_flow &flow, const request_environment &environment,
                     load_report &report, timestamp now);

} // namespace bramleygrade
