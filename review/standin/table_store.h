#pragma once

#include <deque>
#include <map>
#include <tuple>

#include <boost/asio/io_context.hpp>

#include "net/http_server.h"

/// \file
/// Stand-in for the platform's table service, as PROTOCOL.md describes it.

namespace bramleygrade::review {

struct stored_row
{
    std::string table;
    std::string part;
    std::string key;
    /// Base64.
    std::string value;
    std::int64_t version = 0;
    bool removed = false;
};

class table_store
{
public:
    explicit table_store(boost::asio::io_context &loop);

    /// Returns an empty text or why the address cannot be used.
    std::string listen(const std::string &address);

    /// Writes a row of the tables that the system may only read.
    void put(const std::string &table, const std::string &key, const std::string &text);
    void remove(const std::string &table, const std::string &key);

    /// Number of transactions that were refused because they broke a limit of the service.
    int refusedTransactions() const { return m_refused; }

private:
    using row_key = std::tuple<std::string, std::string, std::string>;
    using responder = net::http_server::responder;

    struct feed_waiter
    {
        std::string table;
        std::int64_t after = 0;
        timestamp expiresAt = 0;
        responder respond;
    };

    void serve(const net::http_request &request, const responder &respond);
    void transact(const std::string &body, const responder &respond);
    void read(const std::string &target, const responder &respond);
    void feed(const std::string &target, const responder &respond);
    bool answerFeed(const feed_waiter &waiter, bool evenIfEmpty);
    void apply(const stored_row &row);
    void notifyFeeds();
    void answerLater(microseconds delay, const std::function<void()> &run);
    std::string tail() const;

    boost::asio::io_context &m_loop;
    net::http_server m_server;
    std::map<row_key, stored_row> m_rows;
    std::deque<stored_row> m_history;
    std::deque<feed_waiter> m_waiters;
    std::int64_t m_version = 0;
    timestamp m_busyUntil = 0;
    timestamp m_startedAt = 0;
    int m_refused = 0;
};

} // namespace bramleygrade::review
