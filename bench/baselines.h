#pragma once

#include <vector>

#include "bench/offered_load.h"

/// \file
/// Baseline policies: each entry sends a request to a worker immediately, and the worker queues it.

namespace bramleygrade {

enum class baseline_policy { randomChoice, roundRobin, shortestQueueStale };

std::vector<baseline_policy> allBaselines();
const char *nameOf(baseline_policy policy);

/// Runs `load` with the requests, faults and answer times that runScheduler uses. Lost workers are
/// excluded once the instance list, which lags by 2 s, no longer contains them.
load_outcome runBaseline(const offered_load &load, baseline_policy policy);

} // namespace bramleygrade
