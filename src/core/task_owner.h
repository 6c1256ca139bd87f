#pragma once

#include "core/entry_state.h"

/// \file
/// Tasks at the owner of their worker's shard: worker selection, resource commitments, leases, and
/// reconciliation with the workers' reports.
///
/// The worker is the source of truth for what runs: after a change of owner, the new owner polls
/// the workers before it commits anything. A task is started by one order that the worker refuses
/// after `start_by`, so that a report requested after that time shows whether an order whose answer
/// was lost was carried out.

namespace bramleygrade {

/// A worker ends a task whose lease has not been renewed for this long.
constexpr microseconds taskLeaseDuration = 60 * second;
/// Placements with a start deadline further ahead than this are refused.
constexpr microseconds maxStartTimeout = 5 * second;

/// Returns the resources that the placement asks for.
resources requestedResources(const place_task &request);

/// Starts, holds or releases a task, or reports its state, as the home of its job asks. Not
/// answered unless this entry may act for the shard and the epoch of the home is current.
void handlePlaceTask(entry_state &state, const std::string &from, const place_task &request,
                     step_context &context);

/// Orders the worker to stop the task, or to forget it if it has ended.
void handleStopTask(entry_state &state, const stop_task &request, step_context &context);

/// Answers with the tasks of the home shard once all workers of the rack shard have reported since
/// the query and all task starts are confirmed; until then the home repeats the query. Placements
/// with an older epoch of the home are ignored from the query on.
void handleFindTasks(entry_state &state, const std::string &from, const find_tasks &request,
                     step_context &context);

/// Processes a worker's answer to a call about a task.
void handleTaskCallResult(entry_state &state, worker_view &worker, const worker_result &result,
                          step_context &context);

/// Reconciles the commitments with the tasks in the worker's report.
void reconcileTasks(entry_state &state, worker_view &worker, const worker_result &result,
                    step_context &context);

/// Ends holds that have expired, and tasks on unreachable workers whose leases have expired.
void expireTasks(entry_state &state, step_context &context);

/// Ends all tasks of a worker that the platform no longer lists, and reports them to their homes.
void endAllTasks(entry_state &state, worker_view &worker, step_context &context);

/// Returns true if a worker of the shard may still carry out an unconfirmed start order.
bool hasUnconfirmedStarts(const worker_pool &pool, const std::string &shard);

/// Returns the spare capacity of the shard, as it is reported to peers.
shard_load computeShardLoad(const entry_state &state, const std::string &shard);

/// Returns the deadline of task leases that are granted or renewed now.
timestamp taskLeaseDeadline(timestamp now);

} // namespace bramleygrade
