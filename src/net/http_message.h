#pragma once

#include <string>
#include <utility>
#include <vector>

#include "bramleygrade/values.h"

namespace bramleygrade::net {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// A request that a server has read in full.
struct http_request
{
    std::string method;
    /// Path and query as sent.
    std::string target;
    std::string host;
    header_list headers;
    std::string body;
    /// HOST:PORT of the caller.
    std::string peer;
};

struct http_response
{
    int status = 200;
    header_list headers;
    std::string body;
};

/// A call to be made; it is given up at `deadline`.
struct http_call
{
    /// HOST:PORT, by number.
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    header_list headers;
    std::string body;
    timestamp deadline = distantFuture;
    /// May be sent again when a kept connection turns out to be closed.
    bool idempotent = false;
};

enum class call_outcome {
    answered,
    not_sent, ///< no connection could be made; the other side has seen nothing
    unanswered, ///< sent, or partly sent; the other side may act on it, now or later
};

struct call_result
{
    call_outcome outcome = call_outcome::unanswered;
    int status = 0;
    std::string body;
};

/// The value of the header, or an empty text.
std::string findHeader(const header_list &headers, const std::string &name);

} // namespace bramleygrade::net
