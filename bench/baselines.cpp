#include "bench/baselines.h"

#include <algorithm>
#include <random>

namespace bramleygrade {

namespace {

constexpr microseconds listLag = 2 * second;
/// The shortest-queue policy uses queue lengths that are up to this old.
constexpr microseconds queueReportInterval = second;

struct queueing_worker
{
    /// Time at which each slot becomes free.
    std::vector<timestamp> slotFreeAt;
    /// Backlog at the last report.
    microseconds reportedBacklog = 0;
    bool isInLostDomain = false;
};

microseconds backlogOf(const queueing_worker &worker, timestamp now)
{
    const timestamp free = *std::min_element(worker.slotFreeAt.begin(), worker.slotFreeAt.end());
    return std::max<microseconds>(free - now, 0);
}

std::size_t chooseWorker(std::vector<queueing_worker> &workers, baseline_policy policy,
                         bool isLossKnown, std::size_t &cursor, std::mt19937_64 &random)
{
    const auto isUsable = [&](std::size_t index) {
        return !isLossKnown || !workers[index].isInLostDomain;
    };
    if (policy == baseline_policy::roundRobin) {
        do {
            cursor = (cursor + 1) % workers.size();
        } while (!isUsable(cursor));
        return cursor;
    }
    std::size_t chosen = 0;
    do {
        chosen = random() % workers.size();
    } while (!isUsable(chosen));
    if (policy == baseline_policy::shortestQueueStale) {
        for (std::size_t offset = 0; offset < workers.size(); ++offset) {
            // The scan starts at a random worker, so that ties are broken randomly.
            const std::size_t index = (chosen + offset) % workers.size();
            if (isUsable(index)
                && workers[index].reportedBacklog < workers[chosen].reportedBacklog) {
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
    std::vector<std::size_t> cursors(static_cast<std::size_t>(load.entries));
    for (std::size_t &cursor : cursors) {
        cursor = random() % workers.size();
    }
    load_outcome result;
    timestamp reportedAt = 0;
    const timestamp faultFrom = load.length / 3;
    for (const offered_request &offered : drawRequests(load)) {
        ++result.offered;
        while (offered.at >= reportedAt + queueReportInterval) {
            reportedAt += queueReportInterval;
            for (queueing_worker &worker : workers) {
                worker.reportedBacklog = backlogOf(worker, reportedAt);
            }
        }
        const bool isFaulty = offered.at >= faultFrom;
        const bool isLossKnown = offered.at >= faultFrom + listLag;
        std::size_t &cursor = cursors[static_cast<std::size_t>(offered.entry)];
        const std::size_t chosen = chooseWorker(workers, policy, isLossKnown, cursor, random);
        queueing_worker &worker = workers[chosen];
        if (isFaulty && (worker.isInLostDomain || static_cast<int>(chosen) < load.failingWorkers)) {
            ++result.failed;
            continue;
        }
        const bool isSlow = isFaulty && static_cast<int>(chosen) < load.slowWorkers;
        const auto slot = std::min_element(worker.slotFreeAt.begin(), worker.slotFreeAt.end());
        // Delay in the entry and the network, distributed as in cell_fake.
        const microseconds networkDelay = static_cast<microseconds>(random() % (2 * millisecond))
            + 200 + static_cast<microseconds>(random() % 1500);
        const timestamp startAt = std::max(offered.at + networkDelay, *slot);
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
