#pragma once

#include <functional>
#include <string>
#include <thread>

#include "daemon/bounded_server.h"
#include "daemon/decision_loop.h"
#include "daemon/http.h"
#include "daemon/pending_answers.h"

namespace bramleygrade {

/// Returns the state of the daemon outside the core as JSON: queues, pending callers, connections.
using daemon_state_formatter = std::function<std::string()>;

/// HTTP server for operators: operator requests, state dump, status and metrics. Every request
/// must have the cell key in the header `Bramley-Cell-Key`.
class operator_server
{
public:
    operator_server(std::string host, int port, std::string cellKey, decision_queue &decisions,
                    daemon_state_formatter formatDaemonState);
    ~operator_server();
    /// Returns false when the port cannot be opened.
    bool start();
    /// Completes the request `outcome.handle`; ignored when its thread no longer waits.
    void answer(answer_operator outcome);

private:
    using state_formatter = std::function<std::string(const decision_core &, timestamp)>;

    void handleOperatorRequest(const httplib::Request &request, httplib::Response &response);
    /// Serves the result of `text` as content type `type` at `path`.
    void registerView(const char *path, const char *type, state_formatter text);
    /// Checks the cell key; writes a 403 response and returns false when it is missing or wrong.
    bool authoriseRequest(const httplib::Request &request, httplib::Response &response) const;

    const std::string m_host;
    const int m_port;
    const std::string m_cellKey;
    decision_queue &m_decisions;
    daemon_state_formatter m_formatDaemonState;
    pending_answers<answer_operator> m_pendingAnswers;
    bounded_server m_server;
    std::thread m_thread;
};

} // namespace bramleygrade
