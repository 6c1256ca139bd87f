#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "bramleygrade/values.h"

namespace bramleygrade::testing {

/// Which side of a forwarded connection the link limits.
enum class limited_side {
    to_client, ///< what the target sends
    to_target, ///< what the client sends
};

/// A network link of limited bandwidth on the loopback interface: a TCP proxy whose connections
/// share the bandwidth of one direction. The other direction is not limited.
///
///     throttled_link link(loop, 1'250'000);
///     link.forward("127.0.0.1:9001", storeAddress, limited_side::to_client);
class throttled_link
{
public:
    throttled_link(boost::asio::io_context &loop, std::int64_t bytesPerSecond);

    /// Accepts connections at `address` and forwards each to `target`.
    void forward(const std::string &address, const std::string &target, limited_side side);

    /// Returns the number of bytes that the link has carried in its limited direction.
    std::int64_t carriedBytes() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace bramleygrade::testing
