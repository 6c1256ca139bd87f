#include "core/request_queue.h"

#include <algorithm>

namespace bramleygrade {

std::uint64_t dequeueFairly(service_queue &queue)
{
    team_queue *next = nullptr;
    for (auto &[team, candidate] : queue.teams) {
        if (candidate.waiting.empty()) {
            continue;
        }
        const bool isBetter = next == nullptr || candidate.inFlight < next->inFlight
            || (candidate.inFlight == next->inFlight
                && candidate.waiting.front() < next->waiting.front());
        if (isBetter) {
            next = &candidate;
        }
    }
    if (next == nullptr) {
        return 0;
    }
    const std::uint64_t number = next->waiting.front();
    next->waiting.pop_front();
    --queue.waiting;
    return number;
}

void requeue(service_queue &queue, const std::string &team, std::uint64_t number)
{
    queue.teams[team].waiting.push_front(number);
    ++queue.waiting;
}

void removeWaiting(service_queue &queue, const std::string &team, std::uint64_t number)
{
    std::deque<std::uint64_t> &waiting = queue.teams[team].waiting;
    const auto found = std::find(waiting.begin(), waiting.end(), number);
    if (found != waiting.end()) {
        waiting.erase(found);
        --queue.waiting;
    }
}

microseconds estimateWait(const service_queue &queue, const std::string &team, int slots)
{
    std::size_t activeTeams = 0;
    for (const auto &[name, other] : queue.teams) {
        activeTeams += other.waiting.empty() && other.inFlight == 0 ? 0 : 1;
    }
    const auto own = queue.teams.find(team);
    const std::size_t ownWaiting = own == queue.teams.end() ? 0 : own->second.waiting.size();
    // Fair queueing serves one request of each other active team between two requests of a team.
    const std::size_t ahead =
        std::min(queue.waiting, (ownWaiting + 1) * std::max<std::size_t>(activeTeams, 1));
    return static_cast<microseconds>(ahead) * queue.meanAnswer / std::max(slots, 1);
}

} // namespace bramleygrade
