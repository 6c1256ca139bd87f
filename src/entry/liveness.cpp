#include "entry/liveness.h"

#include <array>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "entry/entry.h"
#include "entry/json_text.h"
#include "net/ip_endpoint.h"

namespace bramleygrade::entry {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t maxDatagramBytes = 512;
constexpr char queryText[] = "liveness";

std::optional<udp::endpoint> parseEndpoint(const std::string &address)
{
    const auto endpoint = net::parseIpEndpoint(address);
    return endpoint ? std::make_optional<udp::endpoint>(endpoint->host, endpoint->port)
                    : std::nullopt;
}

/// One query in progress.
struct liveness_query : std::enable_shared_from_this<liveness_query>
{
    liveness_query(asio::io_context &loop, timestamp limit,
                   std::function<void(std::optional<liveness_report>)> whenDone)
        : socket(loop)
        , timer(loop)
        , deadline(limit)
        , done(std::move(whenDone))
    {
    }

    void start(const std::string &address)
    {
        error_code error;
        const auto endpoint = parseEndpoint(address);
        if (endpoint) {
            socket.open(endpoint->protocol(), error);
        }
        if (endpoint && !error) {
            socket.connect(*endpoint, error);
        }
        if (!endpoint || error) {
            // Completes on the event loop, never within the caller.
            asio::post(socket.get_executor(),
                       [self = shared_from_this()] { self->finish(std::nullopt); });
            return;
        }
        receive();
        send();
        const microseconds left = std::max<microseconds>(deadline - steadyNow(), 2);
        timer.expires_after(std::chrono::microseconds(left / 2));
        timer.async_wait([self = shared_from_this(), left](error_code failed) {
            if (!failed) {
                self->send();
                self->armDeadline(left / 2);
            }
        });
    }

    void send()
    {
        error_code ignored; // a query that is not sent gets no answer
        socket.send(asio::buffer(queryText, sizeof(queryText) - 1), 0, ignored);
    }

    void armDeadline(microseconds left)
    {
        timer.expires_after(std::chrono::microseconds(left));
        timer.async_wait([self = shared_from_this()](error_code failed) {
            if (!failed) {
                self->finish(std::nullopt);
            }
        });
    }

    void receive()
    {
        socket.async_receive(
            asio::buffer(buffer), [self = shared_from_this()](error_code error, std::size_t size) {
                self->finish(error ? std::nullopt
                                   : decodeLiveness(std::string(self->buffer.data(), size)));
            });
    }

    void finish(const std::optional<liveness_report> &report)
    {
        if (finished) {
            return;
        }
        finished = true;
        timer.cancel();
        error_code ignored;
        socket.close(ignored);
        done(report);
    }

    udp::socket socket;
    asio::steady_timer timer;
    timestamp deadline = distantPast;
    std::function<void(std::optional<liveness_report>)> done;
    std::array<char, maxDatagramBytes> buffer {};
    bool finished = false;
};

} // namespace

struct liveness_responder::state : std::enable_shared_from_this<state>
{
    state(asio::io_context &loop, const loop_state &given)
        : socket(loop)
        , observed(given)
    {
    }

    void receive()
    {
        socket.async_receive_from(asio::buffer(buffer), sender,
                                  [self = shared_from_this()](error_code error, std::size_t size) {
                                      if (!self->socket.is_open()) {
                                          return;
                                      }
                                      if (!error) {
                                          self->answer(std::string(self->buffer.data(), size));
                                      }
                                      self->receive();
                                  });
    }

    void answer(const std::string &query)
    {
        if (query != queryText) {
            return;
        }
        const timestamp turnedAt = observed.turnedAt;
        const std::string text = encodeLiveness(
            {observed.leadingEpoch, turnedAt == distantPast ? 0 : steadyNow() - turnedAt});
        error_code ignored; // the query is repeated
        socket.send_to(asio::buffer(text), sender, 0, ignored);
    }

    udp::socket socket;
    const loop_state &observed;
    udp::endpoint sender;
    std::array<char, maxDatagramBytes> buffer {};
};

std::string encodeLiveness(const liveness_report &report)
{
    return writeObject([&](json_writer &out) {
        put(out, "leads", report.leadingEpoch);
        put(out, "blocked", report.blockedFor);
    });
}

std::optional<liveness_report> decodeLiveness(const std::string &text)
{
    rapidjson::Document document;
    if (!parseObject(text, document)) {
        return std::nullopt;
    }
    return liveness_report {integerField(document, "leads"), integerField(document, "blocked")};
}

liveness_responder::liveness_responder(asio::io_context &loop, const loop_state &observed)
    : m_state(std::make_shared<state>(loop, observed))
{
}

liveness_responder::~liveness_responder()
{
    error_code ignored;
    m_state->socket.close(ignored);
}

std::string liveness_responder::listen(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return "address '" + address + "' is not IP:PORT; give an IP address and a port";
    }
    error_code error;
    m_state->socket.open(endpoint->protocol(), error);
    if (!error) {
        m_state->socket.bind(*endpoint, error);
    }
    if (error) {
        return "cannot receive datagrams at " + address + ": " + error.message();
    }
    m_state->receive();
    return "";
}

void queryLiveness(asio::io_context &loop, const std::string &address, timestamp deadline,
                   std::function<void(std::optional<liveness_report>)> done)
{
    std::make_shared<liveness_query>(loop, deadline, std::move(done))->start(address);
}

} // namespace bramleygrade::entry
