#pragma once

#include "core/entry_state.h"

/// \file
/// Regular calls to the workers of own shards, and what their answers tell.

namespace bramleygrade {

void pollWorkers(entry_state &state, step_context &context);

void handleWorkerResult(entry_state &state, const worker_result &result, step_context &context);

} // namespace bramleygrade
