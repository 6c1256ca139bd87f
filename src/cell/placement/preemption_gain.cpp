#include "cell/placement/preemption_gain.h"

#include <algorithm>
#include <cmath>

namespace bramleygrade::cell {

namespace {

/// Time after a preemption for which the next run of the task is not preempted. Five times the run
/// time of a usual batch task on the deployment that needs this, so that it gets to its end.
constexpr microseconds repeatPause = 12 * second;
/// Time that a resumed run needs to restore its checkpoint, on the deployments seen so far.
constexpr microseconds restoreTime = 250 * millisecond;
/// The work of a gang on time must be worth this multiple of the work thrown away. A job that is
/// late is worth a fifth of one on time, and both figures are estimates.
constexpr std::int64_t gainFactor = 3;
/// Progress from which a run's end is estimated from its progress.
constexpr int minPercent = 10;

microseconds expectedTimeToEnd(const waiting_step &waiting)
{
    return waiting.job->expectedToEnd[static_cast<std::size_t>(waiting.step)];
}

/// Returns the time at which the run is expected to end.
timestamp expectedEnd(const scheduler &cell, const job_state &job, const step_spec &spec,
                      const task_state &task)
{
    const timestamp begin = std::max(task.startedAt, task.confirmedAt);
    if (!task.resumed && task.percent >= minPercent && task.progressAt > begin) {
        return begin + (task.progressAt - begin) * 100 / task.percent;
    }
    const auto found = cell.runTimes.find(job.spec.queue);
    const microseconds whole =
        found == cell.runTimes.end() ? spec.estimate : expectRunTime(found->second, spec.estimate);
    return begin + whole * (100 - task.percent) / 100;
}

/// A run's end and the number of the gang's tasks that fit on the worker after it, in addition.
struct freed_slots
{
    timestamp when = 0;
    std::int64_t slots = 0;
};

void addFreedSlots(scheduler &cell, const step_spec &spec, const worker_headroom &headroom,
                   std::vector<freed_slots> &freed)
{
    std::vector<std::pair<timestamp, resources>> ends;
    for (const task_id &id : headroom.worker->life.runs) {
        job_state *job = findJob(cell, id.job);
        const task_state *task = job == nullptr ? nullptr : findTask(*job, id);
        if (task != nullptr && !stepOf(*job, id.step).longRunning) {
            const step_spec &other = stepOf(*job, id.step);
            ends.emplace_back(expectedEnd(cell, *job, other, *task), reservedDemand(other));
        }
    }
    std::sort(ends.begin(), ends.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    resources free = headroom.free;
    std::int64_t before = tasksThatFit(spec, free);
    if (before > 0) {
        freed.push_back({distantPast, before});
    }
    for (const auto &[when, demand] : ends) {
        free = free + demand;
        const std::int64_t after = tasksThatFit(spec, free);
        if (after > before) {
            freed.push_back({when, after - before});
            before = after;
        }
    }
}

/// Returns the time at which the gang is expected to fit without preemption.
timestamp expectedFit(scheduler &cell, const waiting_step &waiting, const headroom_map &headrooms)
{
    const step_spec &spec = stepSpec(waiting);
    const step_state &step = stepState(waiting);
    std::vector<freed_slots> freed;
    for (const auto &[id, headroom] : headrooms) {
        const auto advice = step.advice.find(id);
        const bool isAllowed = !waiting.job->policy.needsAdvice
            || (advice != step.advice.end() && advice->second.allowed);
        if (isAllowed && isEligible(*waiting.job, spec, *headroom.worker)) {
            addFreedSlots(cell, spec, headroom, freed);
        }
    }
    std::sort(freed.begin(), freed.end(),
              [](const freed_slots &a, const freed_slots &b) { return a.when < b.when; });
    auto missing = static_cast<std::int64_t>(waiting.tasks.size());
    for (const freed_slots &part : freed) {
        missing -= part.slots;
        if (missing <= 0) {
            return part.when;
        }
    }
    return distantFuture;
}

} // namespace

bool usesSpeeds(const scheduler &cell, const waiting_step &waiting)
{
    const auto service = cell.speeds.services.find(waiting.job->policy.service);
    return service != cell.speeds.services.end() && service->second.used;
}

std::int64_t workLostByStopping(const scheduler &cell, const step_spec &spec,
                                const task_state &task, timestamp now)
{
    const timestamp saved = std::max({task.startedAt, task.confirmedAt, task.checkpointAt});
    const microseconds lost = std::max<microseconds>(now - saved, 0);
    return (lost + cell.settings.stopTimeout / 2 + restoreTime) * reservedDemand(spec).cpuMilli;
}

bool isProtected(const scheduler &cell, const job_state &job, const task_id &id,
                 const task_state &task, timestamp now)
{
    if (now < task.preemptedAt + repeatPause) {
        return true;
    }
    const microseconds toEnd = job.expectedToEnd[static_cast<std::size_t>(id.step)];
    return now <= job.objectiveAt && now + cell.settings.stopTimeout + 2 * toEnd > job.objectiveAt;
}

bool needsPreemption(scheduler &cell, const waiting_step &waiting, const headroom_map &headrooms,
                     timestamp now)
{
    const microseconds toEnd = expectedTimeToEnd(waiting);
    if (now + cell.settings.stopTimeout + toEnd > waiting.objectiveAt) {
        return false; // it would be late all the same
    }
    return expectedFit(cell, waiting, headrooms) + toEnd > waiting.objectiveAt;
}

bool gainsByPreemption(const waiting_step &waiting, std::int64_t lost)
{
    const step_spec &spec = stepSpec(waiting);
    const std::int64_t work = reservedDemand(spec).cpuMilli
        * static_cast<std::int64_t>(waiting.tasks.size()) * expectedTimeToEnd(waiting);
    return work > gainFactor * lost;
}

} // namespace bramleygrade::cell
