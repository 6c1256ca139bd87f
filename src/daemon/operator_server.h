#pragma once

#include <functional>
#include <string>
#include <thread>

#include "daemon/decision_loop.h"
#include "daemon/http.h"
#include "daemon/pending_answers.h"

namespace bramleygrade {

/// Text of the daemon's own state, outside the core: rings, threads and connections.
using daemon_state_formatter = std::function<std::string()>;

/// The duty that serves operators: their requests, dumps, status and metrics. Every call must show
/// the key of the cell.
class operator_server
{
public:
    operator_server(std::string host, int port, std::string cellKey, decision_queue &decisions,
                    daemon_state_formatter report);
    ~operator_server();
    bool start();
    void answer(answer_operator outcome);

private:
    using text_of_core = std::function<std::string(const decision_core &, timestamp)>;

    void operate(const httplib::Request &request, httplib::Response &response);
    void offer(const char *path, const char *type, text_of_core text);
    bool isAdmitted(const httplib::Request &request, httplib::Response &response) const;

    const std::string m_host;
    const int m_port;
    const std::string m_cellKey;
    decision_queue &m_decisions;
    daemon_state_formatter m_report;
    pending_answers<answer_operator> m_room;
    httplib::Server m_server;
    std::thread m_thread;
};

} // namespace bramleygrade
