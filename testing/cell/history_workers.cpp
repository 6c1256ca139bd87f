#include <algorithm>

#include "testing/cell/history_state.h"

namespace bramleygrade::testing {

namespace {

constexpr cell::resources fullCapacity {8'000, 16'000, 0};
/// Longest time from a change to the heartbeat that tells it.
constexpr microseconds heartbeatInterval = 1'500 * millisecond;
/// Time that a scheduler has to learn of what the registry shows, by the users' rules.
constexpr microseconds contactTime = 3 * second;

/// Returns the wall-clock time, milliseconds since 1970.
std::int64_t startTimeAt(timestamp now)
{
    return 1'790'000'000'000 + now / millisecond;
}

} // namespace

void cell_history::state::addWorker()
{
    simulated_worker worker;
    worker.entry.id = "worker-" + std::to_string(++workerCount);
    worker.entry.service = "booking";
    worker.entry.address = worker.entry.id;
    worker.entry.rack = "rack-" + std::to_string(workerCount % 2);
    worker.entry.capacity = fullCapacity;
    worker.born = startTimeAt(now);
    worker.entry.born = worker.born;
    worker.guardsCapacity = injectedFaults.capacityChangeInterval > 0 && workerCount % 4 == 0;
    workers[worker.entry.id] = worker;
}

std::vector<cell::worker_entry> cell_history::state::readRegistry(const cell::scheduler &cell) const
{
    const bool holdsStoredEpoch = store.up && store.epoch == cell.epoch;
    std::vector<cell::worker_entry> entries;
    for (const auto &[id, worker] : workers) {
        const bool isListed = worker.up || now < worker.listedUntil;
        if (isListed && unregisteredWorkers.count(id) == 0
            && (holdsStoredEpoch || cell.workers.count(id) > 0)) {
            entries.push_back(worker.entry);
        }
    }
    return entries;
}

void cell_history::state::changeRandomCapacity()
{
    auto changed = workers.begin();
    std::advance(changed, drawBetween(0, static_cast<microseconds>(workers.size()) - 1));
    const bool isFull = capacityOf(changed->second) == fullCapacity;
    if (!isFull && drawBool(0.5)) {
        changeCapacity(changed->first, fullCapacity);
    } else if (drawBool(0.3)) {
        changeCapacity(changed->first, {drawBetween(0, 500), drawBetween(0, 500), 0});
    } else {
        changeCapacity(
            changed->first,
            {drawBetween(0, fullCapacity.cpuMilli), drawBetween(0, fullCapacity.memoryMb), 0});
    }
}

void cell_history::state::changeCapacity(const std::string &worker, const cell::resources &capacity)
{
    simulated_worker &changed = workers.at(worker);
    changed.formerCapacities.push_back(
        {capacityOf(changed), now + heartbeatInterval + contactTime});
    changed.capacity = capacity;
    scheduleAt(now + drawBetween(0, heartbeatInterval), [this, worker] { reportCapacity(worker); });
}

void cell_history::state::reportCapacity(const std::string &worker)
{
    constexpr microseconds retryInterval = 100 * millisecond;
    simulated_worker &reporting = workers.at(worker);
    if (!store.up || hiddenWorkers.count(worker) > 0) {
        // The worker can tell nobody, so that the capacity shown counts until it can.
        reporting.formerCapacities.push_back(
            {reporting.entry.capacity, now + retryInterval + contactTime});
        scheduleAt(now + retryInterval, [this, worker] { reportCapacity(worker); });
        return;
    }
    if (reporting.up) {
        reporting.entry.born = reporting.born;
    }
    if (reporting.capacity) {
        reporting.entry.capacity = *reporting.capacity;
    }
}

void cell_history::state::crashAndRestart(const std::string &id)
{
    /// Three heartbeats of silence, after which the registry drops an entry.
    constexpr microseconds listedAfterCrash = 3 * heartbeatInterval;
    /// Share of the restarts that take longer than a lease.
    constexpr double slowRestartShare = 0.15;
    simulated_worker &worker = workers.at(id);
    if (!worker.up) {
        return;
    }
    crashWorker(worker, record);
    ++counts.workerCrashes;
    worker.listedUntil = now + listedAfterCrash;
    const microseconds downTime = drawBool(slowRestartShare)
        ? drawBetween(5 * second, 9 * second)
        : drawBetween(50 * millisecond, 3 * second);
    scheduleAt(now + downTime, [this, id] { startAgain(id); });
}

bool cell_history::state::isConnectionRetried(const std::string &id)
{
    constexpr double retriedShare = 0.5;
    return injectedFaults.restartUnderIdShare > 0 && !workers.at(id).up && drawBool(retriedShare);
}

std::int64_t cell_history::state::drawStartTime(const simulated_worker &worker)
{
    constexpr double clockSetBackShare = 0.1;
    constexpr double namelessShare = 0.05;
    if (drawBool(clockSetBackShare)) {
        return std::max<std::int64_t>(worker.born - drawBetween(1, 10'000), 1);
    }
    return worker.born != 0 && drawBool(namelessShare) ? 0 : startTimeAt(now);
}

void cell_history::state::startAgain(const std::string &id)
{
    constexpr double otherKindShare = 0.2;
    simulated_worker &worker = workers.at(id);
    restartWorker(worker, drawStartTime(worker), now);
    if (drawBool(otherKindShare)) {
        worker.capacity = drawBool(0.5)
            ? fullCapacity
            : cell::resources {fullCapacity.cpuMilli / 2, fullCapacity.memoryMb / 2, 0};
    }
    scheduleAt(now + drawBetween(0, heartbeatInterval), [this, id] { reportCapacity(id); });
}

void cell_history::state::restartAndCutOff(const std::string &id)
{
    /// Time before a cut without a sign of the new life, for which answers are lost.
    constexpr microseconds answersLostBeforeCut = 200 * millisecond;
    const microseconds soonestCuts =
        injectedFaults.recutsAreHidden ? 60 * millisecond : 500 * millisecond;
    simulated_worker &worker = workers.at(id);
    if (!worker.up) {
        return;
    }
    crashWorker(worker, record);
    ++counts.workerCrashes;
    worker.listedUntil = distantFuture;
    if (injectedFaults.recutsAreHidden) {
        hiddenWorkers.insert(id);
    }
    const timestamp upAt = now + drawBetween(50 * millisecond, 600 * millisecond);
    scheduleAt(upAt, [this, id] {
        startAgain(id);
        reportCapacity(id);
    });
    // Soon enough that some lives are cut off before a scheduler has heard of them.
    const timestamp cutAt = std::max(upAt, schedulers.back()->pausedUntil)
        + (drawBool(0.5) ? drawBetween(0, soonestCuts) : drawBetween(0, 2'500 * millisecond));
    scheduleAt(cutAt, [this, id] {
        if (!faultsStopped) {
            partitionedWorkers.insert(id);
        }
    });
    if (injectedFaults.recutsAreHidden) {
        const timestamp mutedAt =
            drawBool(0.5) ? upAt : std::max(upAt, cutAt - answersLostBeforeCut);
        scheduleAt(mutedAt, [this, id] {
            if (!faultsStopped) {
                mutedWorkers.insert(id);
            }
        });
    }
    scheduleAt(cutAt + drawBetween(6 * second, 12 * second), [this, id] {
        partitionedWorkers.erase(id);
        hiddenWorkers.erase(id);
        mutedWorkers.erase(id);
    });
}

void cell_history::state::cutOffRestartedWorkers()
{
    constexpr double waveShare = 1.0 / 3;
    if (injectedFaults.recutsAreHidden) {
        // The scheduler stands still over the restarts, so that it orders starts on the clocks of
        // the former lives when it goes on.
        schedulers.back()->pausedUntil = now + drawBetween(300 * millisecond, 900 * millisecond);
    }
    for (const auto &[id, worker] : workers) {
        if (worker.up && drawBool(waveShare)) {
            restartAndCutOff(id);
        }
    }
}

void cell_history::state::restoreCapacities()
{
    for (const auto &[id, worker] : workers) {
        if (worker.capacity) {
            changeCapacity(id, fullCapacity);
        }
    }
}

} // namespace bramleygrade::testing
