#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "net/http_message.h"

namespace bramleygrade::net {

/// Calls other processes over HTTP/1.1 on one event loop, with kept connections.
///
///     http_client client(loop, now);
///     client.send({"127.0.0.1:8080", "GET", "/rows"}, [](call_result result) { ... });
///
/// Each call ends exactly once, at the latest at its deadline. A call that is given up resets its
/// connection, so that bytes that were held up on the way are dropped.
class http_client
{
public:
    using clock_function = timestamp (*)();
    using completion = std::function<void(call_result)>;

    http_client(boost::asio::io_context &loop, clock_function now);
    ~http_client();

    void send(http_call call, completion done);

    /// Connections opened so far.
    std::uint64_t connectionsOpened() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace bramleygrade::net
