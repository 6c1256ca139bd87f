#include "bench/baselines.h"

#include <algorithm>
#include <random>

namespace bramleygrade {

namespace {

constexpr microseconds listLag = 2 * second;
/// Queue lengths are this old where the shortest queue is chosen.
constexpr microseconds queueInformationAge = second;

struct queueing_worker
{
    /// When each slot is free again.
    std::vector<timestamp> slotFreeAt;
    /// Backlog as it was last told.
    microseconds toldBacklog = 0;
    bool isInLostDomain = false;
};

microseconds backlogOf(const queueing_worker &worker, timestamp now)
{
    const timestamp free = *std::min_element(worker.slotFreeAt.begin(), worker.slotFreeAt.end());
    return std::max<microseconds>(free - now, 0);
}

std::size_t choose(std::vector<queueing_worker> &workers, baseline_policy policy, bool isLossKnown,
                   std::size_t &turn, std::mt19937_64 &random)
{
    const auto isUsable = [&](std::size_t index) {
        return !isLossKnown || !workers[index].isInLostDomain;
    };
    if (policy == baseline_policy::roundRobin) {
        do {
            turn = (turn + 1) % workers.size();
        } while (!isUsable(turn));
        return turn;
    }
    std::size_t chosen = 0;
    do {
        chosen = random() % workers.size();
    } while (!isUsable(chosen));
    if (policy == baseline_policy::shortestQueueStale) {
        for (std::size_t offset = 0; offset < workers.size(); ++offset) {
            // Ties go to a different worker each time.
            const std::size_t index = (chosen + offset) % workers.size();
            if (isUsable(index) && workers[index].toldBacklog < workers[chosen].toldBacklog) {
                chosen = index;
            }
        }
    }
    return chosen;
}

} // namespace

std::vector<baseline_policy> allBaselines()
{
    return {baseline_policy::randomChoice, baseline_policy::roundRobin,
            baseline_policy::shortestQueueStale};
}

const char *nameOf(baseline_policy policy)
{
    switch (policy) {
    case baseline_policy::randomChoice:
        return "random";
    case baseline_policy::roundRobin:
        return "round robin";
    case baseline_policy::shortestQueueStale:
        return "shortest, stale";
    }
    return "";
}

load_outcome runBaseline(const offered_load &load, baseline_policy policy)
{
    std::mt19937_64 random(load.seed + 1);
    std::vector<queueing_worker> workers(static_cast<std::size_t>(load.workers));
    for (std::size_t index = 0; index < workers.size(); ++index) {
        workers[index].slotFreeAt.resize(static_cast<std::size_t>(load.slots));
        workers[index].isInLostDomain = load.losesDomain && (index / 8) % 3 == 0;
    }
    std::vector<std::size_t> turns(static_cast<std::size_t>(load.entries));
    for (std::size_t &turn : turns) {
        turn = random() % workers.size();
    }
    load_outcome result;
    timestamp toldAt = 0;
    const timestamp faultFrom = load.length / 3;
    for (const offered_request &offered : drawRequests(load)) {
        ++result.offered;
        while (offered.at >= toldAt + queueInformationAge) {
            toldAt += queueInformationAge;
            for (queueing_worker &worker : workers) {
                worker.toldBacklog = backlogOf(worker, toldAt);
            }
        }
        const bool isFaulty = offered.at >= faultFrom;
        const bool isLossKnown = offered.at >= faultFrom + listLag;
        std::size_t &turn = turns[static_cast<std::size_t>(offered.entry)];
        const std::size_t chosen = choose(workers, policy, isLossKnown, turn, random);
        queueing_worker &worker = workers[chosen];
        if (isFaulty && (worker.isInLostDomain || static_cast<int>(chosen) < load.failingWorkers)) {
            ++result.failed;
            continue;
        }
        const bool isSlow = isFaulty && static_cast<int>(chosen) < load.slowWorkers;
        const auto slot = std::min_element(worker.slotFreeAt.begin(), worker.slotFreeAt.end());
        // The way through the entry and the network, as the fakes draw it.
        const microseconds way = static_cast<microseconds>(random() % (2 * millisecond)) + 200
            + static_cast<microseconds>(random() % 1500);
        const timestamp startAt = std::max(offered.at + way, *slot);
        if (startAt - offered.at > load.deadline) {
            ++result.missed;
            continue;
        }
        *slot = startAt + load.answerTime * offered.workPerMille / 1000 * (isSlow ? 10 : 1);
        result.waits.push_back(startAt - offered.at);
        if (!offered.isFromBurstingTeam) {
            result.steadyTeamWaits.push_back(startAt - offered.at);
        }
    }
    return result;
}

} // namespace bramleygrade
