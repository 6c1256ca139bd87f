#pragma once

#include <deque>

#include "bramleygrade/decision_core.h"
#include "core/job_registry.h"
#include "core/requests.h"

namespace bramleygrade {

/// State of one entry, in memory only: none of it outlives the process.
struct entry_state
{
    cell_state cell;
    operation_tracker operations;
    authority_state authority;
    document_state documents;
    worker_pool pool;
    request_flow requests;
    job_registry jobs;
    forwarding_state operatorRequests;
    /// Messages of this entry to itself where it is both home of a job and owner of a worker.
    std::deque<peer_message> loopbackMessages;
    /// When each find_tasks first arrived, by asker and number.
    std::map<std::string, timestamp> findTasksReceivedAt;
    /// Placements that were refused or have ended, with the time until which a repeated message
    /// could still start them.
    std::map<std::string, timestamp> endedPlacements;
    /// Fencing token of each home shard: the oldest epoch whose placements are still accepted.
    std::map<std::string, std::uint64_t> homeFencingEpoch;
    std::uint64_t nextCallNumber = 1;
    timestamp nextLoadReportAt = 0;
    timestamp nextShardListAt = 0;
    timestamp lastStepAt = distantPast;
    bool isDrainReported = false;
    std::uint64_t clockAlarms = 0;
};

inline request_environment environmentOf(entry_state &state)
{
    return {state.cell, state.authority, state.documents, state.pool};
}

} // namespace bramleygrade
