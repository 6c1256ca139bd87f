#pragma once

#include <string>

#include "core/entry_state.h"

/// \file
/// Resource commitments on the workers of owned shards, and calls to the workers.

namespace bramleygrade {

/// Commits the resources of the task on the worker, which must have them free.
void commitResources(worker_view &worker, const std::string &key, task_commitment commitment);

/// Releases the resources of the task; no effect if the task is not known.
void releaseResources(worker_view &worker, const std::string &key);

/// Releases the resources of a task that has ended, and reports the result to its home. No effect
/// if the task is not known.
void endTask(entry_state &state, worker_view &worker, const std::string &key,
             placement_result result, step_context &context);

/// Records until `startBy` that the placement has ended, so that a repeated `place_task` message
/// does not start the task again: its home may have placed the next incarnation elsewhere.
void recordPlacementEnd(entry_state &state, const std::string &key, timestamp startBy,
                        timestamp now);

/// Returns true if every task lease on the worker has expired, whether granted by this owner or by
/// a former one. False if the shard is not known.
bool areLeasesExpired(const entry_state &state, const worker_view &worker, timestamp now);

/// Emits a call to the worker; its answer arrives as a `worker_result`.
void callWorker(entry_state &state, const worker_view &worker, worker_call_kind kind,
                task_order order, step_context &context);

/// Returns an order with the identity and the resources of the task.
task_order makeTaskOrder(const task_commitment &commitment);

} // namespace bramleygrade
