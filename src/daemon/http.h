#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <httplib.h>

#include "absl/synchronization/mutex.h"
#include "bramleygrade/values.h"

/// \file
/// Small helpers over cpp-httplib that every duty shares.

namespace bramleygrade {

/// How an HTTP call ended, as far as the caller's promises depend on it.
enum class http_delivery {
    answered,
    /// No byte of the request can have reached the other side.
    unsent,
    /// Some of it may have.
    lost
};

struct http_result
{
    http_delivery end = http_delivery::unsent;
    int status = 0;
    std::string body;
    bool isLeaving = false;
    /// Version of the content, where the other side names one.
    std::string entityTag;
};

/// Connections to one address that are kept open between calls.
///
/// A call that times out has found a connection that went silent: all idle connections to that
/// address are then dropped, since whatever lost track of one may have lost track of all.
class connection_pool
{
public:
    /// Posts `body`. The connection must open within `connectLimit`, and the whole answer must come
    /// by `deadline`; `startBy` is checked at the last moment before bytes leave.
    http_result post(const std::string &host, int port, const std::string &path,
                     const httplib::Headers &headers, const std::string &body, timestamp startBy,
                     timestamp deadline);

    std::size_t idleConnectionCount() const;

private:
    struct idle_connection
    {
        std::unique_ptr<httplib::Client> client;
        timestamp reusableUntil = 0;
    };

    std::unique_ptr<httplib::Client> take(const std::string &address);
    void giveBack(const std::string &address, std::unique_ptr<httplib::Client> client);

    mutable absl::Mutex m_mutex;
    std::map<std::string, std::vector<idle_connection>> m_idle;
};

/// Header by which peers and operators show the key of the cell.
constexpr char cellKeyHeader[] = "Bramley-Cell-Key";

/// Compares in time that does not depend on the content.
bool isEqualInConstantTime(const std::string &left, const std::string &right);

/// Settings that every server of the daemon has: limits on size, headers and time.
void configureServer(httplib::Server &server, std::size_t threads);

} // namespace bramleygrade
