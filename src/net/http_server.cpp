#include "net/http_server.h"

#include <optional>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "net/ip_endpoint.h"

namespace bramleygrade::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

struct session;

struct http_server::state
{
    asio::io_context &loop;
    handler handle;
    server_limits limits;
    tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    std::set<std::shared_ptr<session>> sessions;
    std::size_t inProgress = 0;
    bool draining = false;
    std::function<void(const std::string &)> closeHandler;
    busy_meter *meter = nullptr;
    std::function<duty(const http_request &)> dutyOf;
};

struct session : std::enable_shared_from_this<session>
{
    session(std::shared_ptr<http_server::state> owner, tcp::socket accepted)
        : server(std::move(owner))
        , socket(std::move(accepted))
        , idleTimer(server->loop)
    {
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto remote = socket.remote_endpoint(ignored);
        peer = remote.address().to_string() + ":" + std::to_string(remote.port());
    }

    void read()
    {
        parser.emplace();
        parser->body_limit(server->limits.maxBodyBytes);
        parser->header_limit(server->limits.maxHeaderBytes);
        idleTimer.expires_after(std::chrono::microseconds(server->limits.idleTimeout));
        idleTimer.async_wait([self = shared_from_this()](error_code error) {
            setDuty(self->server->meter, self->requestDuty);
            if (!error && !self->answering) {
                self->close();
            }
        });
        http::async_read(socket, buffer, *parser,
                         [self = shared_from_this()](error_code error, std::size_t) {
                             setDuty(self->server->meter, self->requestDuty);
                             self->idleTimer.cancel();
                             error ? self->refuse(error) : self->handle();
                         });
    }

    void refuse(error_code error)
    {
        int status = 0;
        if (error == http::error::body_limit) {
            status = 413;
        } else if (error == http::error::header_limit) {
            status = 431;
        } else if (error.category() == make_error_code(http::error::bad_method).category()
                   && error != http::error::end_of_stream
                   && error != http::error::partial_message) {
            status = 400;
        }
        if (status == 0) {
            close();
            return;
        }
        closing = true;
        answering = true;
        ++server->inProgress;
        respond({status, {}, ""});
    }

    void handle()
    {
        answering = true;
        ++server->inProgress;
        auto &message = parser->get();
        closing = !message.keep_alive();
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.host = std::string(message[http::field::host]);
        request.body = std::move(message.body());
        request.peer = peer;
        for (const auto &field : message) {
            request.headers.emplace_back(std::string(field.name_string()),
                                         std::string(field.value()));
        }
        if (server->meter != nullptr) {
            requestDuty = server->dutyOf(request);
            setDuty(server->meter, requestDuty);
            server->meter->of(requestDuty).bytesReceived += request.body.size();
        }
        server->handle(std::move(request), [weak = weak_from_this()](http_response response) {
            if (const auto self = weak.lock()) {
                self->respond(std::move(response));
            }
        });
    }

    void respond(http_response response)
    {
        if (!answering) {
            return;
        }
        const duty_scope scope(server->meter, requestDuty);
        if (server->meter != nullptr) {
            server->meter->of(requestDuty).bytesSent += response.body.size();
        }
        answering = false;
        --server->inProgress;
        closing = closing || server->draining;
        answer = {};
        answer.result(static_cast<unsigned>(response.status));
        answer.version(11);
        answer.keep_alive(!closing);
        for (const auto &[name, value] : response.headers) {
            answer.set(name, value);
        }
        answer.body() = std::move(response.body);
        answer.prepare_payload();
        writing = true;
        http::async_write(
            socket, answer,
            [self = shared_from_this(),
             whileWritten = std::move(response.whileWritten)](error_code error, std::size_t) {
                setDuty(self->server->meter, self->requestDuty);
                self->writing = false;
                error || self->closing ? self->close() : self->read();
            });
    }

    void close()
    {
        error_code ignored;
        socket.shutdown(tcp::socket::shutdown_both, ignored);
        socket.close(ignored);
        idleTimer.cancel();
        if (answering) {
            answering = false;
            --server->inProgress;
        }
        if (server->sessions.erase(shared_from_this()) > 0 && server->closeHandler) {
            server->closeHandler(peer);
        }
    }

    std::shared_ptr<http_server::state> server;
    tcp::socket socket;
    asio::steady_timer idleTimer;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> answer;
    std::string peer;
    /// Duty of the newest request.
    duty requestDuty = duty::other;
    bool answering = false;
    bool writing = false;
    bool closing = false;
};

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
                                             {}}))
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

} // namespace bramleygrade::net
