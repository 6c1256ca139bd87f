#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "core/context.h"

/// \file
/// Requests that wait for a free slot: one queue for each service, fair between teams.

namespace bramleygrade {

/// Waiting requests of one service, over all teams.
constexpr std::size_t serviceQueueLimit = 2048;

struct team_queue
{
    std::deque<std::uint64_t> waiting;
    /// Requests of the team that hold a slot given out here.
    int inFlight = 0;
};

struct service_queue
{
    std::map<std::string, team_queue> teams;
    std::size_t waiting = 0;
    /// Mean time that a request holds a slot.
    microseconds meanAnswer = 20 * millisecond;
};

inline void enqueue(service_queue &queue, const std::string &team, std::uint64_t number)
{
    queue.teams[team].waiting.push_back(number);
    ++queue.waiting;
}

/// Removes the next request: the oldest one of the team that holds the fewest slots. Returns 0
/// where nothing waits.
std::uint64_t dequeueFairly(service_queue &queue);

/// Puts a request back to the front of its team.
void requeue(service_queue &queue, const std::string &team, std::uint64_t number);

void removeWaiting(service_queue &queue, const std::string &team, std::uint64_t number);

/// Expected wait of a new request of this team, given the slots that serve the queue.
microseconds estimateWait(const service_queue &queue, const std::string &team, int slots);

} // namespace bramleygrade
