#include "testing/cell/memory_table.h"

#include <algorithm>
#include <memory>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bramleygrade::testing {

namespace {

using entry::store_outcome;
using entry::store_result;
using entry::stored_row;

std::int64_t versionOf(const memory_table &table, const entry::row_expectation &row)
{
    const auto found = table.rows.find({row.table, row.key});
    return found == table.rows.end() ? 0 : found->second.version;
}

store_result applyWrite(memory_table &table, const entry::table_write &write)
{
    store_result result;
    const bool areExpectationsMet =
        std::all_of(write.expected.begin(), write.expected.end(),
                    [&](const auto &row) { return versionOf(table, row) == row.version; });
    if (!areExpectationsMet) {
        result.outcome = store_outcome::conflict;
        for (const entry::row_expectation &row : write.expected) {
            const auto found = table.rows.find({row.table, row.key});
            result.rows.push_back(found == table.rows.end()
                                      ? stored_row {row.table, row.key, "", 0, false}
                                      : found->second);
        }
        return result;
    }
    ++table.version;
    for (stored_row row : write.puts) {
        row.version = table.version;
        table.rows[{row.table, row.key}] = row;
    }
    for (const entry::row_expectation &row : write.removals) {
        table.rows.erase({row.table, row.key});
    }
    result.outcome = store_outcome::done;
    result.version = table.version;
    return result;
}

/// Applies the write, and then disconnects its writer if `disconnectNextWriter` is set.
store_result writeAndDisconnect(memory_table &table, const std::string &entry,
                                const entry::table_write &write)
{
    store_result result = applyWrite(table, write);
    if (table.disconnectNextWriter && result.outcome == store_outcome::done) {
        table.disconnectNextWriter = false;
        table.disconnectedEntries.insert(entry);
    }
    return result;
}

store_result readRange(const memory_table &table, const entry::row_range &range)
{
    store_result result;
    result.outcome = store_outcome::done;
    result.version = table.version;
    for (const auto &[name, row] : table.rows) {
        if (row.table == range.table && row.key >= range.from
            && (range.until.empty() || row.key < range.until)) {
            result.rows.push_back(row);
        }
    }
    return result;
}

} // namespace

entry::store_port memory_table::makePort(const std::string &entry, boost::asio::io_context &loop)
{
    const auto answer = [&loop](const entry::store_completion &done, const store_result &result) {
        boost::asio::post(loop, [done, result] { done(result); });
    };
    entry::store_port port;
    port.write = [this, entry, &loop](const entry::table_write &write, timestamp,
                                      const entry::store_completion &done) {
        const auto timer = std::make_shared<boost::asio::steady_timer>(loop);
        timer->expires_after(std::chrono::microseconds(writeDelay));
        timer->async_wait([this, timer, entry, write, done](boost::system::error_code) {
            done(disconnectedEntries.count(entry) > 0 ? store_result {}
                                                      : writeAndDisconnect(*this, entry, write));
        });
    };
    port.read = [this, entry, answer](const entry::row_range &range, const entry::read_limits &,
                                      const entry::store_completion &done) {
        answer(done,
               disconnectedEntries.count(entry) > 0 ? store_result {} : readRange(*this, range));
    };
    port.watch = [this](const std::string &, std::int64_t, microseconds, const entry::read_limits &,
                        const entry::store_completion &done) { pendingWatches.push_back(done); };
    return port;
}

std::size_t memory_table::countRows(const std::string &table) const
{
    return static_cast<std::size_t>(std::count_if(
        rows.begin(), rows.end(), [&](const auto &entry) { return entry.second.table == table; }));
}

} // namespace bramleygrade::testing
