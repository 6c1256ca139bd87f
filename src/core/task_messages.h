#pragma once

#include <string>

#include "core/entry_state.h"

/// \file
/// Messages between the homes of jobs and the owners of workers. Messages of an entry to itself
/// skip the network and are queued in `entry_state::loopbackMessages`.

namespace bramleygrade {

/// Returns the home shard of the service. Its owner keeps all jobs of the service, so that the
/// quota is accounted for in one place.
inline std::string jobHomeOf(const std::string &service)
{
    return homeShardOf(service);
}

/// Returns the key of one incarnation of a task, `job/task/incarnation`, where `job` is the id of
/// the job without its service.
inline std::string taskKeyOf(const std::string &job, int task, std::uint64_t incarnation)
{
    return job + "/" + std::to_string(task) + "/" + std::to_string(incarnation);
}

/// Sends a message to the entry with this identity, which may be this entry.
template <typename Body>
void sendTaskMessage(entry_state &state, const std::string &to, Body body, step_context &context)
{
    if (to != state.cell.identity) {
        sendToPeer(context, state.cell.identity, to, std::move(body));
        return;
    }
    peer_message message;
    message.from = to;
    message.to = to;
    message.sent_at = context.now;
    message.body.Set(std::move(body));
    state.loopbackMessages.push_back(std::move(message));
}

/// Sends a message to the owner of the shard. Returns false if no owner is known.
template <typename Body>
bool sendToOwner(entry_state &state, const std::string &shard, Body body, step_context &context)
{
    const auto view = state.authority.shards.find(shard);
    if (view == state.authority.shards.end() || view->second.rowVersion == 0) {
        return false;
    }
    sendTaskMessage(state, view->second.row.owner, std::move(body), context);
    return true;
}

/// Returns a report on the task without the load of the shard.
task_report makeTaskReport(const worker_view &worker, const task_commitment &task,
                           placement_result result);

/// Sends a report on the task, with the spare capacity of the shard, to the home of the task's job.
/// The overload for a non-const task also records the time of the report.
void reportTask(entry_state &state, const worker_view &worker, task_commitment &task,
                placement_result result, step_context &context);
void reportTask(entry_state &state, const worker_view &worker, const task_commitment &task,
                placement_result result, step_context &context);

} // namespace bramleygrade
