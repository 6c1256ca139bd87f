#pragma once

#include "core/authority.h"
#include "core/cell_view.h"
#include "core/worker_pool.h"

/// \file
/// When an entry writes the row of a shard: to create it, to claim it from an owner that fell
/// silent or is gone, to name other successors, and to hand it over.

namespace bramleygrade {

/// Writes at most a few rows; called on every tick while the table can be reached.
void reconcileShards(authority_state &authority, cell_state &cell, const worker_pool &pool,
                     operation_tracker &operations, step_context &context);

/// Takes in the answer to a `claim` or `changeRow` transaction.
void handleShardWriteResult(authority_state &authority, const cell_state &cell,
                            const table_operation &operation, const table_result &result,
                            step_context &context);

/// Number of shards whose row names this owner.
int countOwnedShards(const authority_state &authority, const std::string &owner);

} // namespace bramleygrade
