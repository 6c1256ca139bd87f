#pragma once

#include <string>
#include <thread>
#include <vector>

#include "daemon/decision_loop.h"
#include "daemon/http.h"

namespace bramleygrade {

/// Client of the platform: runs table transactions and polls the instance list.
class platform_client
{
public:
    platform_client(std::string host, int port, decision_queue &decisions);
    ~platform_client();
    void start();
    /// Queues a transaction; reports `not_applied` to the core when the queue is full.
    void submit(table_command command);
    /// Number of queued transactions.
    std::size_t pendingCount() const { return m_commands.size(); }

private:
    void runTransactions();
    void pollInstanceList();
    void reportResult(table_result result);

    const std::string m_host;
    const int m_port;
    decision_queue &m_decisions;
    bounded_queue<table_command> m_commands;
    connection_pool m_connections;
    std::vector<std::thread> m_threads;
};

} // namespace bramleygrade
