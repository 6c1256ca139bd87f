#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "net/http_message.h"

namespace bramleygrade::net {

/// Limits on what callers send and how long they may take.
struct server_limits
{
    std::uint64_t maxBodyBytes = 262'144;
    std::uint32_t maxHeaderBytes = 16'384;
    /// An idle connection is closed after this.
    microseconds idleTimeout = 60 * second;
};

/// Serves HTTP/1.1 on one event loop; each request is answered once, when its handler says so.
///
///     http_server server(loop, [](http_request request, auto respond) { respond({200}); });
///     server.listen("10.0.0.1:80");
///
/// Requests on one connection are handled one after another.
class http_server
{
public:
    using responder = std::function<void(http_response)>;
    using handler = std::function<void(http_request, responder)>;

    http_server(boost::asio::io_context &loop, handler handle, server_limits limits = {});
    ~http_server();

    /// Called with HOST:PORT of each caller whose connection has ended.
    void onClose(std::function<void(const std::string &)> closed);

    /// Returns an empty text, or why the address cannot be used and what to do.
    std::string listen(const std::string &address);

    /// Accepts nothing more and closes each connection after its answer.
    void drain();

    /// Closes connections that wait for a request.
    void closeIdle();

    /// Requests that have been read and not answered.
    std::size_t requestsInProgress() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace bramleygrade::net
