#pragma once

#include <string>
#include <thread>
#include <vector>

#include "daemon/decision_loop.h"
#include "daemon/http.h"

namespace bramleygrade {

/// Client of the workers: sends requests to endpoints and worker calls (task orders and polls) to
/// workers.
class worker_client
{
public:
    explicit worker_client(decision_queue &decisions);
    ~worker_client();
    void start();
    /// Queues a request; reports `too_late` to the core when the queue is full.
    void submit(dispatch_request command);
    /// Queues a worker call; reports it to the core as not `reached` when the queue is full.
    void submit(worker_call command);
    std::size_t pendingRequestCount() const { return m_requests.size(); }
    std::size_t pendingCallCount() const { return m_calls.size(); }
    std::size_t idleConnectionCount() const { return m_connections.idleConnectionCount(); }

private:
    void runRequests();
    void runCalls();
    void sendRequest(const dispatch_request &command);
    void sendCall(const worker_call &command);
    void reportResult(event result);

    decision_queue &m_decisions;
    bounded_queue<dispatch_request> m_requests;
    bounded_queue<worker_call> m_calls;
    connection_pool m_connections;
    std::vector<std::thread> m_threads;
};

} // namespace bramleygrade
