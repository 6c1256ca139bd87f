#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "daemon/bounded_server.h"
#include "daemon/decision_loop.h"
#include "daemon/http.h"
#include "daemon/pending_answers.h"

namespace bramleygrade {

/// HTTP server for callers.
///
/// `POST /v1/services/<service>/<path>` takes the headers `Bramley-Team`, `Bramley-Deadline-Ms`
/// and, for non-idempotent requests, `Bramley-Request-Id` as the idempotency key; `Bramley-Repeat`
/// marks a retry with an id that was sent before. Every response to the `POST` has the header
/// `Bramley-Outcome`: `done`, `not-run` or `may-have-run`. `GET /v1/request-id` returns a new id;
/// `GET /health` is the health check of the load balancer.
class caller_server
{
public:
    caller_server(std::string host, int port, decision_queue &decisions);
    ~caller_server();
    /// Returns false when the port cannot be opened.
    bool start();
    /// Completes the request `handle`; ignored when its thread no longer waits.
    void answer(std::uint64_t handle, answer outcome);
    /// Makes the health check fail, so that the load balancer sends no new requests.
    void failHealthCheck() { m_isHealthCheckFailing = true; }
    /// Rejects new requests immediately; requests in progress still get their answers.
    void close() { m_isRefusingRequests = true; }
    /// Sets the bit mask of homes that new request ids may belong to, as from reachableHomes().
    void setReachableHomes(std::uint32_t homes) { m_reachableHomes = homes; }
    /// Number of requests that wait for an answer.
    std::size_t pendingCount() const { return m_pendingAnswers.size(); }

private:
    void handleRequest(const httplib::Request &request, httplib::Response &response);
    void writeResponse(const bramleygrade::answer &outcome, httplib::Response &response);

    const std::string m_host;
    const int m_port;
    decision_queue &m_decisions;
    pending_answers<bramleygrade::answer> m_pendingAnswers;
    std::string generateRequestId() const;

    std::atomic<std::uint32_t> m_reachableHomes {0};
    std::atomic<bool> m_isHealthCheckFailing {false};
    std::atomic<bool> m_isRefusingRequests {false};
    bounded_server m_server;
    std::thread m_thread;
};

} // namespace bramleygrade
