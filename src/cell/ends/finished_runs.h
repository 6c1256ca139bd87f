#pragma once

#include "cell/scheduler.h"

namespace bramleygrade::cell {

/// Learns from a successful run, from its beginning, that is still on the worker: run times of its
/// queue, the speed of the worker, and how much the tasks beside it slow it down.
void learnFromRun(scheduler &cell, worker_state &worker, const job_state &job, const task_id &task,
                  step_state &step, microseconds observed, timestamp now);

} // namespace bramleygrade::cell
