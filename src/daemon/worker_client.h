#pragma once

#include <string>
#include <thread>
#include <vector>

#include "daemon/decision_loop.h"
#include "daemon/http.h"

namespace bramleygrade {

/// The duties that talk to workers: requests to endpoints, and calls about tasks.
class worker_client
{
public:
    explicit worker_client(decision_queue &decisions);
    ~worker_client();
    void start();
    void submit(dispatch_request wanted);
    void submit(worker_call wanted);
    std::size_t pendingRequestCount() const { return m_requests.size(); }
    std::size_t pendingCallCount() const { return m_calls.size(); }
    std::size_t idleConnectionCount() const { return m_connections.idleConnectionCount(); }

private:
    void runRequests();
    void runCalls();
    void sendRequest(const dispatch_request &wanted);
    void sendCall(const worker_call &wanted);
    void finish(event result);

    decision_queue &m_decisions;
    bounded_queue<dispatch_request> m_requests;
    bounded_queue<worker_call> m_calls;
    connection_pool m_connections;
    std::vector<std::thread> m_threads;
};

} // namespace bramleygrade
