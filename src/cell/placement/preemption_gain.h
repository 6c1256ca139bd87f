#pragma once

#include "cell/placement/placement.h"

/// \file
/// Whether a preemption gains more than it throws away; applies only where the learned speeds of
/// workers are used.

namespace bramleygrade::cell {

/// Whether any of the gang's allowed workers has a learned speed that is in use.
bool usesSpeeds(const scheduler &cell, const waiting_step &waiting);

/// Returns the processor time, in microseconds times thousandths of a processor, that stopping the
/// run now throws away: the work since its last checkpoint, and the time to stop and resume it.
std::int64_t workLostByStopping(const scheduler &cell, const step_spec &spec,
                                const task_state &task, timestamp now);

/// Whether the run must not be preempted: a run of the task was preempted shortly before, or the
/// delay could make its job miss its objective.
bool isProtected(const scheduler &cell, const job_state &job, const task_id &id,
                 const task_state &task, timestamp now);

/// Whether the gang meets its objective if it starts as soon as runs can be stopped for it, and is
/// not expected to meet it by waiting until enough runs have ended.
bool needsPreemption(scheduler &cell, const waiting_step &waiting, const headroom_map &headrooms,
                     timestamp now);

/// Whether what the gang gains by meeting its objective outweighs the processor time lost.
bool gainsByPreemption(const waiting_step &waiting, std::int64_t lost);

} // namespace bramleygrade::cell
