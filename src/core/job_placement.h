#pragma once

#include "core/entry_state.h"

/// \file
/// Where the home of a job sends its tasks, and how several start together.

namespace bramleygrade {

/// Sends tasks that wait to shards with room, urgent jobs first, within the quota of each service;
/// asks after tasks whose owner keeps silent.
void placeTasks(entry_state &state, step_context &context);

/// A task of a gang has its place; once all have, all are started.
void handleTaskHeld(entry_state &state, job_view &job, job_task &task, const task_report &report,
                    step_context &context);

/// A task of a gang found no place, or was lost: all others give up theirs, and the gang waits.
void handleGangPlacementFailure(entry_state &state, job_view &job, const job_task &missed,
                                const task_report &report, step_context &context);

void stopAllTasks(entry_state &state, job_view &job, step_context &context);

/// Takes in the spare capacity that a report carries.
void updateShardLoad(entry_state &state, const std::string &from, const task_report &report);

} // namespace bramleygrade
