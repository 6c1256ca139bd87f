#pragma once

#include <map>
#include <string>

#include "bramleygrade/values.h"

/// \file
/// The table service in memory, for the platform stand-in and for tests in virtual time.

namespace bramleygrade {

struct fake_row
{
    std::uint64_t version = 0;
    std::string value;
};

struct table_fake
{
    std::map<std::string, fake_row> rows;
    /// Versions rise over the whole table, so that a row that is erased and written again never
    /// gets an old version back.
    std::uint64_t newestVersion = 0;
};

/// Carries out one transaction at once.
table_response executeTransaction(table_fake &table, const table_request &request);

} // namespace bramleygrade
