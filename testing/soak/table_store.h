#pragma once

#include <deque>
#include <map>
#include <memory>
#include <tuple>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "net/http_server.h"
#include "peer_links.h"

/// \file
/// Stand-in for the platform's table service. Each entry has a port of its own, so that the service
/// can be away for some entries only.

namespace bramleygrade::soak {

struct stored_row
{
    std::string table;
    std::string part;
    std::string key;
    /// Base64; one text for each entry, or one for all.
    std::vector<std::string> values;
    std::int64_t version = 0;
    bool removed = false;
};

/// How the service treats the calls of one entry.
struct store_link
{
    /// Number of cuts between the entry and the service.
    int cuts = 0;
    /// Calls are refused with 503.
    bool refuses = false;
    /// Calls are neither carried out nor answered.
    bool silent = false;
    /// Calls are carried out and not answered.
    bool losesAnswers = false;
    /// Added to the time of each call; longer than its caller waits, a write is done late.
    microseconds delay = 0;
};

class table_store
{
public:
    table_store(boost::asio::io_context &loop, const peer_links &peers);

    /// Opens the port of the next entry. Returns an empty text or why the address cannot be used.
    std::string listen(const std::string &address);
    store_link &linkOf(std::size_t entry) { return m_links[entry]; }

    /// Writes a row of the tables that the system may only read. `texts`: one for each entry, or
    /// one for all.
    void put(const std::string &table, const std::string &key,
             const std::vector<std::string> &texts);
    void remove(const std::string &table, const std::string &key);

    /// Returns the name of the entry that has claimed the lead last; empty if none has.
    std::string leaderName() const;

    /// Number of transactions that were refused because they broke a limit of the service.
    int refusedTransactions() const { return m_refused; }

private:
    using row_key = std::tuple<std::string, std::string, std::string>;
    using responder = net::http_server::responder;

    struct feed_waiter
    {
        std::size_t entry = 0;
        std::string table;
        std::int64_t after = 0;
        timestamp expiresAt = 0;
        responder respond;
    };

    void serve(std::size_t entry, const net::http_request &request, const responder &respond);
    void carryOut(std::size_t entry, const net::http_request &request, const responder &respond);
    void transact(std::size_t entry, const std::string &body, const responder &respond);
    void translateForReaders(std::size_t writer, stored_row &row) const;
    void read(std::size_t entry, const std::string &target, const responder &respond);
    void feed(std::size_t entry, const std::string &target, const responder &respond);
    bool answerFeed(const feed_waiter &waiter, bool evenIfEmpty);
    void apply(const stored_row &row);
    void notifyFeeds();
    void answerLater(microseconds delay, const std::function<void()> &run);
    std::string tail() const;

    boost::asio::io_context &m_loop;
    const peer_links &m_peers;
    std::vector<std::unique_ptr<net::http_server>> m_servers;
    std::vector<store_link> m_links;
    std::map<row_key, stored_row> m_rows;
    std::deque<stored_row> m_history;
    std::deque<feed_waiter> m_waiters;
    std::int64_t m_version = 0;
    timestamp m_busyUntil = 0;
    timestamp m_startedAt = 0;
    int m_refused = 0;
};

} // namespace bramleygrade::soak
