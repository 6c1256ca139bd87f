#pragma once

#include <vector>

#include "bench/offered_load.h"

/// \file
/// Policies to compare with: each entry sends a request to a worker at once, and the worker queues
/// it.

namespace bramleygrade {

enum class baseline_policy { randomChoice, roundRobin, shortestQueueStale };

std::vector<baseline_policy> allBaselines();
const char *nameOf(baseline_policy policy);

/// The same requests, faults and answer times as for our policy. Workers that are gone are left out
/// once the list, which lags by 2 s, says so.
load_outcome runBaseline(const offered_load &load, baseline_policy policy);

} // namespace bramleygrade
