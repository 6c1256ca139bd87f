#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "net/busy_meter.h"
#include "net/http_message.h"
#include "net/receive_budget.h"

namespace bramleygrade::net {

/// Limits on what callers send and how long they may take.
struct server_limits
{
    std::uint64_t maxBodyBytes = 262'144;
    std::uint32_t maxHeaderBytes = 16'384;
    /// Maximum memory of all requests that are being read or answered.
    std::size_t maxHeldBytes = SIZE_MAX;
    std::size_t maxConnections = SIZE_MAX;
    /// A connection is closed as idle if its next request has not arrived within this time.
    microseconds idleTimeout = 60 * second;
};

/// What a server has refused for lack of room.
struct server_refusals
{
    /// Requests that were dropped because others needed the memory.
    std::uint64_t forMemory = 0;
    /// Connections that were closed because others came.
    std::uint64_t forConnections = 0;
};

/// HTTP/1.1 server on one event loop. Each request is answered once, when its handler calls the
/// responder.
///
///     http_server server(loop, [](http_request request, auto respond) { respond({200}); });
///     server.listen("10.0.0.1:80");
///
/// Requests on one connection are handled one after another. If the memory for requests is used up,
/// the one that has been arriving longest is refused with 503, so that a request that arrives at
/// once is served beside any number that never end. If there are too many connections, one that
/// waits for a request is closed.
class http_server
{
public:
    using responder = std::function<void(http_response)>;
    using handler = std::function<void(http_request, responder)>;

    http_server(boost::asio::io_context &loop, handler handle, server_limits limits = {});
    ~http_server();

    /// Sets the function that is called with IP:PORT of each caller whose connection has closed.
    void onClose(std::function<void(const std::string &)> closeHandler);

    /// Attributes the events of each request to the duty that `dutyOf` returns for it.
    void measure(busy_meter &meter, std::function<duty(const http_request &)> dutyOf);

    /// Shares the memory for requests with others. The budget must outlive the server.
    void share(receive_budget &budget);

    /// Starts to listen on IP:PORT. Returns an empty text, or why the address cannot be used and
    /// what to do.
    std::string listen(const std::string &address);

    /// Closes each connection after its next answer. New connections are accepted until
    /// `closeIdle`.
    void drain();

    /// Stops accepting connections and closes the connections that wait for a request.
    void closeIdle();

    /// Returns the number of requests that have been read and not answered yet.
    std::size_t requestsInProgress() const;

    const server_refusals &refusals() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace bramleygrade::net
