#pragma once

#include <map>
#include <memory>
#include <string>
#include <thread>

#include "daemon/decision_loop.h"
#include "daemon/http.h"

namespace bramleygrade {

/// Address of a peer, as its member row gives it.
struct peer_address
{
    std::string host;
    int port = 0;
};

inline bool operator==(const peer_address &left, const peer_address &right)
{
    return left.host == right.host && left.port == right.port;
}

/// The duty that sends to one peer: batches of messages over one connection, by JSON-RPC.
class peer_sender
{
public:
    peer_sender(peer_address address, std::string cellKey, decision_queue &decisions);
    ~peer_sender();
    /// Takes a message; one that finds the ring full is reported as undelivered.
    void submit(peer_message message);
    /// Lets the thread end by itself, so that a later destruction does not block.
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

/// The senders to all peers. Used by the deciding thread only.
class peer_sender_pool
{
public:
    peer_sender_pool(std::string cellKey, decision_queue &decisions);
    /// Sends to the peer with this identity and address.
    void send(const peer_address &address, peer_message message);
    /// Ends the senders whose identity is not in `known`.
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

/// Receives messages of peers at its own port.
class peer_server
{
public:
    peer_server(std::string host, int port, std::string cellKey, decision_queue &decisions);
    ~peer_server();
    /// Returns false where the port cannot be opened.
    bool start();

private:
    const std::string m_host;
    const int m_port;
    const std::string m_cellKey;
    decision_queue &m_decisions;
    httplib::Server m_server;
    std::thread m_thread;
};

} // namespace bramleygrade
