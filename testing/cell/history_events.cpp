#include <algorithm>

#include "testing/cell/history_state.h"

namespace bramleygrade::testing {

cell::queue_policy makePolicy(int priority, bool needsAdvice)
{
    cell::queue_policy policy;
    policy.name = "queue-" + std::to_string(priority);
    policy.priority = priority;
    policy.service = "booking";
    policy.maxAttempts = 3;
    policy.slackFactor = 2;
    policy.latencyTarget = second;
    policy.needsAdvice = needsAdvice;
    policy.advice = {5 * millisecond, millisecond, 500 * millisecond};
    return policy;
}

microseconds cell_history::state::drawDuration(bool mayBeLong)
{
    const double longShare = mayBeLong ? injectedFaults.longTaskShare : 0;
    return longShare > 0 && drawBool(longShare) ? drawBetween(6 * second, 12 * second)
                                                : drawBetween(100 * millisecond, 3 * second);
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
    const cell::queue_policy policy =
        makePolicy(static_cast<int>(drawBetween(0, 1)), injectedFaults.allowedWorkerShare > 0);
    spec.queue = policy.name;
    const int steps = static_cast<int>(drawBetween(1, 3));
    for (int index = 0; index < steps; ++index) {
        cell::step_spec step;
        step.count = static_cast<int>(drawBetween(1, injectedFaults.maxTasksPerStep));
        step.demand = {drawBetween(500, 4'000), drawBetween(100, 5'000), 0};
        step.estimate = second;
        step.gang = drawBool(injectedFaults.gangStepShare);
        step.checkpointing = drawBool(injectedFaults.checkpointingStepShare);
        // Draws nothing where no step scavenges, so that the other histories stay as they are.
        step.scavenging =
            injectedFaults.scavengingStepShare > 0 && drawBool(injectedFaults.scavengingStepShare);
        if (index > 0) {
            step.after.push_back(index - 1);
        }
        // All members of a gang end at the same time.
        const microseconds sharedDuration = drawBetween(100 * millisecond, 3 * second);
        for (int task = 0; task < step.count; ++task) {
            const bool fails = drawBool(injectedFaults.failingTaskShare) && !step.gang;
            record.behaviour[{spec.id, 0, index, task}] = {
                step.gang ? sharedDuration : drawDuration(!fails),
                fails ? static_cast<int>(drawBetween(1, 3)) : 0};
        }
        spec.steps.push_back(step);
    }
    if (injectedFaults.crashingJobShare > 0 && drawBool(injectedFaults.crashingJobShare)) {
        record.behaviour[{spec.id, 0, 0, 0}].crashesWorker = true;
    }
    if (injectedFaults.capChangeInterval > 0) {
        spec.team = drawTeam(spec);
    }
    record.jobs[spec.id] = spec;
    record.maxAttempts[spec.id] = policy.maxAttempts;
    if (policy.needsAdvice) {
        record.jobsWithAdvice.insert(spec.id);
    }
    cell::acceptJob((*leader)->cell, spec, policy, now);
    ++counts.jobs;
    if (drawBool(injectedFaults.cancelledJobShare)) {
        const std::string id = spec.id;
        scheduleAt(now + drawBetween(0, 3 * second), [this, id] {
            record.cancelledAt[id] = now;
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
        if (injectedFaults.restartUnderIdShare > 0
            && drawBool(injectedFaults.restartUnderIdShare)) {
            crashAndRestart(victim->first);
            return;
        }
        crashWorker(victim->second, record);
        ++counts.workerCrashes;
        scheduleAt(now + second, [this] { addWorker(); });
    });
    scheduleRecurring(injectedFaults.restartWaveInterval, [this] {
        constexpr double waveShare = 1.0 / 3;
        for (const auto &[id, worker] : workers) {
            if (worker.up && drawBool(waveShare)) {
                crashAndRestart(id);
            }
        }
    });
    scheduleRecurring(injectedFaults.recutWaveInterval, [this] { cutOffRestartedWorkers(); });
    scheduleRecurring(injectedFaults.capacityChangeInterval, [this] { changeRandomCapacity(); });
    scheduleRecurring(injectedFaults.capChangeInterval, [this] {
        constexpr double shares[] = {1.0, 1.0, 0.5, 0.25};
        const auto draw = [&] { return shares[drawBetween(0, 3)]; };
        const double ofFirst = draw();
        storeConfig(ofFirst, draw());
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

void cell_history::state::cutOffWorker()
{
    if (faultsStopped || workers.empty() || !drawBool(injectedFaults.successorPartitionShare)) {
        return;
    }
    auto victim = workers.begin();
    std::advance(victim, drawBetween(0, static_cast<microseconds>(workers.size()) - 1));
    const std::string id = victim->first;
    workersCutOffFrom.emplace(id, store.epoch);
    scheduleAt(now + drawBetween(second, 12 * second), [this, id] { workersCutOffFrom.erase(id); });
}

bool cell_history::state::isReachable(const std::string &worker, std::int64_t epoch) const
{
    const auto cutOff = workersCutOffFrom.find(worker);
    return workers.count(worker) > 0 && partitionedWorkers.count(worker) == 0
        && (cutOff == workersCutOffFrom.end() || epoch < cutOff->second);
}

bool cell_history::state::isAllowed(const cell::task_id &step, const std::string &worker) const
{
    if (injectedFaults.allowedWorkerShare == 0) {
        return true;
    }
    constexpr std::size_t parts = 1'000;
    const std::string text = step.job + "." + std::to_string(step.step) + "@" + worker;
    return std::hash<std::string> {}(text) % parts
        < static_cast<std::size_t>(injectedFaults.allowedWorkerShare * parts);
}

std::int64_t cell_history::state::countFreeSlots(const cell::task_id &task) const
{
    const cell::resources demand =
        record.jobs.at(task.job).steps[static_cast<std::size_t>(task.step)].demand;
    std::int64_t slots = 0;
    for (const auto &[id, worker] : workers) {
        if (!worker.up || !isAllowed(task, id)) {
            continue;
        }
        cell::resources free = worker.entry.capacity;
        for (const auto &[running, run] : worker.runs) {
            free = free - run.demand;
        }
        slots += std::min(free.cpuMilli / demand.cpuMilli, free.memoryMb / demand.memoryMb);
    }
    return slots;
}

bool cell_history::state::isHalfIdle() const
{
    std::int64_t used = 0;
    std::int64_t capacity = 0;
    for (const auto &[id, worker] : workers) {
        capacity += worker.up ? worker.entry.capacity.cpuMilli : 0;
        for (const auto &[running, run] : worker.runs) {
            used += run.demand.cpuMilli;
        }
    }
    return 2 * used < capacity;
}

bool cell_history::state::isLeftWaiting(const std::string &job) const
{
    const std::vector<cell::step_spec> &steps = record.jobs.at(job).steps;
    std::optional<cell::task_id> next;
    bool isPrecedingDone = true;
    for (int step = 0; step < static_cast<int>(steps.size()) && isPrecedingDone; ++step) {
        for (int index = 0; index < steps[static_cast<std::size_t>(step)].count; ++index) {
            const cell::task_id task {job, 0, step, index};
            const auto running = record.runningOn.find(task);
            if (running != record.runningOn.end() && !running->second.empty()) {
                return false;
            }
            if (record.doneTasks.count(task) == 0) {
                isPrecedingDone = false;
                next = next ? next : task;
            }
        }
    }
    if (!next) {
        return false;
    }
    const cell::step_spec &step = steps[static_cast<std::size_t>(next->step)];
    const std::int64_t needed = step.gang ? step.count : 1;
    return countFreeSlots(*next) >= 2 * needed;
}

void cell_history::state::checkWaitingJobs()
{
    constexpr microseconds checkInterval = 100 * millisecond;
    constexpr microseconds settleTime = 3 * second;
    constexpr microseconds maxWaiting = 3 * second;
    scheduleAt(now + checkInterval, [this] { checkWaitingJobs(); });
    if (!faultsStopped || now < lastTakeoverAt + settleTime) {
        waitingSince.clear();
        return;
    }
    const bool isIdle = isHalfIdle();
    for (const std::string &id : accepted) {
        const bool isLeft = isIdle && store.ended.count(id) == 0
            && record.cancelledAt.count(id) == 0 && isLeftWaiting(id);
        if (!isLeft) {
            waitingSince.erase(id);
            continue;
        }
        const timestamp since = waitingSince.emplace(id, now).first->second;
        if (now >= since + maxWaiting) {
            record.violations.push_back("accepted job " + id + " has nothing running for 3 s, "
                                        + std::to_string((now - lastTakeoverAt) / millisecond)
                                        + " ms after the last takeover");
            waitingSince.erase(id);
        }
    }
}

void cell_history::state::checkPendingJobs(const cell::scheduler &cell)
{
    std::map<std::string, std::int64_t> waiting;
    for (const auto &[id, job] : cell.jobs) {
        if (!job.stored || job.finalPhase || record.begunJobs.count(id) > 0) {
            continue;
        }
        ++waiting[job.spec.queue];
        if (cell::visiblePhase(job) != cell::job_phase::queued) {
            record.violations.push_back("job " + id + " is shown as begun, but no worker has"
                                        + " begun a task of it");
        }
    }
    const auto pending = cell::countPendingByQueue(cell);
    for (const auto &[queue, count] : waiting) {
        const auto counted = pending.find(queue);
        if (counted == pending.end() || counted->second < count) {
            record.violations.push_back("queue " + queue + ": " + std::to_string(count)
                                        + " jobs wait, fewer are pending");
        }
    }
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
    counts.cappedStarts = record.cappedStarts;
    counts.startsNearCap = record.startsNearCap;
    counts.startsRefusedForCapacity = record.startsRefusedForCapacity;
}

} // namespace bramleygrade::testing
