#include "cell/jobs/open_occurrences.h"

#include <algorithm>

namespace bramleygrade::cell {

namespace {

/// Bytes that a task takes beside its state: names of the worker and the checkpoint, and memory
/// management.
constexpr std::size_t taskOverheadBytes = 100;
constexpr std::size_t stepOverheadBytes = 200;
constexpr std::size_t jobOverheadBytes = 600;
/// Bytes of a range of occurrences.
constexpr std::size_t rangeBytes = 64;
/// Open jobs with one occurrence each may take the memory of the process over this divisor, and
/// their further occurrences that over the second one. The rest is for everything else.
constexpr std::size_t jobMemoryDivisor = 3;
constexpr std::size_t furtherMemoryDivisor = 5;

bool isUntouched(const task_state &task)
{
    return !task.done && task.attempt == 0 && task.endedAttempt == 0
        && task.phase == run_phase::none && task.failedAttempts.empty() && task.checkpoint.empty()
        && task.failedOn.empty() && task.crashedLives.empty() && task.trialLife.empty();
}

bool hasNoRun(const task_state &task)
{
    return task.phase == run_phase::none;
}

bool isDone(const step_state &step)
{
    return step.doneCount == static_cast<int>(step.tasks.size());
}

/// Whether the step is untouched and nothing refers to it.
bool isUntouched(const step_state &step)
{
    return step.doneCount == 0 && !step.advicePending && !step.holdsCapacity
        && step.reservations.empty() && step.gangAttempt == 0 && step.gangFailedAttempts.empty()
        && step.crashChange == 0
        && std::all_of(step.tasks.begin(), step.tasks.end(),
                       [](const task_state &task) { return isUntouched(task); });
}

/// Returns which steps are done, a character each; empty if a step is neither done nor untouched.
std::string doneStepsOf(const occurrence_state &occurrence)
{
    std::string doneSteps;
    for (const step_state &step : occurrence.steps) {
        const bool done = isDone(step);
        const bool canPark =
            done ? std::all_of(step.tasks.begin(), step.tasks.end(), hasNoRun) : isUntouched(step);
        if (!canPark) {
            return "";
        }
        doneSteps += done ? '1' : '0';
    }
    return doneSteps;
}

bool isAnyDone(const std::string &doneSteps)
{
    return doneSteps.find('1') != std::string::npos;
}

/// Open occurrences that could be parked, by their done steps, in ascending order.
using parkable_map = std::map<std::string, std::vector<int>>;

/// Retires what is completed, and returns what could be parked; those without any done step count
/// as fresh.
parkable_map collectParkable(job_state &job)
{
    parkable_map parkable;
    for (auto it = job.occurrences.begin(); it != job.occurrences.end();) {
        const int number = it->first;
        const bool completed = it->second.completed;
        const std::string doneSteps = doneStepsOf(it->second);
        ++it;
        if (completed) {
            retireOccurrence(job, number);
        } else if (!doneSteps.empty()) {
            parkable[doneSteps].push_back(number);
        }
    }
    return parkable;
}

/// Whether the job may open one more occurrence beside those that are open.
bool mayOpenFurther(const scheduler &cell, const job_state &job)
{
    return job.occurrences.empty()
        || (countOpenTasks(job) + tasksPerOccurrence(job.spec) <= maxOpenTasks
            && cell.furtherBytes + bytesOfOccurrence(job.spec)
                <= cell.settings.memoryLimit / furtherMemoryDivisor);
}

void openOccurrence(scheduler &cell, job_state &job, int number)
{
    cell.furtherBytes += job.occurrences.empty() ? 0 : bytesOfOccurrence(job.spec);
    ensureOccurrence(job, number);
}

/// Parks the last of these occurrences while they have more than `maxParkableTasks`, or opens the
/// first parked ones of the same kind once they have less than half as many.
void balanceParked(scheduler &cell, job_state &job, const std::string &doneSteps,
                   std::vector<int> open)
{
    const std::size_t most =
        std::max<std::size_t>(1, maxParkableTasks / tasksPerOccurrence(job.spec));
    while (open.size() > most) {
        parkOccurrence(job, open.back());
        open.pop_back();
    }
    if (open.size() > most / 2) {
        return;
    }
    for (std::size_t opened = open.size(); opened < most; ++opened) {
        const auto parked = job.parked.find(doneSteps);
        if (parked == job.parked.end() || !mayOpenFurther(cell, job)) {
            return;
        }
        openOccurrence(cell, job, parked->second.ranges.begin()->first);
    }
}

/// Returns the first number from `number` on of an occurrence that was never open.
int firstUnopened(const job_state &job, int number)
{
    while (true) {
        const int before = number;
        number = firstAbsent(job.completed, number);
        for (const auto &[doneSteps, parked] : job.parked) {
            number = firstAbsent(parked, number);
        }
        while (job.occurrences.count(number) > 0) {
            ++number;
        }
        if (number == before) {
            return number;
        }
    }
}

/// Opens occurrences that are due. `freshTasks`: tasks of those without progress.
void openDue(scheduler &cell, job_state &job, std::size_t freshTasks, timestamp now)
{
    const std::size_t tasks = tasksPerOccurrence(job.spec);
    job.nextOccurrence = firstUnopened(job, job.nextOccurrence);
    while (job.nextOccurrence < job.spec.occurrences && now >= dueTimeOf(job, job.nextOccurrence)
           && (freshTasks == 0 || freshTasks + tasks <= maxFreshTasks)
           && mayOpenFurther(cell, job)) {
        openOccurrence(cell, job, job.nextOccurrence);
        freshTasks += tasks;
        job.nextOccurrence = firstUnopened(job, job.nextOccurrence + 1);
    }
}

/// Returns the parked ranges, and the texts that tell their done steps as a number of ranges.
std::size_t weightOfParked(const job_state &job)
{
    constexpr std::size_t stepsPerRange = 16;
    std::size_t weight = 0;
    for (const auto &[doneSteps, parked] : job.parked) {
        weight += parked.ranges.size() + doneSteps.size() / stepsPerRange;
    }
    return weight;
}

} // namespace

std::size_t tasksPerOccurrence(const job_spec &spec)
{
    std::size_t tasks = 0;
    for (const step_spec &step : spec.steps) {
        tasks += static_cast<std::size_t>(std::max(step.count, 0));
    }
    return std::max<std::size_t>(tasks, 1);
}

std::size_t countOpenTasks(const job_state &job)
{
    return job.occurrences.size() * tasksPerOccurrence(job.spec);
}

std::size_t bytesOfOccurrence(const job_spec &spec)
{
    return tasksPerOccurrence(spec) * (sizeof(task_state) + taskOverheadBytes)
        + spec.steps.size() * (sizeof(step_state) + stepOverheadBytes);
}

std::size_t bytesOfJob(const job_spec &spec)
{
    std::size_t texts = spec.payload.size();
    for (const step_spec &step : spec.steps) {
        texts += step.requiredLabel.size() + step.preferredRack.size() + step.image.size()
            + step.after.size() * sizeof(int);
    }
    return jobOverheadBytes + sizeof(job_state) + texts + spec.steps.size() * sizeof(step_spec)
        + bytesOfOccurrence(spec);
}

std::size_t bytesOfFurther(const job_state &job)
{
    std::size_t ranges = job.completed.ranges.size();
    for (const auto &[doneSteps, parked] : job.parked) {
        ranges += parked.ranges.size();
    }
    const std::size_t further = job.occurrences.empty() ? 0 : job.occurrences.size() - 1;
    return further * bytesOfOccurrence(job.spec) + ranges * rangeBytes;
}

bool hasMemoryFor(const scheduler &cell, const job_spec &spec)
{
    return cell.reservedBytes + bytesOfJob(spec) <= cell.settings.memoryLimit / jobMemoryDivisor;
}

void reserveMemory(scheduler &cell, job_state &job)
{
    job.reservedBytes = bytesOfJob(job.spec);
    cell.reservedBytes += job.reservedBytes;
}

void releaseMemory(scheduler &cell, job_state &job)
{
    cell.reservedBytes -= job.reservedBytes;
    job.reservedBytes = 0;
}

bool parkOccurrence(job_state &job, int number)
{
    const auto found = job.occurrences.find(number);
    if (job.spec.occurrences == 0 || found == job.occurrences.end() || found->second.completed) {
        return false;
    }
    const std::string doneSteps = doneStepsOf(found->second);
    if (!isAnyDone(doneSteps) || weightOfParked(job) >= maxParkedRanges) {
        return false;
    }
    insertRange(job.parked[doneSteps], number, number);
    job.occurrences.erase(found);
    return true;
}

void retireOccurrence(job_state &job, int number)
{
    const auto found = job.occurrences.find(number);
    if (job.spec.occurrences == 0 || found == job.occurrences.end() || !found->second.completed
        || doneStepsOf(found->second).empty()) {
        return;
    }
    insertRange(job.completed, number, number);
    job.occurrences.erase(found);
}

bool updateOpenOccurrences(scheduler &cell, job_state &job, timestamp now)
{
    if (job.spec.occurrences == 0) {
        ensureOccurrence(job, 0);
        return false;
    }
    parkable_map parkable = collectParkable(job);
    for (const auto &[doneSteps, parked] : job.parked) {
        parkable[doneSteps]; // of some kinds all are parked
    }
    std::size_t freshTasks = 0;
    for (const auto &[doneSteps, open] : parkable) {
        if (isAnyDone(doneSteps)) {
            balanceParked(cell, job, doneSteps, open);
        } else {
            freshTasks = open.size() * tasksPerOccurrence(job.spec);
        }
    }
    openDue(cell, job, freshTasks, now);
    return job.nextOccurrence < job.spec.occurrences || !job.parked.empty();
}

void dropWork(job_state &job)
{
    job.occurrences.clear();
    job.completed.ranges.clear();
    job.parked.clear();
    job.spec.steps = {};
    job.spec.payload = {};
    job.expectedToEnd = {};
}

} // namespace bramleygrade::cell
