#pragma once

#include "core/job_registry.h"

/// \file
/// Estimates of the resources that the tasks of a service use, from delayed usage reports.

namespace bramleygrade {

/// Updates the estimate with the usage in the report. The estimate rises to a higher usage at once,
/// and decays slowly towards a lower one. Reports without usage are ignored.
void updateUsageEstimate(usage_estimate &usage, const job_specification &job,
                         const task_report &report);

/// Returns the resources to commit to a task of the job: the estimated usage plus a margin, or the
/// declared resources while there are too few reports, or after the task has failed.
resources estimateResources(const job_registry &registry, const job_specification &job,
                            int failures);

} // namespace bramleygrade
