#pragma once

#include <functional>
#include <memory>
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
    /// IP:PORT of the caller.
    std::string peer;
};

struct http_response
{
    int status = 200;
    header_list headers;
    std::string body;
    /// Released when a server has written the response or dropped it.
    std::shared_ptr<void> whileWritten = nullptr;
};

/// Limit of an answer's body for which no other is given; the users' store sends up to 1 MB of
/// rows, in base64 and JSON.
constexpr std::size_t maxAnswerBytes = 16U << 20U;

/// An outgoing request. It is abandoned at `deadline`, or at `completeBy` if the response is
/// arriving.
struct http_call
{
    /// IP:PORT; host names are not resolved.
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    header_list headers;
    std::string body;
    timestamp deadline = distantFuture;
    /// Whether the request may be sent again if a reused connection turns out to be closed.
    bool idempotent = false;
    /// Idle connections last used before this time are not reused.
    timestamp reuseConnectionsSince = distantPast;
    /// Idle connections opened after this time are not reused; they may lead to another process.
    timestamp connectedBefore = distantFuture;
    /// Whether the request may be sent on a new connection, which another process of the peer may
    /// accept; otherwise it is not sent if no connection is idle.
    bool mayConnect = true;
    /// Time until which a response that is arriving may be read, if it is after `deadline`. The
    /// call ends earlier if no further part arrives for a second.
    timestamp completeBy = distantPast;
    /// Called for each part of the response, with the bytes of the body so far. May be empty.
    std::function<void(std::size_t)> onPart = nullptr;
    /// A call whose answer has a larger body ends unanswered.
    std::size_t maxBodyBytes = maxAnswerBytes;
    /// The answers of these calls leave half of the client's budget to the others.
    bool sparesBudget = false;
};

enum class call_outcome {
    answered,
    not_sent, ///< no connection was established; the peer has received nothing
    unanswered, ///< sent at least in part; the peer may act on it, now or later
};

struct call_result
{
    call_outcome outcome = call_outcome::unanswered;
    int status = 0;
    std::string body;
    /// When the writing of the request began, on the connection that has carried the answer.
    timestamp writtenAt = distantPast;
    /// Bytes of the response's body that have arrived, also if the rest has not.
    std::size_t receivedBytes = 0;
};

/// Returns the value of the header, or an empty text; the case of `name` does not matter.
std::string findHeader(const header_list &headers, const std::string &name);

} // namespace bramleygrade::net
