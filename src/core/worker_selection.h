#pragma once

#include "core/entry_state.h"

/// \file
/// Which worker of a shard gets a task.

namespace bramleygrade {

/// True where the worker may be given tasks of this job at all.
bool isEligibleForTasks(const entry_state &state, const worker_view &worker, const std::string &job,
                        const service_document &document, timestamp now);

/// The best worker of the shard that has room, or null.
worker_view *chooseWorker(entry_state &state, const place_task &wanted,
                          const service_document &document, timestamp now);

} // namespace bramleygrade
