#pragma once

#include <map>
#include <string>

#include "bramleygrade/values.h"

/// \file
/// In-memory table service for the platform stand-in and for tests in virtual time.

namespace bramleygrade {

struct fake_row
{
    std::uint64_t version = 0;
    std::string value;
};

struct table_fake
{
    std::map<std::string, fake_row> rows;
    /// Versions increase over the whole table, so that a row that is erased and written again never
    /// gets an earlier version.
    std::uint64_t newestVersion = 0;
};

/// Executes one transaction immediately. Returns the rows of its conditions, reads and prefixes,
/// also if a condition does not hold.
table_response executeTransaction(table_fake &table, const table_request &request);

} // namespace bramleygrade
