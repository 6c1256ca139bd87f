#include "cell/placement/placement.h"

#include <algorithm>

namespace bramleygrade::cell {

namespace {

// Costs are in units of one worker's total CPU left free.

/// Cost of a worker outside the rack that holds the input data.
constexpr double otherRackCost = 4.0;
/// Cost of a worker on which the task has failed before.
constexpr double failedOnWorkerCost = 8.0;
/// Cost per point of the worker's failure score.
constexpr double failureScoreCost = 1.0;
/// A step is late if this share of its expected time to the end of the job exceeds the time left.
constexpr double latenessShare = 0.5;
/// Cost of a worker that has none of the processors that a scavenging task could use.
constexpr double noProcessorCost = 4.0;

/// Returns the tasks of the step that may be started now; none while members of a broken gang are
/// still active.
std::vector<int> findWaitingTasks(const step_spec &spec, const step_state &step)
{
    std::vector<int> tasks;
    bool active = false;
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        const task_state &task = step.tasks[index];
        if (!task.done && task.phase == run_phase::none) {
            tasks.push_back(static_cast<int>(index));
        }
        active = active || task.phase != run_phase::none;
    }
    if (spec.gang && active && step.gangBroken) {
        tasks.clear();
    }
    return tasks;
}

} // namespace

std::optional<waiting_step> makeWaitingStep(job_state &job, int number, int index, timestamp now)
{
    const occurrence_state &occurrence = job.occurrences.at(number);
    waiting_step waiting;
    waiting.tasks =
        findWaitingTasks(stepOf(job, index), occurrence.steps[static_cast<std::size_t>(index)]);
    if (waiting.tasks.empty()) {
        return std::nullopt;
    }
    waiting.objectiveAt = occurrence.dueAt == distantPast
        ? job.objectiveAt
        : occurrence.dueAt + (job.objectiveAt - job.receivedAt);
    waiting.orderAt = waiting.objectiveAt;
    const microseconds remaining = job.expectedToEnd[static_cast<std::size_t>(index)];
    // A lasting step earns while it runs, whenever it starts.
    waiting.late = !stepOf(job, index).longRunning
        && now + static_cast<microseconds>(latenessShare * static_cast<double>(remaining))
            > waiting.objectiveAt;
    waiting.holdsCapacity = occurrence.steps[static_cast<std::size_t>(index)].holdsCapacity;
    waiting.priority = job.policy.priority;
    waiting.job = &job;
    waiting.occurrence = number;
    waiting.step = index;
    return waiting;
}

headroom_limits maxHeadroomByService(const headroom_map &headrooms)
{
    headroom_limits limits;
    for (const auto &[id, headroom] : headrooms) {
        resources &largest = limits[headroom.worker->entry.service];
        largest.cpuMilli = std::max(largest.cpuMilli, headroom.free.cpuMilli);
        largest.memoryMb = std::max(largest.memoryMb, headroom.free.memoryMb);
        largest.accelerators = std::max(largest.accelerators, headroom.free.accelerators);
    }
    return limits;
}

bool isEligible(const job_state &job, const step_spec &step, const worker_state &worker)
{
    const auto &labels = worker.entry.labels;
    return worker.entry.service == job.policy.service
        && (step.requiredLabel.empty()
            || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end());
}

std::int64_t tasksThatFit(const step_spec &step, const resources &headroom)
{
    const resources demand = reservedDemand(step);
    if (!fits(demand, headroom)) {
        return 0; // also where a resource that the step does not need is overcommitted
    }
    std::int64_t slots = step.count;
    const auto limit = [&](std::int64_t need, std::int64_t have) {
        if (need > 0) {
            slots = std::min(slots, have / need);
        }
    };
    limit(demand.cpuMilli, headroom.cpuMilli);
    limit(demand.memoryMb, headroom.memoryMb);
    limit(demand.accelerators, headroom.accelerators);
    return slots;
}

double placementCost(const step_spec &step, const task_state *task, const worker_headroom &headroom)
{
    const worker_state &worker = *headroom.worker;
    const auto totalCpuMilli =
        static_cast<double>(std::max<std::int64_t>(worker.entry.capacity.cpuMilli, 1));
    double cost =
        static_cast<double>(headroom.free.cpuMilli - reservedDemand(step).cpuMilli) / totalCpuMilli;
    if (step.scavenging && step.demand.cpuMilli > worker.entry.capacity.cpuMilli) {
        cost += noProcessorCost * (1.0 - totalCpuMilli / static_cast<double>(step.demand.cpuMilli));
    }
    cost += failureScoreCost * worker.life.failureScore;
    if (!step.preferredRack.empty() && step.preferredRack != worker.entry.rack) {
        cost += otherRackCost;
    }
    if (task != nullptr && task->failedOn.count(worker.entry.id) > 0) {
        cost += failedOnWorkerCost;
    }
    return cost;
}

bool isPlaceable(const waiting_step &waiting, const headroom_map &headrooms)
{
    const step_spec &spec = stepSpec(waiting);
    const step_state &step = stepState(waiting);
    auto missing = static_cast<std::int64_t>(waiting.tasks.size());
    for (const auto &[id, headroom] : headrooms) {
        const worker_state &worker = *headroom.worker;
        const auto advice =
            waiting.job->policy.needsAdvice ? step.advice.find(id) : step.advice.end();
        if ((advice != step.advice.end() && !advice->second.allowed)
            || !isEligible(*waiting.job, spec, worker)) {
            continue;
        }
        std::int64_t slots = tasksThatFit(spec, worker.entry.capacity - worker.life.usedByLasting);
        if (spec.maxPerWorker > 0) {
            slots = std::min<std::int64_t>(slots, spec.maxPerWorker);
        }
        missing -= slots;
        if (missing <= 0) {
            return true;
        }
    }
    return false;
}

std::int64_t withholdForGang(const waiting_step &waiting, std::size_t missing,
                             headroom_map &headrooms)
{
    const step_spec &spec = stepSpec(waiting);
    const step_state &step = stepState(waiting);
    const resources demand = reservedDemand(spec);
    std::vector<worker_headroom *> partial;
    const auto consider = [&](worker_headroom &headroom) {
        if (headroom.free.cpuMilli > 0 && fits(demand, headroom.worker->entry.capacity)
            && isEligible(*waiting.job, spec, *headroom.worker)) {
            partial.push_back(&headroom);
        }
    };
    if (waiting.job->policy.needsAdvice) {
        // Looks only at the allowed workers, which are far fewer than all.
        for (const auto &[id, advice] : step.advice) {
            const auto headroom = advice.allowed ? headrooms.find(id) : headrooms.end();
            if (headroom != headrooms.end()) {
                consider(headroom->second);
            }
        }
    } else {
        for (auto &[id, headroom] : headrooms) {
            consider(headroom);
        }
    }
    std::sort(partial.begin(), partial.end(),
              [](const worker_headroom *a, const worker_headroom *b) {
                  return a->free.cpuMilli > b->free.cpuMilli;
              });
    std::int64_t withheld = 0;
    for (worker_headroom *headroom : partial) {
        if (missing == 0) {
            break;
        }
        --missing;
        // Headroom is negative where capacity is withheld already, for example for another gang; it
        // must stay negative.
        const std::int64_t before = headroom->free.cpuMilli;
        headroom->free.cpuMilli =
            std::min(headroom->free.cpuMilli,
                     std::max<std::int64_t>(0, headroom->free.cpuMilli - demand.cpuMilli));
        headroom->free.memoryMb =
            std::min(headroom->free.memoryMb,
                     std::max<std::int64_t>(0, headroom->free.memoryMb - demand.memoryMb));
        withheld += before - headroom->free.cpuMilli;
    }
    return withheld;
}

} // namespace bramleygrade::cell
