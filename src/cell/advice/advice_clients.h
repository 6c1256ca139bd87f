#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cell/scheduler.h"

namespace bramleygrade::cell {

/// An entry that may call the advisory service, which processes the calls of each entry one after
/// another.
struct advice_client_load
{
    int openCalls = 0;
    /// The entry's last call has failed recently.
    bool inBackoff = false;
};

/// Returns the index of the client that makes the call, or nothing if the call must wait. The last
/// clients are kept for short calls, so that no short call waits for a long one; a short call may
/// also use any idle client. `clients` must be in the same order at each call.
std::optional<std::size_t> chooseAdviceClient(const std::vector<advice_client_load> &clients,
                                              bool longCall);

/// Calls to the advisory service that wait for a client, by priority.
using advice_queue = std::multimap<int, advice_order>;

/// Returns the call to be made next: those of jobs on time before those of late ones, then those
/// for which capacity is held. Among these the job queues share the clients by their priorities, so
/// that none occupies all of them. Of a queue, calls of jobs within their team's share go first,
/// then by the submission of the job: a job that needs several calls waits for its turn only once.
/// `openCalls` counts the open calls by job queue. `waiting` must not be empty.
advice_queue::iterator findNextAdvice(advice_queue &waiting,
                                      const std::map<std::string, int> &openCalls);

} // namespace bramleygrade::cell
