#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "net/http_server.h"
#include "net/request_parser.h"

namespace bramleygrade::net {

struct session;

struct http_server::state
{
    boost::asio::io_context &loop;
    handler handle;
    server_limits limits;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
    std::set<std::shared_ptr<session>> sessions;
    std::size_t inProgress = 0;
    bool draining = false;
    std::function<void(const std::string &)> closeHandler;
    busy_meter *meter = nullptr;
    std::function<duty(const http_request &)> dutyOf;
    receive_budget budget;
    receive_budget *shared = nullptr;
    server_refusals refusals;
    /// Orders the sessions by the time since which they wait or receive.
    std::uint64_t newestTurn = 0;
};

/// A connection of a caller.
struct session : std::enable_shared_from_this<session>
{
    session(std::shared_ptr<http_server::state> owner, boost::asio::ip::tcp::socket accepted);

    /// Begins to read the next request.
    void read();

    void receive();

    void parse();

    /// Reserves `bytes` for this session in place of what it has. Drops the oldest requests if
    /// needed, this one among them; returns whether it is still there.
    bool hold(std::size_t bytes);

    bool reserveForServer(std::size_t bytes);

    void releaseForServer(std::size_t bytes);

    /// Returns the session with memory that has received its request, or has not read its answer,
    /// for longest; null if all are being answered.
    std::shared_ptr<session> oldestHolder() const;

    /// Gives the memory of this session to others. A request that is being read gets a refusal,
    /// which is true, as it has not been handled.
    void drop();

    /// Answers a request that has not been read in full, and closes the connection.
    void refuse(http_response response);

    void handle();

    void respond(http_response response);

    void close();

    std::shared_ptr<http_server::state> server;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer idleTimer;
    boost::beast::flat_buffer buffer;
    std::optional<request_parser> parser;
    boost::beast::http::response<boost::beast::http::string_body> answer;
    std::string peer;
    /// Duty of the newest request.
    duty requestDuty = duty::other;
    /// Bytes reserved for the request that is being read or answered.
    std::size_t held = 0;
    std::uint64_t turn = 0;
    bool hasAnswered = false;
    bool answering = false;
    bool writing = false;
    bool closing = false;
};

} // namespace bramleygrade::net
