#pragma once

#include "core/entry_state.h"

/// \file
/// Job handling at the home of a service, the entry that owns its home shard: accepts and cancels
/// jobs, recovers them after a change of owner, and records their end in the table.

namespace bramleygrade {

/// Validates the job and starts to write its row. The operator is answered once the row is in the
/// table, or at once if the job is refused or already known. Submitting a stored job again with an
/// equal specification is accepted.
void startSubmit(entry_state &state, const operation_origin &origin, const job_specification &job,
                 step_context &context);
/// Cancels the named jobs that are known and still accepted, and stops their tasks. Idempotent.
void startCancel(entry_state &state, const operation_origin &origin,
                 const std::vector<std::string> &names, step_context &context);

/// Answers the operator with phase, task counts and workers of each named job.
void describeJobs(entry_state &state, const operation_origin &origin,
                  const std::vector<std::string> &names, step_context &context);

/// Processes the result of a `submitJob` transaction: answers the operator, or writes the row again
/// while the outcome is unknown and the operator's deadline has not passed.
void handleSubmitWriteResult(entry_state &state, const table_operation &operation,
                             const table_result &result, step_context &context);

/// Processes the result of an `updateJob` transaction.
void handleJobWriteResult(entry_state &state, const table_result &result, step_context &context);

/// Processes the result of a `loadJobs` transaction, and starts to ask which tasks run. Ignored if
/// the owner of the home shard has changed meanwhile.
void handleJobsLoaded(entry_state &state, const table_operation &operation,
                      const table_result &result, step_context &context);

/// Processes the answer of one rack shard to `find_tasks`; the home is ready after the last one.
void handleFoundTasks(entry_state &state, const found_tasks &found, step_context &context);

/// Processes a report on one task from the owner of its rack shard. While the home is being
/// recovered, only the shard load in the report is used.
void handleTaskReport(entry_state &state, const std::string &from, const task_report &report,
                      step_context &context);

/// A job stays in memory for this long after its end is stored.
constexpr microseconds endedJobRetention = 600 * second;

/// Advances the recovery of homes, writes outdated rows, evicts ended jobs after
/// `endedJobRetention`, and places waiting tasks.
void maintainJobs(entry_state &state, step_context &context);

/// Returns the in-memory state of the job that the row describes. Finished tasks are ended, all
/// others waiting.
job_view makeJobView(const job_row &row, std::uint64_t version, timestamp now);

/// Returns true if this entry may decide on the jobs of the service: it owns the home shard, and
/// recovery is complete.
bool isJobHome(const entry_state &state, const std::string &service, timestamp now);

} // namespace bramleygrade
