#pragma once

#include <map>
#include <memory>
#include <string>
#include <thread>

#include "daemon/bounded_server.h"
#include "daemon/decision_loop.h"
#include "daemon/http.h"

namespace bramleygrade {

/// Address of a peer, from its member row in the table.
struct peer_address
{
    std::string host;
    int port = 0;
};

inline bool operator==(const peer_address &left, const peer_address &right)
{
    return left.host == right.host && left.port == right.port;
}

/// Sends messages to one peer from its own thread, in batches over JSON-RPC.
class peer_sender
{
public:
    peer_sender(peer_address address, std::string cellKey, decision_queue &decisions);
    ~peer_sender();
    /// Queues a message; reports it to the core as undelivered when the queue is full.
    void submit(peer_message message);
    /// Makes the thread end after its current batch, so that a later destruction does not block.
    void close() { m_messages.close(); }

private:
    void run();
    void deliver(const std::vector<peer_message> &messages);
    void reportUndelivered(const peer_message &message, bool mayHaveArrived);

    const peer_address m_address;
    const std::string m_cellKey;
    decision_queue &m_decisions;
    bounded_queue<peer_message> m_messages;
    connection_pool m_connections;
    std::thread m_thread;
};

/// The senders to all peers, one per identity. Used by the decision thread only.
class peer_sender_pool
{
public:
    peer_sender_pool(std::string cellKey, decision_queue &decisions);
    /// Sends to the peer with the identity `message.to` at `address`.
    void send(const peer_address &address, peer_message message);
    /// Stops the senders whose identity is not in `known`.
    void retainPeers(const std::map<std::string, peer_address> &known);

private:
    const std::string m_cellKey;
    decision_queue &m_decisions;
    struct retired_sender
    {
        std::unique_ptr<peer_sender> sender;
        timestamp destroyAt;
    };
    std::map<std::string, std::unique_ptr<peer_sender>> m_senders;
    std::vector<retired_sender> m_retired;
};

/// HTTP server that receives messages from peers on a port of its own.
class peer_server
{
public:
    peer_server(std::string host, int port, std::string cellKey, decision_queue &decisions);
    ~peer_server();
    /// Returns false when the port cannot be opened.
    bool start();

private:
    const std::string m_host;
    const int m_port;
    const std::string m_cellKey;
    decision_queue &m_decisions;
    bounded_server m_server;
    std::thread m_thread;
};

} // namespace bramleygrade
