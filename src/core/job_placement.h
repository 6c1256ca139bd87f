#pragma once

#include "core/entry_state.h"

/// \file
/// Placement of tasks on rack shards by the home of their job, and gang scheduling.

namespace bramleygrade {

/// Sends waiting tasks to shards with spare capacity, urgent jobs first, within the quota of each
/// service, and queries the state of tasks whose owner has not reported in time.
void placeTasks(entry_state &state, step_context &context);

/// Records that the resources of a gang's task are held; once all tasks of the gang are held, all
/// are started.
void handleTaskHeld(entry_state &state, job_view &job, job_task &task, const task_report &report,
                    step_context &context);

/// Processes a failed attempt to place a task of a gang: releases the resources held for the other
/// tasks, and delays the next attempt with exponential backoff and jitter. No effect for jobs that
/// are not gangs.
void handleGangPlacementFailure(entry_state &state, job_view &job, const job_task &unplacedTask,
                                const task_report &report, step_context &context);

/// Asks the owners to stop all active tasks of the job.
void stopAllTasks(entry_state &state, job_view &job, step_context &context);

/// Stores the spare capacity of the shard that the report carries.
void updateShardLoad(entry_state &state, const std::string &from, const task_report &report);

} // namespace bramleygrade
