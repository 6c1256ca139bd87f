#pragma once

#include "core/entry_state.h"

/// \file
/// Keeps the entry's copy of the table current: polls the head rows once a second, and reads the
/// rows that have changed.

namespace bramleygrade {

/// Sends the poll and the reads that are due; ends transactions without an answer in time as
/// `unknown`.
void syncTable(entry_state &state, step_context &context);

/// Processes the result of any transaction.
void handleTableResult(entry_state &state, const table_result &result, step_context &context);

} // namespace bramleygrade
