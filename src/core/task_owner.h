#pragma once

#include "core/entry_state.h"

/// \file
/// Tasks at the owner of their worker's shard: choice of the worker, commitment of its resources,
/// leases, and what the worker says.
///
/// The worker is the record of what runs: after a change of owner the new one asks the workers
/// before it commits anything. A task is started by one order that the worker refuses after
/// `start_by`, so that an order whose answer was lost is settled by the next report.

namespace bramleygrade {

/// A worker ends a task whose lease has not been renewed for this long.
constexpr microseconds taskLeaseDuration = 60 * second;
/// Placements ask to be started within this time at most.
constexpr microseconds maxStartTimeout = 5 * second;

/// Size that a place_task asks for.
resources requestedResources(const place_task &wanted);

void handlePlaceTask(entry_state &state, const std::string &from, const place_task &wanted,
                     step_context &context);
void handleStopTask(entry_state &state, const stop_task &wanted, step_context &context);
void handleFindTasks(entry_state &state, const std::string &from, const find_tasks &wanted,
                     step_context &context);

/// Takes in the answer to a call about tasks.
void handleTaskCallResult(entry_state &state, worker_view &worker, const worker_result &result,
                          step_context &context);

/// Brings commitments in line with what the worker reports.
void reconcileTasks(entry_state &state, worker_view &worker, const worker_result &result,
                    step_context &context);

/// Drops holds that have lapsed and tasks whose leases ended on a worker that is out of reach.
void expireTasks(entry_state &state, step_context &context);

/// Tells the homes of the tasks of a worker that the platform has taken from its list.
void endAllTasks(entry_state &state, worker_view &worker, step_context &context);

/// True while an order to start may still take effect on a worker of the shard.
bool hasUnconfirmedStarts(const worker_pool &pool, const std::string &shard);

/// Spare capacity of the shard, as peers are told.
shard_load computeShardLoad(const entry_state &state, const std::string &shard);

/// Deadline for leases that are renewed now.
timestamp leaseEnd(timestamp now);

} // namespace bramleygrade
