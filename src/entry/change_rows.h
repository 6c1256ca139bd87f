#pragma once

#include <string>
#include <vector>

#include "entry/entry.h"

/// \file
/// The rows by which a write stores a change.

namespace bramleygrade::entry {

struct change_rows
{
    std::vector<row_expectation> expected;
    std::vector<stored_row> puts;
    std::vector<row_expectation> removals;
    cell::write_size size;
    /// The change is a job that was not stored before.
    bool isNewJob = false;
    /// The job's row is replaced by a tombstone, which a later write moves.
    bool endsInPlace = false;
    /// Rows of progress among `puts`, and what they leave out, as in `encoded_progress`.
    std::size_t progressRows = 0;
    std::size_t checkpointsLeftOut = 0;
    std::size_t itemsLeftOut = 0;
};

/// `id`: a job, or a row of the list of workers.
change_rows makeChangeRows(const entry_state &entry, const std::string &id);

/// Returns about how many rows the change takes, without encoding it.
std::size_t estimateRows(const leader_state &leaderState, const std::string &id);

} // namespace bramleygrade::entry
