#pragma once

#include "core/entry_state.h"

/// \file
/// Selection of the worker of a shard for a task.

namespace bramleygrade {

/// Returns true if the worker may run tasks of this job, regardless of its free resources.
bool isEligibleForTasks(const entry_state &state, const worker_view &worker, const std::string &job,
                        const service_document &document, timestamp now);

/// Returns the eligible worker of the shard with enough free resources and the lowest cost under
/// the placement policy of the document, or null.
worker_view *chooseWorker(entry_state &state, const place_task &request,
                          const service_document &document, timestamp now);

} // namespace bramleygrade
