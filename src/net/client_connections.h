#pragma once

#include <limits>
#include <list>
#include <map>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "net/http_client.h"

/// \file
/// The connections of an HTTP client; internal to it.

namespace bramleygrade::net {

/// Maximum number of bytes that wait in the buffer: a line between chunks, or all trailers.
constexpr std::size_t maxBufferedBytes = 65'536;

/// A connection to one address, idle or in use by one call.
struct connection
{
    connection(boost::asio::io_context &loop, std::string peer,
               std::shared_ptr<std::size_t> counter)
        : socket(loop)
        , address(std::move(peer))
        , openCount(std::move(counter))
    {
        ++*openCount;
    }
    ~connection() { --*openCount; }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    boost::asio::ip::tcp::socket socket;
    std::string address;
    /// Number of connections that the client has.
    std::shared_ptr<std::size_t> openCount;
    boost::beast::flat_buffer buffer {maxBufferedBytes};
    timestamp openedAt = distantPast;
    /// When the newest response was read.
    timestamp usedAt = distantPast;
    /// Position in `idleByUse`; valid while the connection is idle.
    std::list<std::shared_ptr<connection>>::iterator position;
};

using connection_list = std::vector<std::shared_ptr<connection>>;

/// Connections of a client, and its limits.
struct http_client::state
{
    boost::asio::io_context &loop;
    clock_function now;
    /// Idle connections by address; the last one was used last.
    std::map<std::string, connection_list> idle;
    /// All idle connections; the first one was used longest ago.
    std::list<std::shared_ptr<connection>> idleByUse;
    std::shared_ptr<std::size_t> openCount = std::make_shared<std::size_t>(0);
    std::size_t mostOpen = std::numeric_limits<std::size_t>::max();
    std::uint64_t opened = 0;
    busy_meter *meter = nullptr;
    receive_budget *budget = nullptr;
    std::uint64_t beyondLimits = 0;
};

void putIdle(http_client::state &client, const std::shared_ptr<connection> &conn);

/// Takes an idle connection out; the caller uses it, or drops it, which closes it.
std::shared_ptr<connection> takeIdle(http_client::state &client, connection_list &connections,
                                     connection_list::iterator taken);

/// Closes idle connections so that one more can be opened within the limit.
void makeRoom(http_client::state &client);

} // namespace bramleygrade::net
