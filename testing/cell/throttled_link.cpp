#include "testing/cell/throttled_link.h"

#include <algorithm>
#include <array>
#include <chrono>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace bramleygrade::testing {

namespace asio = boost::asio;
using boost::system::error_code;
using steady_clock = std::chrono::steady_clock;
using tcp = asio::ip::tcp;

struct throttled_link::state
{
    asio::io_context &loop;
    std::int64_t bytesPerSecond = 0;
    /// When the link has carried all that was handed to it.
    steady_clock::time_point idleAt;
    std::int64_t carriedBytes = 0;
    std::list<std::unique_ptr<tcp::acceptor>> acceptors;
};

namespace {

/// Size of the parts in which connections share the link.
constexpr std::size_t partBytes = 8'192;

/// One forwarded connection.
struct forwarded_connection : std::enable_shared_from_this<forwarded_connection>
{
    /// What one side has sent and the other side has not received yet.
    struct direction
    {
        tcp::socket &from;
        tcp::socket &to;
        asio::steady_timer delay;
        std::array<char, partBytes> part {};
        bool isLimited = false;
    };

    forwarded_connection(std::shared_ptr<throttled_link::state> owner, tcp::socket accepted,
                         limited_side side)
        : link(std::move(owner))
        , client(std::move(accepted))
        , target(link->loop)
        , toTarget {client,
                    target,
                    asio::steady_timer(link->loop),
                    {},
                    side == limited_side::to_target}
        , toClient {
              target, client, asio::steady_timer(link->loop), {}, side == limited_side::to_client}
    {
    }

    void read(direction &way)
    {
        way.from.async_read_some(
            asio::buffer(way.part),
            [self = shared_from_this(), &way](error_code error, std::size_t size) {
                error ? self->close() : self->carry(way, size);
            });
    }

    void carry(direction &way, std::size_t size)
    {
        if (!way.isLimited) {
            write(way, size);
            return;
        }
        const auto duration = std::chrono::microseconds(static_cast<std::int64_t>(size) * second
                                                        / link->bytesPerSecond);
        link->idleAt = std::max(link->idleAt, steady_clock::now()) + duration;
        link->carriedBytes += static_cast<std::int64_t>(size);
        way.delay.expires_at(link->idleAt);
        way.delay.async_wait([self = shared_from_this(), &way, size](error_code error) {
            error ? self->close() : self->write(way, size);
        });
    }

    void write(direction &way, std::size_t size)
    {
        asio::async_write(way.to, asio::buffer(way.part.data(), size),
                          [self = shared_from_this(), &way](error_code error, std::size_t) {
                              error ? self->close() : self->read(way);
                          });
    }

    void close()
    {
        error_code ignored;
        client.close(ignored);
        target.close(ignored);
        toTarget.delay.cancel();
        toClient.delay.cancel();
    }

    std::shared_ptr<throttled_link::state> link;
    tcp::socket client;
    tcp::socket target;
    direction toTarget;
    direction toClient;
};

tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

void acceptNext(const std::shared_ptr<throttled_link::state> &link, tcp::acceptor &acceptor,
                const tcp::endpoint &target, limited_side side)
{
    acceptor.async_accept([link, &acceptor, target, side](error_code error, tcp::socket accepted) {
        if (error) {
            return;
        }
        const auto forwarded =
            std::make_shared<forwarded_connection>(link, std::move(accepted), side);
        forwarded->target.async_connect(target, [forwarded](error_code failed) {
            if (failed) {
                forwarded->close();
                return;
            }
            error_code ignored;
            forwarded->target.set_option(tcp::no_delay(true), ignored);
            forwarded->client.set_option(tcp::no_delay(true), ignored);
            forwarded->read(forwarded->toTarget);
            forwarded->read(forwarded->toClient);
        });
        acceptNext(link, acceptor, target, side);
    });
}

} // namespace

throttled_link::throttled_link(asio::io_context &loop, std::int64_t bytesPerSecond)
    : m_state(std::make_shared<state>(state {loop, bytesPerSecond, {}, 0, {}}))
{
}

void throttled_link::forward(const std::string &address, const std::string &target,
                             limited_side side)
{
    m_state->acceptors.push_back(
        std::make_unique<tcp::acceptor>(m_state->loop, endpointOf(address)));
    acceptNext(m_state, *m_state->acceptors.back(), endpointOf(target), side);
}

std::int64_t throttled_link::carriedBytes() const
{
    return m_state->carriedBytes;
}

} // namespace bramleygrade::testing
