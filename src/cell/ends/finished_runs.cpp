#include "cell/ends/finished_runs.h"

#include <algorithm>

#include "cell/interference/scheduler_interference.h"

namespace bramleygrade::cell {

namespace {

/// Slowness of the slowest worker of the gang, which determines the run time of all members.
double slownessOfGang(const scheduler &cell, const step_state &step)
{
    double slowest = 0;
    for (const task_state &task : step.tasks) {
        const auto worker = cell.workers.find(task.worker);
        if (task.phase != run_phase::none && worker != cell.workers.end()) {
            slowest = std::max(slowest, worker->second.life.slowness);
        }
    }
    return slowest > 0 ? slowest : 1.0;
}

void learnSpeed(scheduler &cell, const worker_state &worker, const job_spec &job,
                const step_spec &spec, microseconds observed, timestamp now)
{
    if (!cell.settings.workerSpeeds || spec.gang) {
        return;
    }
    if (spec.scavenging) {
        recordScavengedRun(cell.speeds, worker.entry, job.queue, spec.estimate, observed, now);
    } else {
        recordWorkerSpeed(cell.speeds, worker.entry, job.queue, job.id, spec.estimate, observed,
                          now);
    }
}

} // namespace

void learnFromRun(scheduler &cell, worker_state &worker, const job_state &job, const task_id &task,
                  step_state &step, microseconds observed, timestamp now)
{
    const step_spec &spec = stepOf(job, task.step);
    const double slowness = spec.gang ? slownessOfGang(cell, step) : worker.life.slowness;
    step.longestRun = std::max(step.longestRun, observed);
    step.longestSoundRun = std::max(
        step.longestSoundRun, static_cast<microseconds>(static_cast<double>(observed) / slowness));
    if (!spec.gang) {
        recordRunOnWorker(cell.taskRunTimes[job.spec.queue], worker.life.runTimes, spec.estimate,
                          observed);
        worker.life.slowness = slownessOf(worker.life.runTimes);
    }
    if (!worker.life.wasSilent) {
        learnSpeed(cell, worker, job.spec, spec, observed, now);
        learnInterference(cell, worker, job.spec, task, observed, now);
    }
}

} // namespace bramleygrade::cell
