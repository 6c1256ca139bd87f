#include "cell/interference/scheduler_interference.h"

#include <algorithm>
#include <cmath>

namespace bramleygrade::cell {

namespace {

double loadOf(const worker_state &worker)
{
    return static_cast<double>(worker.life.used.cpuMilli)
        / static_cast<double>(std::max<std::int64_t>(worker.entry.capacity.cpuMilli, 1));
}

int percent(double effect)
{
    return static_cast<int>(std::lround(100 * std::expm1(effect)));
}

void logChanges(const std::vector<named_pair> &changes, orders &out)
{
    for (const named_pair &change : changes) {
        const pair_estimate &pair = change.estimate;
        out.events.push_back({pair.noticed ? "interference_noticed" : "interference_forgotten", "",
                              "image=" + change.image + " beside=" + change.other
                                  + " slowdown_percent=" + std::to_string(percent(pair.effect))
                                  + " error_percent=" + std::to_string(percent(pair.standardError))
                                  + " jobs_beside=" + std::to_string(std::lround(pair.jobsBeside))
                                  + " jobs=" + std::to_string(std::lround(pair.jobs))
                                  + " separated=" + std::to_string(pair.separated)});
    }
}

/// Returns the number of tasks of the job in all its occurrences.
double countTasks(const job_spec &job)
{
    double tasks = 0;
    for (const step_spec &step : job.steps) {
        tasks += step.count;
    }
    return std::max(tasks * std::max(job.occurrences, 1), 1.0);
}

} // namespace

const std::string &imageOf(const job_spec &job, const step_spec &step)
{
    return step.image.empty() ? job.queue : step.image;
}

void noteRunAdded(scheduler &cell, worker_state &worker, const task_id &task, const job_spec &job,
                  timestamp now, orders &out)
{
    if (!cell.settings.separateClashingTasks) {
        return;
    }
    interference_table &table = cell.interference;
    const step_spec &step = job.steps[static_cast<std::size_t>(task.step)];
    const image_lookup found = countStart(table, imageOf(job, step), now);
    if (found.replaced) {
        for (auto &[id, other] : cell.workers) {
            removeImage(other.images, found.image);
        }
        logChanges(found.forgotten, out);
    }
    beginPresence(worker.images, task, found.image);
}

void noteRunConfirmed(const scheduler &cell, worker_state &worker, const task_id &task)
{
    if (cell.settings.separateClashingTasks) {
        confirmPresence(worker.images, task, loadOf(worker));
    }
}

void noteRunRemoved(const scheduler &cell, worker_state &worker, const task_id &task)
{
    if (cell.settings.separateClashingTasks) {
        endPresence(worker.images, task);
    }
}

void learnInterference(scheduler &cell, worker_state &worker, const job_spec &job,
                       const task_id &task, microseconds observed, timestamp now)
{
    const step_spec &step = job.steps[static_cast<std::size_t>(task.step)];
    if (!cell.settings.separateClashingTasks || step.gang || step.scavenging || step.longRunning
        || step.estimate <= 0 || observed <= 0) {
        return;
    }
    const auto exposure = exposureOf(worker.images, task);
    if (!exposure) {
        return;
    }
    finished_run run;
    const int image = worker.images.runs.at(task).image;
    run.exposure = *exposure;
    run.ratio = std::log(static_cast<double>(observed) / static_cast<double>(step.estimate));
    run.weight = 1 / countTasks(job);
    addRun(cell.interference.images[static_cast<std::size_t>(image)].evidence, worker.images.means,
           run, now);
}

void evaluateInterference(scheduler &cell, timestamp now, orders &out)
{
    if (cell.settings.separateClashingTasks) {
        logChanges(evaluateDue(cell.interference, now), out);
    }
}

void setClashes(const scheduler &cell, waiting_step &waiting)
{
    waiting.clashing = 0;
    if (cell.settings.separateClashingTasks && cell.interference.noticedPairs > 0) {
        const job_spec &job = waiting.job->spec;
        const std::string &image = imageOf(job, stepSpec(waiting));
        waiting.clashing = clashesOf(cell.interference, image);
        waiting.ownImage = waiting.clashing == 0 ? 0 : bitOf(cell.interference, image);
    }
}

void countSeparatedTasks(scheduler &cell, const waiting_step &waiting, const placement_plan &plan)
{
    for (const image_set avoided : plan.avoided) {
        countSeparated(cell.interference, imageOf(waiting.job->spec, stepSpec(waiting)), avoided);
    }
}

} // namespace bramleygrade::cell
