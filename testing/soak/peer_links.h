#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "net/http_client.h"
#include "net/http_server.h"

/// \file
/// Links between the entries. Each entry reaches each other one at a port of its own, where calls
/// and datagrams are passed on, so that single links can fail in one or both directions. Messages
/// and stored rows name entries by their addresses; they are translated to those that the reader
/// uses.

namespace bramleygrade::soak {

/// Faults of the link from one entry to another.
struct peer_link
{
    /// Number of faults under which nothing passes.
    int cuts = 0;
    /// Number of faults under which calls arrive and their answers do not.
    int lostAnswers = 0;
    /// Added to each call.
    microseconds delay = 0;
};

/// Leaves a call without an answer. Its connection is closed once the caller has given up.
void abandonCall(boost::asio::io_context &loop, const net::http_server::responder &respond);

/// Returns a responder that does the same instead of answering.
net::http_server::responder makeLostResponder(boost::asio::io_context &loop,
                                              const net::http_server::responder &respond);

class peer_links
{
public:
    /// `real`: peer address of each entry; `seen[from][to]`: the one at which `from` reaches `to`.
    peer_links(boost::asio::io_context &loop, std::vector<std::string> real,
               std::vector<std::vector<std::string>> seen);
    ~peer_links();

    /// Opens the ports. Returns an empty text or an error.
    std::string start();
    peer_link &linkOf(std::size_t from, std::size_t to) { return m_links[from][to]; }

    /// Adds another address that differs between entries: `seen[entry]` is the one that it uses.
    void addTarget(const std::vector<std::string> &seen) { m_targets.push_back(seen); }

    /// Replaces the addresses that entry `from` uses by those that entry `to` uses.
    std::string translate(std::string text, std::size_t from, std::size_t to) const;
    std::size_t size() const { return m_real.size(); }

private:
    struct datagram_forwarder;

    void forward(std::size_t from, std::size_t to, const net::http_request &request,
                 const net::http_server::responder &respond);

    boost::asio::io_context &m_loop;
    std::vector<std::string> m_real;
    std::vector<std::vector<std::string>> m_seen;
    /// `m_targets[target][entry]`: address of the target as the entry uses it.
    std::vector<std::vector<std::string>> m_targets;
    std::vector<std::vector<peer_link>> m_links;
    net::http_client m_client;
    std::vector<std::unique_ptr<net::http_server>> m_servers;
    std::vector<std::shared_ptr<datagram_forwarder>> m_forwarders;
};

} // namespace bramleygrade::soak
