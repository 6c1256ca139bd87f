#include "net/ip_endpoint.h"

#include <charconv>
#include <string>

namespace bramleygrade::net {

std::optional<ip_endpoint> parseIpEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    ip_endpoint endpoint;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, failure] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (failure != std::errc() || parsedEnd != end || endpoint.port == 0) {
        return std::nullopt;
    }
    boost::system::error_code error;
    endpoint.host = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    return error ? std::nullopt : std::make_optional(endpoint);
}

} // namespace bramleygrade::net
