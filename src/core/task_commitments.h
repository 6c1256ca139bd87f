#pragma once

#include <string>

#include "core/entry_state.h"

/// \file
/// Resources that tasks take on the workers of own shards, and orders to those workers.

namespace bramleygrade {

/// Takes the resources; the worker must have them.
void commit(worker_view &worker, const std::string &key, task_commitment commitment);

/// Gives the resources back; nothing where the task is not known.
void release(worker_view &worker, const std::string &key);

/// Resources that a task frees go back, and its home hears of it.
void endTask(entry_state &state, worker_view &worker, const std::string &key,
             placement_result result, step_context &context);

/// A placement whose end was reported must not begin again when its message is repeated: its home
/// may have placed the next incarnation elsewhere.
void recordPlacementEnd(entry_state &state, const std::string &key, timestamp startBy,
                        timestamp now);

/// True where the worker has been out of reach for so long that no lease on it can last, neither of
/// this owner nor of a former one.
bool areLeasesExpired(const entry_state &state, const worker_view &worker, timestamp now);

void callWorker(entry_state &state, const worker_view &worker, worker_call_kind kind,
                task_order order, step_context &context);

/// The order that names this task and its size.
task_order makeTaskOrder(const task_commitment &commitment);

} // namespace bramleygrade
