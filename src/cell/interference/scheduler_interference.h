#pragma once

#include <string>

#include "cell/placement/placement.h"

/// \file
/// Connects the measurement of interference to the scheduler. All functions do nothing if the
/// setting `separateClashingTasks` is off.

namespace bramleygrade::cell {

/// Name under which the runs of the step are measured: its image, or else its queue.
const std::string &imageOf(const job_spec &job, const step_spec &step);

/// Notes a run that was added to the worker.
void noteRunAdded(scheduler &cell, worker_state &worker, const task_id &task, const job_spec &job,
                  timestamp now, orders &out);

/// Notes that the worker has confirmed the start of a run.
void noteRunConfirmed(const scheduler &cell, worker_state &worker, const task_id &task);

/// Notes a run that was removed from the worker.
void noteRunRemoved(const scheduler &cell, worker_state &worker, const task_id &task);

/// Learns from a successful run that is still on the worker.
void learnInterference(scheduler &cell, worker_state &worker, const job_spec &job,
                       const task_id &task, microseconds observed, timestamp now);

/// Evaluates the measurements that are due and logs the pairs that changed.
void evaluateInterference(scheduler &cell, timestamp now, orders &out);

/// Sets `waiting.clashing` from the noticed pairs.
void setClashes(const scheduler &cell, waiting_step &waiting);

/// Counts the tasks that `plan` placed elsewhere because of noticed pairs.
void countSeparatedTasks(scheduler &cell, const waiting_step &waiting, const placement_plan &plan);

} // namespace bramleygrade::cell
