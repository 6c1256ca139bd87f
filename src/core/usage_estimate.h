#pragma once

#include "core/job_registry.h"

/// \file
/// What tasks of a service really take, learned from reports that lag.

namespace bramleygrade {

/// Moves the estimate of what tasks of a service take towards what one was seen to take.
void updateUsageEstimate(usage_estimate &usage, const job_specification &job,
                         const task_report &report);

/// What a task of the job is given: what such tasks were seen to take, with a margin.
resources estimateResources(const job_registry &book, const job_specification &job, int failures);

} // namespace bramleygrade
