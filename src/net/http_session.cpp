#include "net/http_session.h"

#include <algorithm>

#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http.hpp>

namespace bramleygrade::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// Room for what stands between and behind the chunks of a body, beyond the size of a header.
constexpr std::size_t framingBytes = 4'096;
/// Size up to which the buffer of a connection is kept between its requests.
constexpr std::size_t keptBufferBytes = 4'096;
constexpr std::size_t maxReadBytes = 65'536;

int statusOf(error_code error)
{
    if (error == http::error::body_limit) {
        return 413;
    }
    return error == http::error::header_limit ? 431 : 400;
}

} // namespace

session::session(std::shared_ptr<http_server::state> owner, tcp::socket accepted)
    : server(std::move(owner))
    , socket(std::move(accepted))
    , idleTimer(server->loop)
    , buffer(server->limits.maxHeaderBytes + framingBytes)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto remote = socket.remote_endpoint(ignored);
    peer = remote.address().to_string() + ":" + std::to_string(remote.port());
}

void session::read()
{
    parser.emplace(server->limits.maxBodyBytes, server->limits.maxHeaderBytes);
    turn = ++server->newestTurn;
    idleTimer.expires_after(std::chrono::microseconds(server->limits.idleTimeout));
    idleTimer.async_wait([self = shared_from_this()](error_code error) {
        setDuty(self->server->meter, self->requestDuty);
        if (!error && !self->answering) {
            self->close();
        }
    });
    if (buffer.size() > 0) {
        parse();
        return;
    }
    if (buffer.capacity() > keptBufferBytes) {
        buffer.shrink_to_fit();
    }
    hold(0);
    receive();
}

void session::receive()
{
    const std::size_t size = boost::beast::read_size(buffer, maxReadBytes);
    if (size == 0) {
        refuse({431, {}, ""});
        return;
    }
    socket.async_read_some(buffer.prepare(size),
                           [self = shared_from_this()](error_code error, std::size_t bytes) {
                               setDuty(self->server->meter, self->requestDuty);
                               if (self->answering || self->closing) {
                                   return; // refused meanwhile
                               }
                               if (error) {
                                   self->close();
                                   return;
                               }
                               self->buffer.commit(bytes);
                               self->parse();
                           });
}

void session::parse()
{
    error_code error;
    while (buffer.size() > 0 && !parser->is_done() && !error) {
        buffer.consume(parser->put(buffer.data(), error));
    }
    if (error && error != http::error::need_more) {
        refuse({statusOf(error), {}, ""});
    } else if (hold(buffer.capacity() + parser->heldBytes())) {
        parser->is_done() ? handle() : receive();
    }
}

bool session::hold(std::size_t bytes)
{
    if (bytes > held) {
        if (held == 0) {
            turn = ++server->newestTurn;
        }
        while (!reserveForServer(bytes - held)) {
            const auto oldest = oldestHolder();
            const bool isThis = oldest == nullptr || oldest.get() == this;
            (isThis ? shared_from_this() : oldest)->drop();
            if (isThis) {
                return false;
            }
        }
    } else if (bytes < held) {
        releaseForServer(held - bytes);
    }
    held = bytes;
    return true;
}

bool session::reserveForServer(std::size_t bytes)
{
    if (!reserve(server->budget, bytes)) {
        return false;
    }
    if (server->shared != nullptr && !reserve(*server->shared, bytes)) {
        release(server->budget, bytes);
        return false;
    }
    return true;
}

void session::releaseForServer(std::size_t bytes)
{
    release(server->budget, bytes);
    if (server->shared != nullptr) {
        release(*server->shared, bytes);
    }
}

std::shared_ptr<session> session::oldestHolder() const
{
    std::shared_ptr<session> oldest;
    for (const auto &each : server->sessions) {
        if (each->held > 0 && !each->answering && (!oldest || each->turn < oldest->turn)) {
            oldest = each;
        }
    }
    return oldest;
}

void session::drop()
{
    ++server->refusals.forMemory;
    if (writing) {
        close();
    } else {
        refuse({503, {{"Retry-After", "1"}}, ""});
    }
}

void session::refuse(http_response response)
{
    error_code ignored;
    socket.cancel(ignored); // the read into the buffer ends before the buffer does
    idleTimer.cancel();
    closing = true;
    parser.reset();
    buffer.clear();
    buffer.shrink_to_fit();
    hold(0);
    answering = true;
    ++server->inProgress;
    respond(std::move(response));
}

void session::handle()
{
    idleTimer.cancel();
    answering = true;
    ++server->inProgress;
    closing = !parser->keep_alive();
    http_request request = std::move(parser->request);
    parser.reset();
    request.peer = peer;
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

void session::respond(http_response response)
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
    turn = ++server->newestTurn;
    hold(std::min(held, buffer.capacity()));
    http::async_write(socket, answer,
                      [self = shared_from_this(), whileWritten = std::move(response.whileWritten)](
                          error_code error, std::size_t) {
                          setDuty(self->server->meter, self->requestDuty);
                          self->writing = false;
                          self->hasAnswered = true;
                          error || self->closing ? self->close() : self->read();
                      });
}

void session::close()
{
    error_code ignored;
    socket.shutdown(tcp::socket::shutdown_both, ignored);
    socket.close(ignored);
    idleTimer.cancel();
    closing = true;
    hold(0);
    if (answering) {
        answering = false;
        --server->inProgress;
    }
    if (server->sessions.erase(shared_from_this()) > 0 && server->closeHandler) {
        server->closeHandler(peer);
    }
}

} // namespace bramleygrade::net
