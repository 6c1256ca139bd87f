#include <algorithm>

#include "testing/cell/history_state.h"

namespace bramleygrade::testing {

cell::queue_policy makePolicy(int priority)
{
    cell::queue_policy policy;
    policy.name = "queue-" + std::to_string(priority);
    policy.priority = priority;
    policy.service = "booking";
    policy.maxAttempts = 3;
    policy.slackFactor = 2;
    policy.latencyTarget = second;
    return policy;
}

void cell_history::state::submitJob()
{
    const auto leader = std::find_if(schedulers.rbegin(), schedulers.rend(),
                                     [&](const auto &candidate) { return candidate->alive; });
    if (leader == schedulers.rend()) {
        return;
    }
    cell::job_spec spec;
    spec.id = "job" + std::to_string(++jobCount);
    const cell::queue_policy policy = makePolicy(static_cast<int>(drawBetween(0, 1)));
    spec.queue = policy.name;
    const int steps = static_cast<int>(drawBetween(1, 3));
    for (int index = 0; index < steps; ++index) {
        cell::step_spec step;
        step.count = static_cast<int>(drawBetween(1, 5));
        step.demand = {drawBetween(500, 4'000), drawBetween(100, 5'000), 0};
        step.estimate = second;
        step.gang = drawBool(injectedFaults.gangStepShare);
        step.checkpointing = drawBool(injectedFaults.checkpointingStepShare);
        if (index > 0) {
            step.after.push_back(index - 1);
        }
        // All members of a gang end at the same time.
        const microseconds sharedDuration = drawBetween(100 * millisecond, 3 * second);
        for (int task = 0; task < step.count; ++task) {
            const bool fails = drawBool(injectedFaults.failingTaskShare) && !step.gang;
            record.behaviour[{spec.id, 0, index, task}] = {
                step.gang ? sharedDuration : drawBetween(100 * millisecond, 3 * second),
                fails ? static_cast<int>(drawBetween(1, 3)) : 0};
        }
        spec.steps.push_back(step);
    }
    record.jobs[spec.id] = spec;
    record.maxAttempts[spec.id] = policy.maxAttempts;
    cell::acceptJob((*leader)->cell, spec, policy, now);
    ++counts.jobs;
    if (drawBool(injectedFaults.cancelledJobShare)) {
        const std::string id = spec.id;
        scheduleAt(now + drawBetween(0, 3 * second), [this, id] {
            for (const auto &scheduler : schedulers) {
                cell::orders out;
                if (scheduler->alive && cell::cancelJob(scheduler->cell, id, now, out)) {
                    sendOrders(scheduler, out);
                }
            }
        });
    }
}

void cell_history::state::scheduleFaults()
{
    scheduleRecurring(injectedFaults.schedulerCrashInterval, [this] {
        schedulers.back()->alive = false;
        scheduleAt(now + drawBetween(100 * millisecond, 2 * second), [this] { takeOver(); });
    });
    scheduleRecurring(injectedFaults.schedulerPauseInterval, [this] {
        // The paused scheduler resumes with stale state while its successor is active.
        schedulers.back()->pausedUntil = now + drawBetween(second, 4 * second);
        scheduleAt(now + drawBetween(700 * millisecond, second), [this] { takeOver(); });
    });
    scheduleRecurring(injectedFaults.workerCrashInterval, [this] {
        auto victim = workers.begin();
        std::advance(victim, drawBetween(0, static_cast<microseconds>(workers.size()) - 1));
        crashWorker(victim->second, record);
        ++counts.workerCrashes;
        scheduleAt(now + second, [this] { addWorker(); });
    });
    scheduleRecurring(injectedFaults.workerPartitionInterval, [this] {
        auto victim = workers.begin();
        std::advance(victim, drawBetween(0, static_cast<microseconds>(workers.size()) - 1));
        const std::string id = victim->first;
        partitionedWorkers.insert(id);
        scheduleAt(now + drawBetween(second, 12 * second),
                   [this, id] { partitionedWorkers.erase(id); });
    });
    scheduleRecurring(injectedFaults.storeOutageInterval, [this] {
        // Registry entries of some workers lapse during the outage and return up to 2 s after it.
        store.up = false;
        for (const auto &[id, worker] : workers) {
            if (drawBool(injectedFaults.lapsedEntryShare)) {
                unregisteredWorkers.insert(id);
            }
        }
        const timestamp storeBackAt = now + drawBetween(second, 5 * second);
        scheduleAt(storeBackAt, [this] { store.up = true; });
        scheduleAt(storeBackAt + drawBetween(0, 2 * second),
                   [this] { unregisteredWorkers.clear(); });
    });
}

void cell_history::state::checkFinalState()
{
    for (const std::string &id : accepted) {
        const auto ended = store.ended.find(id);
        if (ended == store.ended.end()) {
            record.violations.push_back("accepted job " + id
                                        + " did not end after the faults stopped");
            continue;
        }
        if (ended->second == cell::job_phase::completed) {
            ++counts.completed;
            for (std::size_t step = 0; step < record.jobs.at(id).steps.size(); ++step) {
                for (int task = 0; task < record.jobs.at(id).steps[step].count; ++task) {
                    if (record.doneTasks.count({id, 0, static_cast<int>(step), task}) == 0) {
                        record.violations.push_back(
                            "job " + id
                            + " is stored as completed, but not all of its tasks were done");
                    }
                }
            }
        }
    }
    counts.starts = record.starts;
}

} // namespace bramleygrade::testing
