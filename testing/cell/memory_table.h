#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "entry/ports.h"

namespace bramleygrade::testing {

/// An in-memory table service with conditional writes and range reads. Watches never report a
/// change. Calls are answered on the caller's event loop.
///
///     memory_table table;
///     entry.ports.store = table.makePort("entry-1", loop);
///     table.disconnectedEntries.insert("entry-1"); // its calls get no answer and no effect
///
/// Writes are atomic, and each write raises the version, as in the users' store.
struct memory_table
{
    /// Returns the store port of one entry; the table must outlive it.
    entry::store_port makePort(const std::string &entry, boost::asio::io_context &loop);

    /// Returns the number of rows in the table of this name.
    std::size_t countRows(const std::string &table) const;

    std::map<std::pair<std::string, std::string>, entry::stored_row> rows;
    std::int64_t version = 0;
    /// Names of entries whose calls get no answer and have no effect.
    std::set<std::string> disconnectedEntries;
    /// Disconnects the writer of the next successful write right after the write takes effect.
    bool disconnectNextWriter = false;
    /// Delay after which a write takes effect and is answered.
    microseconds writeDelay = 0;
    /// Open watches; they are never answered.
    std::vector<entry::store_completion> pendingWatches;
};

} // namespace bramleygrade::testing
