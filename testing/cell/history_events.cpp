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

void cell_history::state::submit()
{
    const auto leader = std::find_if(schedulers.rbegin(), schedulers.rend(),
                                     [&](const auto &entry) { return entry->alive; });
    if (leader == schedulers.rend()) {
        return;
    }
    cell::job_spec spec;
    spec.id = "job" + std::to_string(++nextJob);
    const cell::queue_policy policy = makePolicy(static_cast<int>(between(0, 1)));
    spec.queue = policy.name;
    const int steps = static_cast<int>(between(1, 3));
    for (int index = 0; index < steps; ++index) {
        cell::step_spec step;
        step.count = static_cast<int>(between(1, 5));
        step.demand = {between(500, 4'000), between(100, 5'000), 0};
        step.estimate = second;
        step.gang = chance(trouble.gangs);
        step.checkpointing = chance(trouble.checkpointing);
        if (index > 0) {
            step.after.push_back(index - 1);
        }
        // The members of a gang end together.
        const microseconds shared = between(100 * millisecond, 3 * second);
        for (int task = 0; task < step.count; ++task) {
            const bool fails = chance(trouble.failingTasks) && !step.gang;
            ledger.truth[{spec.id, 0, index, task}] = {
                step.gang ? shared : between(100 * millisecond, 3 * second),
                fails ? static_cast<int>(between(1, 3)) : 0};
        }
        spec.steps.push_back(step);
    }
    ledger.jobs[spec.id] = spec;
    ledger.maxAttempts[spec.id] = policy.maxAttempts;
    cell::acceptJob((*leader)->cell, spec, policy, now);
    ++counts.jobs;
    if (chance(trouble.cancelledJobs)) {
        const std::string id = spec.id;
        at(now + between(0, 3 * second), [this, id] {
            for (const auto &scheduler : schedulers) {
                cell::orders out;
                if (scheduler->alive && cell::cancelJob(scheduler->cell, id, now, out)) {
                    carryOut(scheduler, out);
                }
            }
        });
    }
}

void cell_history::state::startTrouble()
{
    every(trouble.schedulerDeathEvery, [this] {
        schedulers.back()->alive = false;
        at(now + between(100 * millisecond, 2 * second), [this] { takeOver(); });
    });
    every(trouble.schedulerPauseEvery, [this] {
        // The paused one wakes with old beliefs beside its successor.
        schedulers.back()->pausedUntil = now + between(second, 4 * second);
        at(now + between(700 * millisecond, second), [this] { takeOver(); });
    });
    every(trouble.workerCrashEvery, [this] {
        auto victim = workers.begin();
        std::advance(victim, between(0, static_cast<microseconds>(workers.size()) - 1));
        crash(victim->second, ledger);
        ++counts.crashes;
        at(now + second, [this] { addWorker(); });
    });
    every(trouble.workerCutEvery, [this] {
        auto victim = workers.begin();
        std::advance(victim, between(0, static_cast<microseconds>(workers.size()) - 1));
        const std::string id = victim->first;
        cutOff.insert(id);
        at(now + between(second, 12 * second), [this, id] { cutOff.erase(id); });
    });
    every(trouble.storeOutageEvery, [this] {
        // Workers' entries lapse meanwhile, and are back some time after its return.
        store.up = false;
        for (const auto &[id, worker] : workers) {
            if (chance(trouble.lapsingEntries)) {
                unlisted.insert(id);
            }
        }
        const timestamp back = now + between(second, 5 * second);
        at(back, [this] { store.up = true; });
        at(back + between(0, 2 * second), [this] { unlisted.clear(); });
    });
}

void cell_history::state::checkEnd()
{
    for (const std::string &id : accepted) {
        const auto ended = store.ended.find(id);
        if (ended == store.ended.end()) {
            ledger.faults.push_back("accepted job " + id + " has not ended");
            continue;
        }
        if (ended->second == cell::job_phase::completed) {
            ++counts.completed;
            for (std::size_t step = 0; step < ledger.jobs.at(id).steps.size(); ++step) {
                for (int task = 0; task < ledger.jobs.at(id).steps[step].count; ++task) {
                    if (ledger.doneEnded.count({id, 0, static_cast<int>(step), task}) == 0) {
                        ledger.faults.push_back("job " + id + " completed before all was done");
                    }
                }
            }
        }
    }
    counts.starts = ledger.starts;
}

} // namespace bramleygrade::testing
