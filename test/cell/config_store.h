#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "entry/entry.h"

namespace bramleygrade::testing {

/// How the store treats one entry.
enum class store_fault {
    none,
    rejecting, ///< each call is refused at once
    silent, ///< no call is answered before its deadline
    stale, ///< reads show the rows of 3 s ago
};

/// The configuration table, with long polls. All other tables are those of another port.
struct config_store
{
    /// Replaces the configuration; entries that read without a fault see it from now on.
    void publish(const std::string &value)
    {
        const auto version = static_cast<std::int64_t>(100 + history.size());
        history.emplace_back(entry::steadyNow(),
                             entry::stored_row {"op", "config", value, version, false});
    }

    /// Returns the port of one entry; `others` serves the other tables.
    entry::store_port wrapPort(const std::string &name, boost::asio::io_context &loop,
                               const entry::store_port &others)
    {
        entry::store_port port;
        port.read = [this, name, &loop, others](const entry::row_range &range,
                                                const entry::read_limits &limits,
                                                const entry::store_completion &done) {
            if (fail(name, loop, limits.answerBy, done)) {
                return;
            }
            if (range.table != "op") {
                others.read(range, limits, done);
                return;
            }
            entry::store_result result = readAfter(name, 0);
            boost::asio::post(loop, [done, result] { done(result); });
        };
        port.write = [this, name, &loop, others](const entry::table_write &write,
                                                 timestamp deadline,
                                                 const entry::store_completion &done) {
            if (!fail(name, loop, deadline, done)) {
                others.write(write, deadline, done);
            }
        };
        port.watch = [this, name, &loop, others](
                         const std::string &table, std::int64_t after, microseconds wait,
                         const entry::read_limits &limits, const entry::store_completion &done) {
            if (table == "op") {
                poll(name, loop, after, entry::steadyNow() + wait, limits.answerBy, done);
            } else {
                others.watch(table, after, wait, limits, done);
            }
        };
        return port;
    }

    std::vector<std::pair<timestamp, entry::stored_row>> history;
    /// By name of the entry.
    std::map<std::string, store_fault> faults;

private:
    /// Returns whether the call fails; it is then answered by this function.
    bool fail(const std::string &name, boost::asio::io_context &loop, timestamp deadline,
              const entry::store_completion &done)
    {
        const store_fault fault = faults[name];
        if (fault == store_fault::rejecting) {
            boost::asio::post(loop, [done] {
                entry::store_result refused;
                refused.outcome = entry::store_outcome::refused;
                done(refused);
            });
        } else if (fault == store_fault::silent) {
            runAt(loop, deadline, [done] { done({}); });
        }
        return fault == store_fault::rejecting || fault == store_fault::silent;
    }

    entry::store_result readAfter(const std::string &name, std::int64_t after)
    {
        const microseconds lag = faults[name] == store_fault::stale ? 3 * second : 0;
        entry::store_result result;
        result.outcome = entry::store_outcome::done;
        result.version = after;
        for (const auto &[at, row] : history) {
            if (at <= entry::steadyNow() - lag && row.version > after) {
                result.rows = {row};
                result.version = row.version;
            }
        }
        return result;
    }

    void poll(const std::string &name, boost::asio::io_context &loop, std::int64_t after,
              timestamp endsAt, timestamp deadline, const entry::store_completion &done)
    {
        if (fail(name, loop, deadline, done)) {
            return;
        }
        const entry::store_result result = readAfter(name, after);
        if (!result.rows.empty() || entry::steadyNow() >= endsAt) {
            done(result);
            return;
        }
        runAt(loop, entry::steadyNow() + 5 * millisecond,
              [this, name, &loop, after, endsAt, deadline, done] {
                  poll(name, loop, after, endsAt, deadline, done);
              });
    }

    static void runAt(boost::asio::io_context &loop, timestamp at, const std::function<void()> &run)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(loop);
        timer->expires_after(
            std::chrono::microseconds(std::max<microseconds>(at - entry::steadyNow(), 0)));
        timer->async_wait([timer, run](boost::system::error_code) { run(); });
    }
};

} // namespace bramleygrade::testing
