#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "entry/ports.h"

namespace bramleygrade::testing {

/// A table service in memory: conditional writes, reads of ranges, no changes to watch. Calls
/// are answered by the caller's event loop.
///
///     memory_table table;
///     entry.ports.store = table.makePort("entry-1", loop);
///     table.cut.insert("entry-1"); // its calls get no answer and have no effect
///
/// Writes are atomic and versions rise with each one, as in the users' store.
struct memory_table
{
    /// The port of one entry; the table must outlive it.
    entry::store_port makePort(const std::string &entry, boost::asio::io_context &loop);

    /// Number of rows in the table of this name.
    std::size_t countRows(const std::string &table) const;

    std::map<std::pair<std::string, std::string>, entry::stored_row> rows;
    std::int64_t version = 0;
    /// Entries whose calls fail.
    std::set<std::string> disconnectedEntries;
    /// The entry whose write takes effect next is cut off right after it.
    bool disconnectNextWriter = false;
    /// How long after its call a write takes effect and is answered.
    microseconds writeDelay = 0;
    /// Watches that wait for changes which never come.
    std::vector<entry::store_completion> pendingWatches;
};

} // namespace bramleygrade::testing
