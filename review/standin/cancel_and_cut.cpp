#include "cases.h"

#include <algorithm>

#include "checks.h"
#include "record.h"

namespace bramleygrade::review {

namespace {

constexpr char lastingJob[] = "c000000000000001";

void checkCancelled(cell_world &world, timestamp calmSince)
{
    const client_job &job = world.job(lastingJob);
    if (job.cancelledAt == 0) {
        world.finish(2, "the cancellation was not acknowledged");
        return;
    }
    const timestamp goneBy = std::max(job.cancelledAt + cancelTime + stopTimeout,
                                      calmSince + contactTime + cancelTime + stopTimeout)
        + tolerance;
    int remaining = 0;
    for (const observed_run &run : world.book().runs) {
        const bool isLate = run.endedAt == 0 || run.endedAt > goneBy;
        if (isLate) {
            ++remaining;
            note("check: " + run.task + " on " + run.worker + " still ran "
                 + inMs((run.endedAt == 0 ? steadyNow() : run.endedAt) - job.cancelledAt)
                 + " after the cancellation was acknowledged"
                 + (run.endedAt == 0 ? ", and runs on" : ""));
        }
    }
    world.finish(remaining > 0 ? 1 : 0,
                 remaining > 0 ? "UNASKED broken: cancelled tasks run on" : "UNASKED held");
}

} // namespace

void runCancelAndCut(cell_world &world)
{
    step_behaviour step;
    step.count = 4;
    step.cpuMilli = 9'000;
    step.longRunning = true;
    step.duration = second;
    world.submit(lastingJob, "rota", step, R"(,"antiAffinity":1)");
    world.at(5 * second, [&world] {
        worker *cut = world.workerOf(std::string(lastingJob) + ".0.0.0");
        if (cut == nullptr) {
            world.finish(2, "the task does not run");
            return;
        }
        if (world.hasTrouble()) {
            cut->cutOff();
            world.at(3'500 * millisecond, [cut] { cut->reconnect(); });
        }
        world.at(200 * millisecond, [&world] { world.cancel(lastingJob); });
        world.at(3'500 * millisecond, [&world] {
            const timestamp calmSince = steadyNow();
            world.at(20 * second, [&world, calmSince] { checkCancelled(world, calmSince); });
        });
    });
}

} // namespace bramleygrade::review
