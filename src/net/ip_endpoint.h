#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/address.hpp>

namespace bramleygrade::net {

struct ip_endpoint
{
    boost::asio::ip::address host;
    unsigned short port = 0;
};

/// Parses IP:PORT, with a port from 1 to 65535 in decimal digits only. Returns nothing if the text
/// has another form.
std::optional<ip_endpoint> parseIpEndpoint(std::string_view text);

} // namespace bramleygrade::net
