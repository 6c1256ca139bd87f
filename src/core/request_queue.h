#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "core/context.h"

/// \file
/// Queues of requests that wait for a free slot: one for each service, with fair queueing between
/// teams.

namespace bramleygrade {

/// Maximum number of queued requests of one service, over all teams.
constexpr std::size_t serviceQueueLimit = 2048;

struct team_queue
{
    /// Request numbers, oldest first.
    std::deque<std::uint64_t> waiting;
    /// Requests of the team that hold a slot assigned by this entry.
    int inFlight = 0;
};

struct service_queue
{
    std::map<std::string, team_queue> teams;
    /// Queued requests of all teams.
    std::size_t waiting = 0;
    /// Exponentially weighted moving average of the time for which a request holds a slot.
    microseconds meanAnswer = 20 * millisecond;
};

inline void enqueue(service_queue &queue, const std::string &team, std::uint64_t number)
{
    queue.teams[team].waiting.push_back(number);
    ++queue.waiting;
}

/// Removes and returns the next request: the oldest one of the team that holds the fewest slots.
/// Ties go to the older request. Returns 0 if the queue is empty.
std::uint64_t dequeueFairly(service_queue &queue);

/// Puts a request back at the front of its team's queue.
void requeue(service_queue &queue, const std::string &team, std::uint64_t number);

/// Removes a request from the queue; has no effect where it is not queued.
void removeWaiting(service_queue &queue, const std::string &team, std::uint64_t number);

/// Returns the expected time in the queue of a new request of this team, where `slots` slots serve
/// the queue.
microseconds estimateWait(const service_queue &queue, const std::string &team, int slots);

} // namespace bramleygrade
