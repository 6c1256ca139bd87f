#pragma once

#include "core/entry_state.h"

/// \file
/// Periodic polls of the workers of owned shards, and dispatch of the workers' answers.

namespace bramleygrade {

/// Polls the workers of owned shards that are due. A poll also renews the task leases of the
/// worker.
void pollWorkers(entry_state &state, step_context &context);

/// Processes a worker's answer to a call. Ignored if this entry may no longer act for the shard of
/// the worker.
void handleWorkerResult(entry_state &state, const worker_result &result, step_context &context);

} // namespace bramleygrade
