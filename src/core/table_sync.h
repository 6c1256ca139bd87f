#pragma once

#include "core/entry_state.h"

/// \file
/// Keeps the entry's picture of the table current: one small poll a second, and a reading of what
/// has changed.

namespace bramleygrade {

/// Sends the poll, and readings that are due; gives up on answers that stay away.
void syncTable(entry_state &state, step_context &context);

/// Takes in the answer to any transaction.
void handleTableResult(entry_state &state, const table_result &result, step_context &context);

} // namespace bramleygrade
