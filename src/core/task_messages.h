#pragma once

#include <string>

#include "core/entry_state.h"

/// \file
/// Messages between the homes of jobs and the owners of workers. An entry that is both talks to
/// itself through the same messages, without the network.

namespace bramleygrade {

/// Shard whose owner keeps all jobs of a service, so that quotas are counted in one place.
inline std::string jobHomeOf(const std::string &service)
{
    return homeShardOf(service);
}

inline std::string taskKeyOf(const std::string &job, int task, std::uint64_t incarnation)
{
    return job + "/" + std::to_string(task) + "/" + std::to_string(incarnation);
}

/// Sends to the entry with this identity, which may be this entry.
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
    state.ownMessages.push_back(std::move(message));
}

/// Sends to the owner of a shard; returns false where none is known.
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

task_report makeTaskReport(const worker_view &worker, const task_commitment &task,
                           placement_result result);

/// Tells the home of the task's job.
void reportTask(entry_state &state, const worker_view &worker, task_commitment &task,
                placement_result result, step_context &context);
void reportTask(entry_state &state, const worker_view &worker, const task_commitment &task,
                placement_result result, step_context &context);

} // namespace bramleygrade
