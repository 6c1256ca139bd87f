#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "daemon/decision_loop.h"
#include "daemon/http.h"
#include "daemon/pending_answers.h"

namespace bramleygrade {

/// The duty that serves callers over HTTP.
///
/// `POST /v1/services/<service>/<path>` with the headers `Bramley-Team`, `Bramley-Deadline-Ms` and,
/// for unrepeatable requests, `Bramley-Request-Id`; `Bramley-Repeat` where that id was sent
/// before. Every response has `Bramley-Outcome`: `done`,
/// `not-run` or `may-have-run`. `GET /v1/request-id` gives an id, `GET /health` serves the
/// balancer.
class caller_server
{
public:
    caller_server(std::string host, int port, decision_queue &decisions);
    ~caller_server();
    bool start();
    void answer(std::uint64_t handle, answer outcome);
    /// Fails the health check, so that the balancer sends nothing new.
    void failHealthCheck() { m_isLeaving = true; }
    /// Refuses new requests at once; those in progress get their answers.
    void close() { m_isClosed = true; }
    /// Homes to which new request ids may lead.
    void setReachableHomes(std::uint32_t homes) { m_homes = homes; }
    std::size_t pendingCount() const { return m_room.size(); }

private:
    void serve(const httplib::Request &request, httplib::Response &response);
    void respond(const bramleygrade::answer &outcome, httplib::Response &response);

    const std::string m_host;
    const int m_port;
    decision_queue &m_decisions;
    pending_answers<bramleygrade::answer> m_room;
    std::string newRequestId() const;

    std::atomic<std::uint32_t> m_homes {0};
    std::atomic<bool> m_isLeaving {false};
    std::atomic<bool> m_isClosed {false};
    httplib::Server m_server;
    std::thread m_thread;
};

} // namespace bramleygrade
