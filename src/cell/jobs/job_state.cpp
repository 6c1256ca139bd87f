#include "cell/jobs/job_state.h"

#include <algorithm>

namespace bramleygrade::cell {

namespace {

/// Number of workers per advice call that job objectives assume (users' rules, "Credit").
constexpr int adviceWorkersInObjective = 30;

/// Sums the run times, as returned by `runTimeOf`, and the times of advice calls from the start of
/// each step to the end of the job.
std::vector<microseconds> sumToEnd(const job_state &job, const run_time_record &runTimes,
                                   microseconds (*runTimeOf)(const run_time_record &, microseconds))
{
    const microseconds advice = job.policy.needsAdvice
        ? job.policy.advice.base + adviceWorkersInObjective * job.policy.advice.perWorker
        : 0;
    std::vector<microseconds> times(job.spec.steps.size(), 0);
    // Steps depend on steps with lower indices only.
    for (std::size_t index = job.spec.steps.size(); index-- > 0;) {
        const step_spec &step = job.spec.steps[index];
        times[index] += runTimeOf(runTimes, step.estimate) + advice;
        for (const int before : step.after) {
            microseconds &following = times[static_cast<std::size_t>(before)];
            following = std::max(following, times[index]);
        }
    }
    return times;
}

void markDone(step_state &step)
{
    for (task_state &task : step.tasks) {
        task.done = true;
    }
    step.doneCount = static_cast<int>(step.tasks.size());
}

/// Removes the occurrence from those that are parked. Returns its done steps; empty if it was not
/// parked.
std::string unpark(job_state &job, int number)
{
    for (auto it = job.parked.begin(); it != job.parked.end(); ++it) {
        if (contains(it->second, number)) {
            std::string doneSteps = it->first;
            removeNumber(it->second, number);
            if (it->second.ranges.empty()) {
                job.parked.erase(it);
            }
            return doneSteps;
        }
    }
    return "";
}

} // namespace

timestamp dueTimeOf(const job_state &job, int occurrence)
{
    const microseconds latest = distantFuture - std::max<timestamp>(job.firstDueAt, 0);
    if (occurrence > 0 && job.spec.interval > latest / occurrence) {
        return distantFuture;
    }
    return job.firstDueAt + occurrence * job.spec.interval;
}

occurrence_state &ensureOccurrence(job_state &job, int index)
{
    const auto found = job.occurrences.find(index);
    if (found != job.occurrences.end()) {
        return found->second;
    }
    occurrence_state &created = job.occurrences[index];
    if (job.spec.occurrences > 0) {
        created.dueAt = dueTimeOf(job, index);
    }
    const std::string doneSteps = unpark(job, index);
    for (const step_spec &step : job.spec.steps) {
        step_state state;
        state.tasks.resize(static_cast<std::size_t>(step.count));
        if (created.steps.size() < doneSteps.size() && doneSteps[created.steps.size()] == '1') {
            markDone(state);
            ++created.stepsDone;
        }
        created.steps.push_back(std::move(state));
    }
    return created;
}

task_state *findTask(job_state &job, const task_id &id)
{
    const int last = std::max(job.spec.occurrences, 1) - 1;
    if (id.occurrence < 0 || id.occurrence > last || id.step < 0
        || id.step >= static_cast<int>(job.spec.steps.size()) || id.index < 0
        || id.index >= job.spec.steps[static_cast<std::size_t>(id.step)].count) {
        return nullptr;
    }
    if (job.occurrences.count(id.occurrence) == 0) {
        const bool mayHaveBeenOpen = job.spec.occurrences == 0 || job.restored
            || std::any_of(job.parked.begin(), job.parked.end(), [&](const auto &parked) {
                                         return contains(parked.second, id.occurrence);
                                     });
        if (job.finalPhase || !mayHaveBeenOpen || contains(job.completed, id.occurrence)) {
            return nullptr;
        }
    }
    return &ensureOccurrence(job, id.occurrence)
                .steps[static_cast<std::size_t>(id.step)]
                .tasks[static_cast<std::size_t>(id.index)];
}

bool isStepReady(const job_state &job, const occurrence_state &occurrence, int step)
{
    const auto &after = job.spec.steps[static_cast<std::size_t>(step)].after;
    return std::all_of(after.begin(), after.end(), [&](int before) {
        const auto &state = occurrence.steps[static_cast<std::size_t>(before)];
        return state.doneCount == static_cast<int>(state.tasks.size());
    });
}

job_phase visiblePhase(const job_state &job)
{
    if (job.finalPhase && job.finalStored) {
        return *job.finalPhase;
    }
    return job.begun ? job_phase::running : job_phase::queued;
}

bool hasRuns(const job_state &job)
{
    for (const auto &[index, occurrence] : job.occurrences) {
        for (const step_state &step : occurrence.steps) {
            for (const task_state &task : step.tasks) {
                if (task.phase != run_phase::none) {
                    return true;
                }
            }
        }
    }
    return false;
}

std::vector<microseconds> expectTimesToEnd(const job_state &job, const run_time_record &runTimes)
{
    return sumToEnd(job, runTimes, expectRunTime);
}

timestamp objectiveOf(const job_state &job, const run_time_record &runTimes)
{
    const std::vector<microseconds> timesToEnd = sumToEnd(job, runTimes, expectSoundRunTime);
    const microseconds path =
        timesToEnd.empty() ? 0 : *std::max_element(timesToEnd.begin(), timesToEnd.end());
    return job.receivedAt
        + static_cast<microseconds>(job.policy.slackFactor * static_cast<double>(path))
        + job.policy.latencyTarget;
}

} // namespace bramleygrade::cell
