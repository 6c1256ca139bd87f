#include <algorithm>

#include "testing/cell/history_state.h"

namespace bramleygrade::testing {

namespace {

constexpr microseconds crashDelay = 10 * millisecond;
/// Bounds of the time until another worker is up at the address of one that crashed.
constexpr microseconds minRestartTime = 2 * second;
constexpr microseconds maxRestartTime = 4 * second;
/// Crashes of workers under a task after which its job may be failed.
constexpr int crashesToGiveUp = 2;

} // namespace

void cell_history::state::replaceWorker(const std::string &id)
{
    if (injectedFaults.restartUnderIdShare > 0 && drawBool(injectedFaults.restartUnderIdShare)) {
        crashAndRestart(id);
        return;
    }
    simulated_worker &worker = workers.at(id);
    if (!worker.up) {
        return;
    }
    crashWorker(worker, record);
    ++counts.workerCrashes;
    const std::string address = worker.entry.address;
    scheduleAt(now + drawBetween(minRestartTime, maxRestartTime), [this, address] {
        addWorker();
        workers.at("worker-" + std::to_string(workerCount)).entry.address = address;
    });
}

simulated_worker &cell_history::state::findAnswering(const std::string &id)
{
    simulated_worker &known = workers.at(id);
    if (known.up) {
        return known;
    }
    const auto other = std::find_if(workers.begin(), workers.end(), [&](const auto &entry) {
        return entry.second.up && entry.second.entry.address == known.entry.address;
    });
    return other == workers.end() ? known : other->second;
}

cell::order_outcome cell_history::state::startTask(const cell::start_order &order, timestamp sentAt)
{
    const cell::order_outcome outcome =
        startRun(findAnswering(order.worker), record, order, now, sentAt);
    if (outcome == cell::order_outcome::accepted && record.behaviour[order.task].crashesWorker) {
        scheduleAt(now + crashDelay, [this, id = order.worker] { replaceWorker(id); });
    }
    return outcome;
}

void cell_history::state::checkFailedJobs()
{
    for (const std::string &id : accepted) {
        const auto ended = store.ended.find(id);
        if (ended == store.ended.end() || ended->second != cell::job_phase::failed) {
            continue;
        }
        bool mayFail = false;
        bool hasFault = false;
        const auto &steps = record.jobs.at(id).steps;
        for (int step = 0; step < static_cast<int>(steps.size()); ++step) {
            for (int index = 0; index < steps[static_cast<std::size_t>(step)].count; ++index) {
                const cell::task_id task {id, 0, step, index};
                const task_behaviour &behaviour = record.behaviour[task];
                const bool fails = behaviour.failingRuns >= record.maxAttempts.at(id);
                mayFail = mayFail || fails || record.crashes[task] >= crashesToGiveUp;
                hasFault = hasFault || fails || behaviour.crashesWorker;
            }
        }
        counts.failedInnocent += hasFault ? 0 : 1;
        if (!mayFail) {
            record.violations.push_back("job " + id + " is stored as failed without cause");
        }
    }
}

} // namespace bramleygrade::testing
