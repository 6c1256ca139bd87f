#pragma once

#include <string>
#include <thread>
#include <vector>

#include "daemon/decision_loop.h"
#include "daemon/http.h"

namespace bramleygrade {

/// The duties that talk to workers: requests to endpoints, and calls about tasks.
class worker_link
{
public:
    explicit worker_link(decision_ring &decisions);
    ~worker_link();
    void start();
    void submit(dispatch_request wanted);
    void submit(worker_call wanted);
    std::size_t waitingRequests() const { return m_requests.size(); }
    std::size_t waitingCalls() const { return m_calls.size(); }
    std::size_t idleConnections() const { return m_connections.idleConnections(); }

private:
    void runRequests();
    void runCalls();
    void sendRequest(const dispatch_request &wanted);
    void sendCall(const worker_call &wanted);
    void finish(event result);

    decision_ring &m_decisions;
    bounded_ring<dispatch_request> m_requests;
    bounded_ring<worker_call> m_calls;
    connection_pool m_connections;
    std::vector<std::thread> m_threads;
};

} // namespace bramleygrade
