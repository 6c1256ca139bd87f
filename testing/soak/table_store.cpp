#include "table_store.h"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>

#include "entry/json_text.h"
#include "record.h"

namespace bramleygrade::soak {

namespace {

using entry::integerField;
using entry::put;
using entry::textField;

// Limits and times of the users' sheets.
constexpr std::size_t maxRowBytes = 65'536;
constexpr std::size_t maxEntries = 100;
constexpr std::size_t maxCallBytes = 1'000'000;
constexpr std::size_t maxRowsPerRead = 500;
constexpr microseconds transactionTime = 5 * millisecond;
constexpr microseconds readTime = 4 * millisecond;

std::int64_t numberOf(const std::string &text, std::int64_t fallback)
{
    return text.empty() ? fallback : std::atoll(text.c_str());
}

net::http_response json(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

const std::string &valueFor(std::size_t entry, const stored_row &row)
{
    return row.values[std::min(entry, row.values.size() - 1)];
}

void writeRow(entry::json_writer &out, std::size_t entry, const stored_row &row)
{
    out.StartObject();
    put(out, "table", row.table);
    put(out, "part", row.part);
    put(out, "key", row.key);
    if (row.removed) {
        put(out, "tombstone", true);
    } else {
        put(out, "value", valueFor(entry, row));
    }
    put(out, "ver", row.version);
    out.EndObject();
}

std::string encodeRows(std::size_t entry, const std::vector<stored_row> &rows,
                       const std::string &rest)
{
    rapidjson::StringBuffer buffer;
    entry::json_writer out(buffer);
    out.StartArray();
    for (const stored_row &row : rows) {
        writeRow(out, entry, row);
    }
    out.EndArray();
    return R"({"rows":)" + std::string(buffer.GetString()) + "," + rest + "}";
}

stored_row readRow(const rapidjson::Value &value)
{
    return {textField(value, "table"),   textField(value, "part"),   textField(value, "key"),
            {textField(value, "value")}, integerField(value, "ver"), false};
}

std::vector<stored_row> readRows(const rapidjson::Value &document, const char *name)
{
    std::vector<stored_row> rows;
    if (const auto *list = entry::arrayField(document, name)) {
        for (const auto &row : list->GetArray()) {
            rows.push_back(readRow(row));
        }
    }
    return rows;
}

bool isReadOnly(const std::string &table)
{
    return table == "op" || table == "servers";
}

} // namespace

table_store::table_store(boost::asio::io_context &loop, const peer_links &peers)
    : m_loop(loop)
    , m_peers(peers)
    , m_startedAt(steadyNow())
{
}

std::string table_store::listen(const std::string &address)
{
    const std::size_t entry = m_servers.size();
    m_links.emplace_back();
    m_servers.push_back(std::make_unique<net::http_server>(
        m_loop,
        [this, entry](const net::http_request &request, const responder &respond) {
            serve(entry, request, respond);
        },
        net::server_limits {2'000'000, 16'384, 3'600 * second}));
    return m_servers.back()->listen(address);
}

void table_store::put(const std::string &table, const std::string &key,
                      const std::vector<std::string> &texts)
{
    stored_row row {table, "", key, {}, ++m_version, false};
    for (const std::string &text : texts) {
        row.values.push_back(encodeBase64(text));
    }
    apply(row);
    notifyFeeds();
}

void table_store::remove(const std::string &table, const std::string &key)
{
    if (m_rows.count({table, "", key}) > 0) {
        apply({table, "", key, {""}, ++m_version, true});
        notifyFeeds();
    }
}

std::string table_store::leaderName() const
{
    for (const auto &[key, row] : m_rows) {
        rapidjson::Document document;
        if (row.table == "cell" && row.key == "head"
            && entry::parseObject(decodeBase64(row.values.front()), document)) {
            return textField(document, "scheduler");
        }
    }
    return "";
}

std::string table_store::tail() const
{
    return R"("ver":)" + std::to_string(m_version) + R"(,"nowMs":)"
        + std::to_string((steadyNow() - m_startedAt) / millisecond);
}

void table_store::apply(const stored_row &row)
{
    if (row.removed) {
        m_rows.erase({row.table, row.part, row.key});
    } else {
        m_rows[{row.table, row.part, row.key}] = row;
    }
    m_history.push_back(row);
}

void table_store::answerLater(microseconds delay, const std::function<void()> &run)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop);
    timer->expires_after(std::chrono::microseconds(delay));
    timer->async_wait([timer, run](boost::system::error_code error) {
        if (!error) {
            run();
        }
    });
}

void table_store::serve(std::size_t entry, const net::http_request &request,
                        const responder &respond)
{
    const store_link link = m_links[entry];
    if (link.silent || link.cuts > 0) {
        abandonCall(m_loop, respond);
        return;
    }
    if (link.refuses) {
        respond(json(503, "{}"));
        return;
    }
    const responder answer = link.losesAnswers ? makeLostResponder(m_loop, respond) : respond;
    if (link.delay == 0) {
        carryOut(entry, request, answer);
        return;
    }
    answerLater(link.delay, [this, entry, request, answer] { carryOut(entry, request, answer); });
}

void table_store::carryOut(std::size_t entry, const net::http_request &request,
                           const responder &respond)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/rows-tx") {
        // One partition handles its transactions one after another.
        m_busyUntil = std::max(m_busyUntil, steadyNow()) + transactionTime;
        answerLater(m_busyUntil - steadyNow(), [this, entry, body = request.body, respond] {
            transact(entry, body, respond);
        });
    } else if (path == "/rows-get") {
        answerLater(readTime, [this, entry, target = request.target, respond] {
            read(entry, target, respond);
        });
    } else if (path == "/rows-feed") {
        feed(entry, request.target, respond);
    } else {
        respond(json(404, "{}"));
    }
}

/// The rows of the table `cell` name entries by their addresses, which differ from reader to
/// reader.
void table_store::translateForReaders(std::size_t writer, stored_row &row) const
{
    if (row.table != "cell") {
        return;
    }
    const std::string text = decodeBase64(row.values.front());
    row.values.clear();
    for (std::size_t reader = 0; reader < m_peers.size(); ++reader) {
        row.values.push_back(encodeBase64(m_peers.translate(text, writer, reader)));
    }
}

void table_store::transact(std::size_t entry, const std::string &body, const responder &respond)
{
    rapidjson::Document document;
    if (!entry::parseObject(body, document)) {
        respond(json(400, "{}"));
        return;
    }
    const std::vector<stored_row> expected = readRows(document, "expectedRevision");
    std::vector<stored_row> puts = readRows(document, "puts");
    std::vector<stored_row> removals = readRows(document, "remove");
    std::size_t largest = 0;
    bool isForbidden = false;
    for (const stored_row &row : puts) {
        largest = std::max(largest, decodedSize(row.values.front()));
        isForbidden = isForbidden || isReadOnly(row.table);
    }
    if (largest > maxRowBytes || body.size() > maxCallBytes
        || expected.size() + puts.size() + removals.size() > maxEntries) {
        if (m_refused++ == 0) {
            note("store: refused a transaction with 400: largest row " + std::to_string(largest)
                 + " bytes, call " + std::to_string(body.size()) + " bytes, entries "
                 + std::to_string(expected.size() + puts.size() + removals.size()));
        }
        respond(json(400, "{}"));
        return;
    }
    if (isForbidden) {
        respond(json(403, "{}"));
        return;
    }
    std::vector<stored_row> current;
    bool isMet = true;
    for (const stored_row &row : expected) {
        const auto found = m_rows.find({row.table, row.part, row.key});
        const std::int64_t version = found == m_rows.end() ? 0 : found->second.version;
        isMet = isMet && version == row.version;
        if (found != m_rows.end()) {
            current.push_back(found->second);
        }
    }
    if (!isMet) {
        respond(json(412, encodeRows(entry, current, tail())));
        return;
    }
    ++m_version;
    for (stored_row &row : puts) {
        row.version = m_version;
        translateForReaders(entry, row);
        apply(row);
    }
    for (stored_row &row : removals) {
        if (m_rows.count({row.table, row.part, row.key}) > 0) {
            row.version = m_version;
            row.removed = true;
            apply(row);
        }
    }
    respond(json(200, "{" + tail() + "}"));
    notifyFeeds();
}

void table_store::read(std::size_t entry, const std::string &target, const responder &respond)
{
    const std::string table = queryField(target, "table");
    const std::string part = queryField(target, "part");
    const std::string until = queryField(target, "target");
    const auto limit = static_cast<std::size_t>(
        numberOf(queryField(target, "limit"), static_cast<std::int64_t>(maxRowsPerRead)));
    std::vector<stored_row> rows;
    std::size_t bytes = 0;
    bool hasMore = false;
    for (auto row = m_rows.lower_bound({table, part, queryField(target, "from")});
         row != m_rows.end() && row->second.table == table && row->second.part == part
         && (until.empty() || row->second.key < until);
         ++row) {
        bytes += valueFor(entry, row->second).size();
        if (rows.size() == std::min(limit, maxRowsPerRead)
            || (!rows.empty() && bytes > maxCallBytes)) {
            hasMore = true;
            break;
        }
        rows.push_back(row->second);
    }
    respond(
        json(200,
             encodeRows(entry, rows,
                        std::string(R"("hasMore":)") + (hasMore ? "true," : "false,") + tail())));
}

void table_store::feed(std::size_t entry, const std::string &target, const responder &respond)
{
    const feed_waiter waiter {
        entry, queryField(target, "table"), numberOf(queryField(target, "after"), 0),
        steadyNow() + numberOf(queryField(target, "waitMs"), 0) * millisecond, respond};
    if (answerFeed(waiter, false)) {
        return;
    }
    m_waiters.push_back(waiter);
    answerLater(waiter.expiresAt - steadyNow(), [this] {
        const timestamp now = steadyNow();
        for (auto it = m_waiters.begin(); it != m_waiters.end();) {
            if (now < it->expiresAt) {
                ++it;
                continue;
            }
            answerFeed(*it, true);
            it = m_waiters.erase(it);
        }
    });
}

bool table_store::answerFeed(const feed_waiter &waiter, bool evenIfEmpty)
{
    std::vector<stored_row> rows;
    for (const stored_row &row : m_history) {
        if (row.table == waiter.table && row.version > waiter.after) {
            rows.push_back(row);
        }
    }
    if (rows.empty() && !evenIfEmpty) {
        return false;
    }
    const store_link &link = m_links[waiter.entry];
    if (!link.silent && link.cuts == 0) {
        waiter.respond(json(200, encodeRows(waiter.entry, rows, tail())));
    } else {
        abandonCall(m_loop, waiter.respond);
    }
    return true;
}

void table_store::notifyFeeds()
{
    for (auto it = m_waiters.begin(); it != m_waiters.end();) {
        it = answerFeed(*it, false) ? m_waiters.erase(it) : std::next(it);
    }
}

} // namespace bramleygrade::soak
