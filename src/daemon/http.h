#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <httplib.h>

#include "absl/synchronization/mutex.h"
#include "bramleygrade/values.h"
#include "daemon/bounded_client.h"

/// \file
/// HTTP client and server helpers on cpp-httplib, shared by all parts of the daemon.

namespace bramleygrade {

/// Whether the request of an HTTP call reached the server; decides whether a retry is safe.
enum class http_delivery {
    /// A response was received.
    answered,
    /// No byte of the request can have reached the server.
    unsent,
    /// No response was received; the server may have received the request.
    lost
};

struct http_result
{
    http_delivery delivery = http_delivery::unsent;
    int status = 0;
    std::string body;
    /// The server reports that it is shutting down.
    bool isLeaving = false;
    /// ETag of the response; empty when it has none.
    std::string entityTag;
};

/// Pool of HTTP connections that are kept open between calls, grouped by address. Thread-safe.
///
/// A call that fails or times out closes all idle connections to its address, since the fault that
/// broke one connection may have broken the others.
class connection_pool
{
public:
    /// Sends a POST request with `body`. The connection must open within 1 s, and the
    /// complete response must arrive by `deadline`. Nothing is sent when `startBy` has passed; it
    /// is checked immediately before sending.
    http_result post(const std::string &host, int port, const std::string &path,
                     const httplib::Headers &headers, const std::string &body, timestamp startBy,
                     timestamp deadline);

    std::size_t idleConnectionCount() const;

private:
    struct idle_connection
    {
        std::unique_ptr<bounded_client> client;
        timestamp reusableUntil = 0;
    };

    std::unique_ptr<bounded_client> acquire(const std::string &address);
    void release(const std::string &address, std::unique_ptr<bounded_client> client);

    mutable absl::Mutex m_mutex;
    std::map<std::string, std::vector<idle_connection>> m_idle;
};

/// Header with the shared key of the cell, which authenticates peers and operators.
constexpr char cellKeyHeader[] = "Bramley-Cell-Key";

/// Compares two secrets in a time that does not depend on the position of a difference.
bool isEqualInConstantTime(const std::string &left, const std::string &right);

/// Sets the size and time limits that all servers of the daemon share, and the thread count.
void configureServer(httplib::Server &server, std::size_t threads);

} // namespace bramleygrade
