#pragma once

#include <string>

#include "cell/scheduler.h"

namespace bramleygrade::testing {

/// A `size_of_change` under which every change takes one row.
inline cell::write_size oneRow(const std::string &)
{
    return {1, 0};
}

/// A scheduler with a manual clock.
struct cell_driver
{
    /// Stores all unstored changes.
    void store()
    {
        constexpr std::size_t rowsPerWrite = 100;
        while (!cell.unstored.empty()) {
            cell::beginWrite(cell, {rowsPerWrite}, oneRow);
            cell::onWritten(cell, now);
        }
    }

    /// Forces a placement round and returns the resulting orders.
    cell::orders decide()
    {
        cell::orders out;
        cell.needsPlacement = true;
        cell::decide(cell, now, out);
        return out;
    }

    timestamp now = 1'000 * second;
    cell::scheduler cell;
};

} // namespace bramleygrade::testing
