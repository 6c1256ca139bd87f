#pragma once

#include <string>

#include "cell/scheduler.h"

namespace bramleygrade::testing {

/// Each change takes one row.
inline std::size_t oneRow(const std::string &)
{
    return 1;
}

/// A scheduler with a clock that stands still until a test moves it.
struct cell_driver
{
    /// Every change that is open reaches the store.
    void store()
    {
        constexpr std::size_t rowsPerWrite = 100;
        while (!cell.unsaved.empty()) {
            cell::beginWrite(cell, rowsPerWrite, oneRow);
            cell::onWritten(cell, now);
        }
    }

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
