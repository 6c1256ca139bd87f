#include "net/http_server.h"

#include "net/http_session.h"
#include "net/ip_endpoint.h"

namespace bramleygrade::net {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// Pause after a connection could not be accepted, as when the process has no descriptor left. The
/// connection still waits, so that the next attempt would fail at once.
constexpr microseconds acceptRetryDelay = 50 * millisecond;

void acceptNext(const std::shared_ptr<http_server::state> &server);

void acceptAfterPause(const std::shared_ptr<http_server::state> &server)
{
    server->acceptTimer.expires_after(std::chrono::microseconds(acceptRetryDelay));
    server->acceptTimer.async_wait([server](error_code) {
        if (server->acceptor.is_open()) {
            acceptNext(server);
        }
    });
}

/// Closes the connection that has waited longest for its first request or, if there is none, for
/// its next one or to be read. Returns whether there was one; those being answered stay.
bool closeOneFor(const std::shared_ptr<http_server::state> &server)
{
    ++server->refusals.forConnections;
    std::shared_ptr<session> oldest;
    const auto order = [](const session &one) {
        return std::make_pair(one.hasAnswered || one.writing, one.turn);
    };
    for (const auto &each : server->sessions) {
        if (!each->answering && (!oldest || order(*each) < order(*oldest))) {
            oldest = each;
        }
    }
    if (oldest) {
        oldest->close();
    }
    return oldest != nullptr;
}

void acceptNext(const std::shared_ptr<http_server::state> &server)
{
    server->acceptor.async_accept([server](error_code error, tcp::socket socket) {
        if (!server->acceptor.is_open()) {
            return;
        }
        if (error) {
            acceptAfterPause(server);
            return;
        }
        if (server->sessions.size() >= server->limits.maxConnections && !closeOneFor(server)) {
            acceptNext(server);
            return;
        }
        const auto newSession = std::make_shared<session>(server, std::move(socket));
        server->sessions.insert(newSession);
        newSession->read();
        acceptNext(server);
    });
}

} // namespace

http_server::http_server(asio::io_context &loop, handler handle, server_limits limits)
    : m_state(std::make_shared<state>(state {loop,
                                             std::move(handle),
                                             limits,
                                             tcp::acceptor(loop),
                                             asio::steady_timer(loop),
                                             {},
                                             0,
                                             false,
                                             {},
                                             nullptr,
                                             {},
                                             {limits.maxHeldBytes},
                                             nullptr,
                                             {},
                                             0}))
{
}

http_server::~http_server() = default;

void http_server::onClose(std::function<void(const std::string &)> closeHandler)
{
    m_state->closeHandler = std::move(closeHandler);
}

void http_server::measure(busy_meter &meter, std::function<duty(const http_request &)> dutyOf)
{
    m_state->meter = &meter;
    m_state->dutyOf = std::move(dutyOf);
}

void http_server::share(receive_budget &budget)
{
    m_state->shared = &budget;
}

std::string http_server::listen(const std::string &address)
{
    const auto endpoint = parseIpEndpoint(address);
    if (!endpoint) {
        return "address '" + address + "' is not IP:PORT; give an IP address and a port";
    }
    error_code error;
    tcp::acceptor &acceptor = m_state->acceptor;
    acceptor.open(tcp::v4(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(tcp::endpoint(endpoint->host, endpoint->port), error);
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return "cannot listen on " + address + ": " + error.message()
            + "; choose an address of this host and a free port";
    }
    acceptNext(m_state);
    return "";
}

void http_server::drain()
{
    m_state->draining = true;
}

void http_server::closeIdle()
{
    error_code ignored;
    m_state->acceptor.close(ignored);
    m_state->acceptTimer.cancel();
    const auto sessions = m_state->sessions;
    for (const auto &open : sessions) {
        if (!open->answering && !open->writing) {
            open->close();
        }
    }
}

std::size_t http_server::requestsInProgress() const
{
    return m_state->inProgress;
}

const server_refusals &http_server::refusals() const
{
    return m_state->refusals;
}

} // namespace bramleygrade::net
