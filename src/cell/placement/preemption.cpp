#include <algorithm>

#include "cell/placement/placement.h"
#include "cell/placement/preemption_gain.h"

namespace bramleygrade::cell {

namespace {

/// Time for which the capacity of preempted runs is reserved: the longest stop by the users' rules,
/// during which advice is requested as well.
constexpr microseconds reservationDuration = 2'500 * millisecond;
/// Pause before the next preemption for the same step. It doubles with each one that did not let
/// the gang start, up to the given number of times.
constexpr microseconds preemptRetryInterval = 400 * millisecond;
constexpr int maxPauseDoublings = 5;
/// Runs with at least this progress are not preempted.
constexpr int nearlyDonePercent = 80;

/// Runs are preempted for a gang once the time left until its objective is below this multiple of
/// its expected time to the end.
constexpr double urgencyFactor = 1.5;

/// A run that may be preempted for the gang.
struct victim
{
    task_id task;
    resources demand;
    int percent = 0;
    /// Processor time thrown away if the run is stopped; computed only where speeds are used.
    std::int64_t lost = 0;
};

/// A worker with the runs that may be preempted there; `slots`: tasks of the gang that would fit
/// then.
struct preemption_target
{
    std::string id;
    std::int64_t slots = 0;
    std::vector<victim> victims;
};

bool mayPreempt(const waiting_step &waiting, const job_state &other, timestamp now)
{
    if (waiting.beyondShare && !other.spec.beyondShare) {
        return false;
    }
    const bool late = now > other.objectiveAt;
    return other.policy.priority > waiting.priority || (late && !waiting.late);
}

std::vector<victim> findVictims(scheduler &cell, const waiting_step &waiting,
                                const worker_state &worker, timestamp now)
{
    std::vector<victim> victims;
    const bool byGain = usesSpeeds(cell, waiting);
    for (const task_id &id : worker.life.runs) {
        job_state *job = findJob(cell, id.job);
        const task_state *task = job == nullptr ? nullptr : findTask(*job, id);
        if (task == nullptr || task->phase != run_phase::running || job->finalPhase
            || !mayPreempt(waiting, *job, now)) {
            continue;
        }
        if (byGain && isProtected(cell, *job, id, *task, now)) {
            continue;
        }
        const step_spec &spec = stepOf(*job, id.step);
        if (spec.checkpointing && !spec.gang && !spec.longRunning
            && task->percent < nearlyDonePercent) {
            victims.push_back({id, reservedDemand(spec), task->percent,
                               byGain ? workLostByStopping(cell, spec, *task, now) : 0});
        }
    }
    // Least progress first, as runs with more progress end sooner anyway.
    std::sort(victims.begin(), victims.end(), [](const victim &a, const victim &b) {
        return std::tie(a.lost, a.percent) < std::tie(b.lost, b.percent);
    });
    return victims;
}

preemption_target makeTarget(scheduler &cell, const waiting_step &waiting,
                             const worker_headroom &headroom, timestamp now)
{
    const step_spec &spec = stepSpec(waiting);
    preemption_target result;
    result.id = headroom.worker->entry.id;
    result.victims = findVictims(cell, waiting, *headroom.worker, now);
    resources free = headroom.free;
    for (const victim &run : result.victims) {
        free = free + run.demand;
    }
    result.slots = tasksThatFit(spec, free);
    if (spec.maxPerWorker > 0) {
        result.slots = std::min<std::int64_t>(result.slots, spec.maxPerWorker);
    }
    return result;
}

/// Returns the processor time that `preemptRuns` would throw away.
std::int64_t workLost(const waiting_step &waiting, const preemption_target &chosen,
                      std::int64_t slots, resources free)
{
    std::int64_t lost = 0;
    for (const victim &run : chosen.victims) {
        if (tasksThatFit(stepSpec(waiting), free) >= slots) {
            break;
        }
        free = free + run.demand;
        lost += run.lost;
    }
    return lost;
}

/// Stops only as many runs as it takes for `slots` tasks of the step to fit, together with the
/// capacity in `free`.
void preemptRuns(scheduler &cell, const waiting_step &waiting, const preemption_target &chosen,
                 std::int64_t slots, resources free, timestamp now, orders &out)
{
    const step_spec &spec = stepSpec(waiting);
    for (const victim &run : chosen.victims) {
        if (tasksThatFit(spec, free) >= slots) {
            return;
        }
        job_state *job = findJob(cell, run.task.job);
        task_state *task = findTask(*job, run.task);
        free = free + run.demand;
        ++cell.counters.preemptedRuns;
        task->preemptedAt = now;
        out.events.push_back({"run_preempted", run.task.job,
                              "worker=" + chosen.id + " for=" + waiting.job->spec.id
                                  + " percent=" + std::to_string(run.percent)});
        stopRun(cell, run.task, *task, now, out);
    }
}

/// Returns the processor time that preemption on the targets, in this order, throws away.
std::int64_t sumWorkLost(const waiting_step &waiting, const std::vector<preemption_target> &targets,
                         const headroom_map &headrooms)
{
    std::int64_t lost = 0;
    auto missing = static_cast<std::int64_t>(waiting.tasks.size());
    for (const preemption_target &chosen : targets) {
        const std::int64_t taken = std::min(missing, chosen.slots);
        lost += workLost(waiting, chosen, taken, headrooms.at(chosen.id).free);
        missing -= taken;
    }
    return lost;
}

} // namespace

std::vector<std::string> preemptForGang(scheduler &cell, const waiting_step &waiting,
                                        const headroom_map &headrooms, timestamp now, orders &out)
{
    step_state &step = stepState(waiting);
    const step_spec &spec = stepSpec(waiting);
    if (now < step.preemptNotBefore || holdsReservation(step, now)) {
        return {};
    }
    const microseconds expected =
        waiting.job->expectedToEnd[static_cast<std::size_t>(waiting.step)];
    if (now + static_cast<microseconds>(urgencyFactor * static_cast<double>(expected))
        < waiting.objectiveAt) {
        return {};
    }
    step.preemptNotBefore = now + preemptRetryInterval;
    const bool byGain = usesSpeeds(cell, waiting);
    if (byGain && !needsPreemption(cell, waiting, headrooms, now)) {
        return {};
    }
    std::vector<preemption_target> targets;
    std::int64_t slots = 0;
    for (const auto &[id, headroom] : headrooms) {
        const auto advice = step.advice.find(id);
        const bool allowed = !waiting.job->policy.needsAdvice
            || (advice != step.advice.end() && advice->second.allowed);
        if (allowed && isEligible(*waiting.job, spec, *headroom.worker)) {
            targets.push_back(makeTarget(cell, waiting, headroom, now));
            slots += targets.back().slots;
        }
    }
    auto missing = static_cast<std::int64_t>(waiting.tasks.size());
    if (slots < missing) {
        return {};
    }
    std::sort(targets.begin(), targets.end(),
              [&](const preemption_target &a, const preemption_target &b) {
                  return a.slots - static_cast<std::int64_t>(a.victims.size()) / 4
                      > b.slots - static_cast<std::int64_t>(b.victims.size()) / 4;
              });
    if (byGain && !gainsByPreemption(waiting, sumWorkLost(waiting, targets, headrooms))) {
        return {};
    }
    std::vector<std::string> plan;
    step.reservations.clear();
    step.reservedUntil = now + reservationDuration;
    step.preemptNotBefore = step.reservedUntil
        + (preemptRetryInterval << std::min(step.preemptions++, maxPauseDoublings));
    for (const preemption_target &chosen : targets) {
        const std::int64_t taken = std::min(missing, chosen.slots);
        if (taken == 0) {
            continue;
        }
        preemptRuns(cell, waiting, chosen, taken, headrooms.at(chosen.id).free, now, out);
        const resources demand = reservedDemand(spec);
        step.reservations[chosen.id] = {demand.cpuMilli * taken, demand.memoryMb * taken,
                                        demand.accelerators * taken};
        plan.push_back(chosen.id);
        missing -= taken;
    }
    return plan;
}

} // namespace bramleygrade::cell
