#include <algorithm>

#include "testing/cell/history_state.h"

namespace bramleygrade::testing {

namespace {

constexpr cell::resources fullCapacity {8'000, 16'000, 0};
/// Longest time from a change to the heartbeat that tells it.
constexpr microseconds heartbeatInterval = 1'500 * millisecond;
/// Time that a scheduler has to learn of what the registry shows, by the users' rules.
constexpr microseconds contactTime = 3 * second;

} // namespace

void cell_history::state::addWorker()
{
    simulated_worker worker;
    worker.entry.id = "worker-" + std::to_string(++workerCount);
    worker.entry.service = "booking";
    worker.entry.address = worker.entry.id;
    worker.entry.rack = "rack-" + std::to_string(workerCount % 2);
    worker.entry.capacity = fullCapacity;
    worker.guardsCapacity = injectedFaults.capacityChangeInterval > 0 && workerCount % 4 == 0;
    workers[worker.entry.id] = worker;
}

std::vector<cell::worker_entry> cell_history::state::readRegistry(const cell::scheduler &cell) const
{
    const bool holdsStoredEpoch = store.up && store.epoch == cell.epoch;
    std::vector<cell::worker_entry> entries;
    for (const auto &[id, worker] : workers) {
        if (worker.up && unregisteredWorkers.count(id) == 0
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
    if (!store.up) {
        // The worker can tell nobody, so that the capacity shown counts until it can.
        reporting.formerCapacities.push_back(
            {reporting.entry.capacity, now + retryInterval + contactTime});
        scheduleAt(now + retryInterval, [this, worker] { reportCapacity(worker); });
        return;
    }
    if (reporting.capacity) {
        reporting.entry.capacity = *reporting.capacity;
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
