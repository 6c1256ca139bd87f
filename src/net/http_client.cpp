#include "net/http_client.h"

#include <algorithm>
#include <iterator>
#include <optional>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include "net/client_connections.h"
#include "net/ip_endpoint.h"

namespace bramleygrade::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// Maximum size of the head of a response.
constexpr std::uint32_t maxHeadBytes = 16'384;
/// A byte of the head may take this many bytes of memory, if its fields are short.
constexpr std::size_t headWeight = 32;
/// Maximum number of bytes around the body, beyond one for each byte of it.
constexpr std::size_t maxFramingBytes = 65'536;
/// Time without a further part after which a response that has begun counts as cut off. A slow link
/// that is full delays a part by up to half a second.
constexpr microseconds maxResponsePause = 1 * second;
/// Reads of a large response take up to this many bytes. The buffer shrinks with its end, as there
/// may be thousands of connections.
constexpr std::size_t largeReadBytes = 16'384;
/// Maximum number of idle connections per address.
constexpr std::size_t maxIdlePerAddress = 16;

std::optional<tcp::endpoint> parseEndpoint(const std::string &address)
{
    const auto endpoint = parseIpEndpoint(address);
    return endpoint ? std::make_optional<tcp::endpoint>(endpoint->host, endpoint->port)
                    : std::nullopt;
}

/// One call in progress.
struct exchange : std::enable_shared_from_this<exchange>
{
    exchange(std::shared_ptr<http_client::state> owner, http_call request,
             http_client::completion whenDone)
        : client(std::move(owner))
        , call(std::move(request))
        , done(std::move(whenDone))
        , timer(client->loop)
    {
        if (client->meter != nullptr) {
            callDuty = client->meter->current;
            client->meter->of(callDuty).bytesSent += call.body.size();
        }
    }

    ~exchange() { releaseHeld(); }
    exchange(const exchange &) = delete;
    exchange &operator=(const exchange &) = delete;

    void start()
    {
        prepare();
        armTimer(call.deadline);
        auto &idleConnections = client->idle[call.address];
        while (!idleConnections.empty()
               && idleConnections.back()->usedAt < call.reuseConnectionsSince) {
            takeIdle(*client, idleConnections, std::prev(idleConnections.end()));
        }
        const auto usable =
            std::find_if(idleConnections.rbegin(), idleConnections.rend(),
                         [&](const auto &idle) { return idle->openedAt <= call.connectedBefore; });
        if (usable != idleConnections.rend()) {
            conn = takeIdle(*client, idleConnections, std::next(usable).base());
            reused = true;
            write();
            return;
        }
        if (!call.mayConnect) {
            finish({call_outcome::not_sent, 0, ""});
            return;
        }
        connect();
    }

    void prepare()
    {
        message.method_string(call.method);
        message.target(call.target);
        message.version(11);
        message.set(http::field::host, call.address);
        for (const auto &[name, value] : call.headers) {
            message.set(name, value);
        }
        message.body() = std::move(call.body);
        message.prepare_payload();
    }

    /// Returns when the call ends unless a further part of the response arrives.
    timestamp endOfCall() const
    {
        return partAt == distantPast
            ? call.deadline
            : std::max(call.deadline, std::min(call.completeBy, partAt + maxResponsePause));
    }

    void armTimer(timestamp at)
    {
        const microseconds left = std::max<microseconds>(at - client->now(), 1);
        timer.expires_after(std::chrono::microseconds(std::min(left, 3'600 * second)));
        timer.async_wait([self = shared_from_this(), at](error_code error) {
            setDuty(self->client->meter, self->callDuty);
            if (error || self->finished) {
                return;
            }
            const timestamp end = self->endOfCall();
            if (end > at) {
                self->armTimer(end);
                return;
            }
            self->finish({self->sent ? call_outcome::unanswered : call_outcome::not_sent, 0, ""});
        });
    }

    void connect()
    {
        const auto endpoint = parseEndpoint(call.address);
        if (!endpoint) {
            finish({call_outcome::not_sent, 0, ""});
            return;
        }
        ++client->opened;
        reused = false;
        makeRoom(*client);
        conn = std::make_shared<connection>(client->loop, call.address, client->openCount);
        conn->socket.async_connect(*endpoint, [self = shared_from_this()](error_code error) {
            setDuty(self->client->meter, self->callDuty);
            if (self->finished) {
                return;
            }
            if (error) {
                self->finish({call_outcome::not_sent, 0, ""});
                return;
            }
            self->conn->openedAt = self->client->now();
            error_code ignored;
            self->conn->socket.set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void write()
    {
        // The process may have been paused while the connection was being established. The timer
        // may not have run yet.
        writtenAt = client->now();
        if (writtenAt >= call.deadline) {
            finish({sent ? call_outcome::unanswered : call_outcome::not_sent, 0, ""});
            return;
        }
        sent = true;
        http::async_write(conn->socket, message,
                          [self = shared_from_this()](error_code error, std::size_t) {
                              setDuty(self->client->meter, self->callDuty);
                              if (!self->finished) {
                                  error ? self->retryOrFail() : self->read();
                              }
                          });
    }

    void read()
    {
        parser.emplace();
        parser->header_limit(maxHeadBytes);
        parser->body_limit(call.maxBodyBytes);
        releaseHeld();
        consumed = 0;
        parser->eager(true);
        partAt = distantPast;
        readPart();
    }

    void readPart()
    {
        if (parser->is_header_done()
            && parser->content_length_remaining().value_or(0) > largeReadBytes) {
            conn->buffer.reserve(largeReadBytes);
        }
        http::async_read_some(conn->socket, conn->buffer, *parser,
                              [self = shared_from_this()](error_code error, std::size_t size) {
                                  setDuty(self->client->meter, self->callDuty);
                                  if (!self->finished) {
                                      self->consumed += size;
                                      error ? self->handleReadError(error) : self->handlePart();
                                  }
                              });
    }

    /// An answer beyond a limit is not asked for again.
    void handleReadError(error_code error)
    {
        const bool isBeyondLimit = error == http::error::body_limit
            || error == http::error::header_limit || error == http::error::buffer_overflow;
        isBeyondLimit ? endBeyondLimit() : retryOrFail();
    }

    void endBeyondLimit()
    {
        ++client->beyondLimits;
        finish({call_outcome::unanswered, 0, ""});
    }

    /// Adds what has arrived to the budget; returns false if it exceeds a limit.
    bool hold()
    {
        const std::size_t body = parser->get().body().size();
        if (consumed > maxFramingBytes + 2 * body) {
            return false;
        }
        receive_budget *const budget = client->budget;
        const std::size_t framing = consumed > body ? consumed - body : 0;
        const std::size_t wanted =
            body + conn->buffer.size() + headWeight * std::min<std::size_t>(framing, maxHeadBytes);
        if (budget == nullptr || wanted <= held) {
            return true;
        }
        const std::size_t more = wanted - held;
        if (call.sparesBudget && budget->used + more > budget->limit / 2) {
            ++budget->refused;
            return false;
        }
        if (!reserve(*budget, more)) {
            return false;
        }
        held = wanted;
        return true;
    }

    void releaseHeld()
    {
        if (client->budget != nullptr) {
            release(*client->budget, held);
        }
        held = 0;
    }

    void handlePart()
    {
        if (!hold()) {
            endBeyondLimit();
            return;
        }
        if (parser->is_done()) {
            handleResponse();
            return;
        }
        partAt = client->now();
        if (call.onPart) {
            call.onPart(parser->get().body().size());
        }
        readPart();
    }

    /// Retries an idempotent call on a new connection if it was sent on a reused one, which the
    /// peer may have closed while it was idle; otherwise ends the call.
    void retryOrFail()
    {
        if (reused && call.idempotent && call.mayConnect) {
            conn.reset();
            connect();
            return;
        }
        finish({call_outcome::unanswered, 0, ""});
    }

    void handleResponse()
    {
        auto &idleConnections = client->idle[call.address];
        // What follows an answer without a request is not the answer to the next one.
        if (parser->get().keep_alive() && conn->buffer.size() == 0
            && idleConnections.size() < maxIdlePerAddress) {
            conn->usedAt = client->now();
            conn->buffer.shrink_to_fit();
            putIdle(*client, conn);
        }
        auto &response = parser->get();
        if (client->meter != nullptr) {
            client->meter->of(callDuty).bytesReceived += response.body().size();
        }
        call_result result {call_outcome::answered, static_cast<int>(response.result_int()),
                            std::move(response.body()), writtenAt};
        result.receivedBytes = result.body.size();
        conn.reset();
        finish(std::move(result));
    }

    void finish(call_result result)
    {
        if (finished) {
            return;
        }
        finished = true;
        timer.cancel();
        if (result.outcome == call_outcome::unanswered && parser) {
            result.receivedBytes = parser->get().body().size();
        }
        if (conn) {
            error_code ignored;
            conn->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            conn->socket.close(ignored);
        }
        done(std::move(result));
    }

    std::shared_ptr<http_client::state> client;
    http_call call;
    http_client::completion done;
    asio::steady_timer timer;
    std::shared_ptr<connection> conn;
    http::request<http::string_body> message;
    std::optional<http::response_parser<http::string_body>> parser;
    duty callDuty = duty::other;
    /// Bytes of the response that the parser has taken, with the head and what is between chunks.
    std::size_t consumed = 0;
    /// Bytes reserved in the client's budget.
    std::size_t held = 0;
    timestamp writtenAt = distantPast;
    /// When the newest part of an incomplete response arrived.
    timestamp partAt = distantPast;
    bool reused = false;
    bool sent = false;
    bool finished = false;
};

} // namespace

std::string findHeader(const header_list &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (boost::beast::iequals(key, name)) {
            return value;
        }
    }
    return "";
}

http_client::http_client(asio::io_context &loop, clock_function now, busy_meter *meter)
    : m_state(std::make_shared<state>(state {loop, now, {}, {}}))
{
    m_state->meter = meter;
}

http_client::~http_client() = default;

std::uint64_t http_client::connectionsOpened() const
{
    return m_state->opened;
}

void http_client::limitConnections(std::size_t most)
{
    m_state->mostOpen = most;
}

void http_client::limitReceived(receive_budget *budget)
{
    m_state->budget = budget;
}

std::uint64_t http_client::answersBeyondLimits() const
{
    return m_state->beyondLimits;
}

void http_client::send(http_call call, completion done)
{
    std::make_shared<exchange>(m_state, std::move(call), std::move(done))->start();
}

} // namespace bramleygrade::net
