#pragma once

#include "core/authority.h"
#include "core/cell_view.h"
#include "core/worker_pool.h"

/// \file
/// Writes of shard rows: an entry creates a shard, claims it from an owner that has timed out or
/// terminated, names other successors, and hands the shard over.

namespace bramleygrade {

/// Writes the shard rows that need a change, a few at most for each call. Called on every tick;
/// does nothing while the table cannot be reached.
void reconcileShards(authority_state &authority, cell_state &cell, const worker_pool &pool,
                     operation_tracker &operations, step_context &context);

/// Processes the result of a `claim` or `changeRow` transaction.
void handleShardWriteResult(authority_state &authority, const cell_state &cell,
                            const table_operation &operation, const table_result &result,
                            step_context &context);

/// Number of shards whose row names this owner.
int countOwnedShards(const authority_state &authority, const std::string &owner);

} // namespace bramleygrade
