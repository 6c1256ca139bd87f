#pragma once

#include <string>
#include <thread>
#include <vector>

#include "daemon/decision_loop.h"
#include "daemon/http.h"

namespace bramleygrade {

/// The duties that talk to the platform: transactions of the table, and the list of instances.
class platform_client
{
public:
    platform_client(std::string host, int port, decision_queue &decisions);
    ~platform_client();
    void start();
    /// Takes a transaction; a full ring is answered as `not_applied`.
    void submit(table_command wanted);
    std::size_t pendingCount() const { return m_commands.size(); }

private:
    void runTransactions();
    void runList();
    void finish(table_result result);

    const std::string m_host;
    const int m_port;
    decision_queue &m_decisions;
    bounded_queue<table_command> m_commands;
    connection_pool m_connections;
    std::vector<std::thread> m_threads;
};

} // namespace bramleygrade
