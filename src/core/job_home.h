#pragma once

#include "core/entry_state.h"

/// \file
/// The home of jobs: takes them in, recovers them after a change of owner, and records their end.

namespace bramleygrade {

void startSubmit(entry_state &state, const operation_origin &origin, const job_specification &job,
                 step_context &context);
void startCancel(entry_state &state, const operation_origin &origin,
                 const std::vector<std::string> &names, step_context &context);
void describeJobs(entry_state &state, const operation_origin &origin,
                  const std::vector<std::string> &names, step_context &context);

/// Takes in the answer to a `submitJob` transaction.
void handleSubmitWriteResult(entry_state &state, const table_operation &operation,
                             const table_result &result, step_context &context);

/// Takes in the answer to an `updateJob` transaction.
void handleJobWriteResult(entry_state &state, const table_result &result, step_context &context);
void handleJobsLoaded(entry_state &state, const table_operation &operation,
                      const table_result &result, step_context &context);
void handleFoundTasks(entry_state &state, const found_tasks &found, step_context &context);
void handleTaskReport(entry_state &state, const std::string &from, const task_report &report,
                      step_context &context);

constexpr microseconds endedJobRetention = 600 * second;

/// Recovers homes, writes rows that are outdated, and forgets jobs that ended long ago.
void maintainJobs(entry_state &state, step_context &context);

/// A job as its row tells of it.
job_view makeJobView(const job_row &row, std::uint64_t version, timestamp now);

/// True where this entry may decide on the jobs of the service.
bool isJobHome(const entry_state &state, const std::string &service, timestamp now);

} // namespace bramleygrade
