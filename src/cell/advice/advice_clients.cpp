#include "cell/advice/advice_clients.h"

#include <algorithm>
#include <cmath>

namespace bramleygrade::cell {

namespace {

/// One of this many clients, rounded up, is kept for short calls.
constexpr std::size_t shortClientDivisor = 6;
/// Limit of concurrent short calls per client; a second one hides the network round trip.
constexpr int maxOpenShortCalls = 2;
/// A job queue gets this many times as many clients for long calls as one of the next lower
/// priority, while calls of both wait.
constexpr double shareOfNextPriority = 2;

/// Returns the client in [first, last) with the fewest open calls, if that is below `limit`.
std::optional<std::size_t> findLeastBusy(const std::vector<advice_client_load> &clients,
                                         std::size_t first, std::size_t last, int limit)
{
    std::optional<std::size_t> best;
    for (std::size_t index = first; index < last; ++index) {
        if (!clients[index].inBackoff && clients[index].openCalls < limit) {
            limit = clients[index].openCalls;
            best = index;
        }
    }
    return best;
}

} // namespace

std::optional<std::size_t> chooseAdviceClient(const std::vector<advice_client_load> &clients,
                                              bool longCall)
{
    const std::size_t count = clients.size();
    const std::size_t kept = (count + shortClientDivisor - 1) / shortClientDivisor;
    // A single client makes both kinds.
    const std::size_t longCallClients = count < 2 ? count : count - kept;
    if (longCall) {
        return findLeastBusy(clients, 0, longCallClients, 1);
    }
    const auto keptClient = findLeastBusy(clients, count - kept, count, maxOpenShortCalls);
    return keptClient ? keptClient : findLeastBusy(clients, 0, count - kept, 1);
}

advice_queue::iterator findNextAdvice(advice_queue &waiting,
                                      const std::map<std::string, int> &openCalls)
{
    const auto rankOf = [&](const advice_order &order) {
        const auto found = openCalls.find(order.queue);
        const int open = found == openCalls.end() ? 0 : found->second;
        return std::tuple(order.late, !order.holdsCapacity,
                          (open + 1) * std::pow(shareOfNextPriority, order.queuePriority),
                          order.beyondShare, order.waitsSince);
    };
    return std::min_element(waiting.begin(), waiting.end(), [&](const auto &a, const auto &b) {
        return rankOf(a.second) < rankOf(b.second);
    });
}

} // namespace bramleygrade::cell
