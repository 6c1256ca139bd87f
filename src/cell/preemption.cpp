#include <algorithm>

#include "cell/placement.h"

namespace bramleygrade::cell {

namespace {

/// Time that the room of stopped runs is kept: the users' longest stop, and the advice beside it.
constexpr microseconds claimHeld = 2'500 * millisecond;
/// Pause between two tries for the same step.
constexpr microseconds preemptPause = 400 * millisecond;
/// A run this close to its end is left alone, percent.
constexpr int nearlyDone = 80;

/// A run that may be stopped for the gang.
struct victim
{
    task_id task;
    resources demand;
    int percent = 0;
};

/// A worker with what could be freed there.
struct target
{
    std::string id;
    std::int64_t places = 0;
    std::vector<victim> victims;
};

bool mayPreempt(const waiting_step &waiting, const job_state &other, timestamp now)
{
    const bool late = now > other.objectiveAt;
    return other.policy.priority > waiting.priority || (late && !waiting.late);
}

std::vector<victim> victimsOn(scheduler &cell, const waiting_step &waiting,
                              const worker_state &worker, timestamp now)
{
    std::vector<victim> victims;
    for (const task_id &id : worker.runs) {
        job_state *job = findJob(cell, id.job);
        const task_state *task = job == nullptr ? nullptr : findTask(*job, id);
        if (task == nullptr || task->phase != run_phase::running || job->finalPhase
            || !mayPreempt(waiting, *job, now)) {
            continue;
        }
        const step_spec &spec = stepOf(*job, id.step);
        if (spec.checkpointing && !spec.gang && !spec.longRunning && task->percent < nearlyDone) {
            victims.push_back({id, reservedDemand(spec), task->percent});
        }
    }
    // Those with the least progress first: the others end soon by themselves.
    std::sort(victims.begin(), victims.end(),
              [](const victim &a, const victim &b) { return a.percent < b.percent; });
    return victims;
}

target makeTarget(scheduler &cell, const waiting_step &waiting, const worker_headroom &room,
                  timestamp now)
{
    const step_spec &spec = stepSpec(waiting);
    target made;
    made.id = room.worker->entry.id;
    made.victims = victimsOn(cell, waiting, *room.worker, now);
    resources free = room.free;
    for (const victim &entry : made.victims) {
        free = free + entry.demand;
    }
    made.places = tasksThatFit(spec, free);
    if (spec.maxPerWorker > 0) {
        made.places = std::min<std::int64_t>(made.places, spec.maxPerWorker);
    }
    return made;
}

/// Stops just as many runs as `places` tasks of the step need beside what is free.
void freePlaces(scheduler &cell, const waiting_step &waiting, const target &chosen,
                std::int64_t places, resources free, timestamp now, orders &out)
{
    const step_spec &spec = stepSpec(waiting);
    for (const victim &entry : chosen.victims) {
        if (tasksThatFit(spec, free) >= places) {
            return;
        }
        job_state *job = findJob(cell, entry.task.job);
        task_state *task = findTask(*job, entry.task);
        free = free + entry.demand;
        ++cell.counters.preemptedRuns;
        out.events.push_back({"run_preempted", entry.task.job,
                              "worker=" + chosen.id + " for=" + waiting.job->spec.id
                                  + " percent=" + std::to_string(entry.percent)});
        stopRun(cell, entry.task, *task, now, out);
    }
}

} // namespace

std::vector<std::string> preemptForGang(scheduler &cell, const waiting_step &waiting,
                                        const headroom_map &rooms, timestamp now, orders &out)
{
    step_state &step = stepState(waiting);
    const step_spec &spec = stepSpec(waiting);
    if (now < step.preemptNotBefore || now < step.reservedUntil) {
        return {};
    }
    step.preemptNotBefore = now + preemptPause;
    std::vector<target> targets;
    std::int64_t places = 0;
    for (const auto &[id, room] : rooms) {
        const auto advice = step.advice.find(id);
        const bool allowed = !waiting.job->policy.needsAdvice
            || (advice != step.advice.end() && advice->second.allowed);
        if (allowed && isEligible(*waiting.job, spec, *room.worker)) {
            targets.push_back(makeTarget(cell, waiting, room, now));
            places += targets.back().places;
        }
    }
    auto missing = static_cast<std::int64_t>(waiting.tasks.size());
    if (places < missing) {
        return {};
    }
    std::sort(targets.begin(), targets.end(), [&](const target &a, const target &b) {
        return a.places - static_cast<std::int64_t>(a.victims.size()) / 4
            > b.places - static_cast<std::int64_t>(b.victims.size()) / 4;
    });
    std::vector<std::string> plan;
    step.claims.clear();
    step.reservedUntil = now + claimHeld;
    for (const target &chosen : targets) {
        const std::int64_t taken = std::min(missing, chosen.places);
        if (taken == 0) {
            continue;
        }
        freePlaces(cell, waiting, chosen, taken, rooms.at(chosen.id).free, now, out);
        const resources demand = reservedDemand(spec);
        step.claims[chosen.id] = {demand.cpuMilli * taken, demand.memoryMb * taken,
                                  demand.accelerators * taken};
        plan.push_back(chosen.id);
        missing -= taken;
    }
    return plan;
}

} // namespace bramleygrade::cell
