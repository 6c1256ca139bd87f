#include "peer_links.h"

#include <array>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/ip_endpoint.h"
#include "record.h"

namespace bramleygrade::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

/// Longer than the entries wait for each other.
constexpr microseconds forwardTimeout = 11 * second;
/// Longer than any caller waits for an answer.
constexpr microseconds abandonedFor = 12 * second;
constexpr std::size_t maxDatagramBytes = 2'048;

udp::endpoint parseUdp(const std::string &address)
{
    const auto endpoint = net::parseIpEndpoint(address);
    return {endpoint->host, endpoint->port};
}

} // namespace

void abandonCall(asio::io_context &loop, const net::http_server::responder &respond)
{
    const auto timer = std::make_shared<asio::steady_timer>(loop);
    timer->expires_after(std::chrono::microseconds(abandonedFor));
    timer->async_wait([timer, respond](error_code) { respond({503, {}, ""}); });
}

net::http_server::responder makeLostResponder(asio::io_context &loop,
                                              const net::http_server::responder &respond)
{
    return [&loop, respond](const net::http_response &) { abandonCall(loop, respond); };
}

/// Passes datagrams on to an entry, and its answers back.
struct peer_links::datagram_forwarder : std::enable_shared_from_this<datagram_forwarder>
{
    datagram_forwarder(asio::io_context &loop, const std::string &seen, const std::string &real,
                       const peer_link &given)
        : front(loop, parseUdp(seen))
        , back(loop, udp::endpoint(asio::ip::address_v4::loopback(), 0))
        , target(parseUdp(real))
        , link(given)
    {
    }

    void receiveQueries()
    {
        front.async_receive_from(asio::buffer(query), sender,
                                 [self = shared_from_this()](error_code error, std::size_t size) {
                                     if (!self->front.is_open()) {
                                         return;
                                     }
                                     error_code ignored;
                                     if (!error && self->link.cuts == 0) {
                                         self->back.send_to(asio::buffer(self->query, size),
                                                            self->target, 0, ignored);
                                     }
                                     self->receiveQueries();
                                 });
    }

    void receiveAnswers()
    {
        back.async_receive(
            asio::buffer(answer), [self = shared_from_this()](error_code error, std::size_t size) {
                if (!self->back.is_open()) {
                    return;
                }
                error_code ignored;
                if (!error && self->link.cuts == 0 && self->link.lostAnswers == 0) {
                    self->front.send_to(asio::buffer(self->answer, size), self->sender, 0, ignored);
                }
                self->receiveAnswers();
            });
    }

    udp::socket front;
    udp::socket back;
    udp::endpoint target;
    udp::endpoint sender;
    const peer_link &link;
    std::array<char, maxDatagramBytes> query {};
    std::array<char, maxDatagramBytes> answer {};
};

peer_links::peer_links(asio::io_context &loop, std::vector<std::string> real,
                       std::vector<std::vector<std::string>> seen)
    : m_loop(loop)
    , m_real(std::move(real))
    , m_seen(std::move(seen))
    , m_links(m_real.size(), std::vector<peer_link>(m_real.size()))
    , m_client(loop, steadyNow)
{
    for (std::size_t entry = 0; entry < size(); ++entry) {
        m_targets.emplace_back();
        for (std::size_t viewer = 0; viewer < size(); ++viewer) {
            m_targets.back().push_back(viewer == entry ? m_real[entry] : m_seen[viewer][entry]);
        }
    }
}

peer_links::~peer_links()
{
    for (const auto &forwarder : m_forwarders) {
        error_code ignored;
        forwarder->front.close(ignored);
        forwarder->back.close(ignored);
    }
}

std::string peer_links::start()
{
    std::string error;
    for (std::size_t from = 0; from < size(); ++from) {
        for (std::size_t to = 0; to < size() && error.empty(); ++to) {
            if (from == to) {
                continue;
            }
            m_servers.push_back(std::make_unique<net::http_server>(
                m_loop,
                [this, from, to](const net::http_request &request,
                                 const net::http_server::responder &respond) {
                    forward(from, to, request, respond);
                },
                net::server_limits {16'000'000, 16'384, 3'600 * second}));
            error = m_servers.back()->listen(m_seen[from][to]);
            m_forwarders.push_back(std::make_shared<datagram_forwarder>(
                m_loop, m_seen[from][to], m_real[to], m_links[from][to]));
            m_forwarders.back()->receiveQueries();
            m_forwarders.back()->receiveAnswers();
        }
    }
    return error;
}

std::string peer_links::translate(std::string text, std::size_t from, std::size_t to) const
{
    // All addresses have the same length, so that none is part of another one.
    std::map<std::size_t, const std::string *> found;
    for (const std::vector<std::string> &target : m_targets) {
        const std::string &address = target[from];
        for (std::size_t at = text.find(address); at != std::string::npos;
             at = text.find(address, at + 1)) {
            found[at] = &target[to];
        }
    }
    for (const auto &[at, address] : found) {
        text.replace(at, address->size(), *address);
    }
    return text;
}

void peer_links::forward(std::size_t from, std::size_t to, const net::http_request &request,
                         const net::http_server::responder &respond)
{
    const peer_link &link = m_links[from][to];
    if (link.cuts > 0) {
        abandonCall(m_loop, respond);
        return;
    }
    net::http_call call;
    call.address = m_real[to];
    call.method = request.method;
    call.target = request.target;
    call.body = translate(request.body, from, to);
    call.deadline = steadyNow() + forwardTimeout + link.delay;
    const auto timer = std::make_shared<asio::steady_timer>(m_loop);
    timer->expires_after(std::chrono::microseconds(link.delay));
    timer->async_wait([this, timer, from, to, call, respond](error_code error) {
        if (error) {
            return;
        }
        m_client.send(call, [this, from, to, respond](const net::call_result &result) {
            const peer_link &now = m_links[from][to];
            if (result.outcome == net::call_outcome::answered && now.cuts == 0
                && now.lostAnswers == 0) {
                respond({result.status,
                         {{"Content-Type", "application/json"}},
                         translate(result.body, to, from)});
            } else {
                abandonCall(m_loop, respond);
            }
        });
    });
}

} // namespace bramleygrade::soak
