#include "cases.h"

#include <algorithm>

#include "checks.h"
#include "record.h"

namespace bramleygrade::review {

namespace {

constexpr int wideJobs = 30;
constexpr int tasksPerWideJob = 60;
constexpr std::size_t allTasks = std::size_t {wideJobs} * tasksPerWideJob;
constexpr microseconds wideJobTime = 8 * second;

/// Returns when each task first ended `done`, without the ends that a lapse of the worker's lease
/// excuses.
std::map<std::string, timestamp> findDone(cell_world &world)
{
    std::map<std::string, timestamp> lapsedAt;
    for (std::size_t index = 0; index < world.workerCount(); ++index) {
        lapsedAt[world.workerAt(index).settings().id] = world.workerAt(index).lapsedAt();
    }
    std::map<std::string, timestamp> doneAt;
    for (const observed_run &run : world.book().runs) {
        if (run.how == "done" && run.endedAt > lapsedAt[run.worker]) {
            const auto known = doneAt.emplace(run.task, run.endedAt).first;
            known->second = std::min(known->second, run.endedAt);
        }
    }
    return doneAt;
}

/// Looks for runs that start after a run of their task has ended `done`, where that end was
/// acknowledged.
void checkRepeated(cell_world &world)
{
    const std::map<std::string, timestamp> doneAt = findDone(world);
    std::size_t open = 0;
    for (std::size_t index = 0; index < world.workerCount(); ++index) {
        open += world.workerAt(index).unacknowledgedEnds();
    }
    int repeated = 0;
    for (const observed_run &run : world.book().runs) {
        const auto done = doneAt.find(run.task);
        if (done != doneAt.end() && run.startedAt > done->second) {
            ++repeated;
            if (repeated <= 20) {
                note("check: " + run.task + " had ended done and was started again "
                     + inMs(run.startedAt - done->second) + " later on " + run.worker
                     + " as attempt " + std::to_string(run.attempt));
            }
        }
    }
    note("check: " + std::to_string(doneAt.size()) + " tasks done, " + std::to_string(open)
         + " ends not acknowledged");
    if (doneAt.empty() || open > 0) {
        world.finish(2, "not all ends were acknowledged, so the rule says nothing");
        return;
    }
    world.finish(repeated > 0 ? 1 : 0,
                 repeated > 0 ? "TWICE broken: " + std::to_string(repeated)
                         + " starts after an acknowledged end"
                              : "TWICE held");
}

/// Kills all entries shortly before the first run ends, so that the runs end while no entry is up.
void killBeforeFirstEnd(cell_world &world)
{
    const auto &runs = world.book().runs;
    const timestamp firstEnd = runs.empty() ? distantFuture : runs.front().startedAt + wideJobTime;
    if (steadyNow() < firstEnd - 400 * millisecond) {
        world.at(50 * millisecond, [&world] { killBeforeFirstEnd(world); });
    } else if (runs.size() < allTasks) {
        world.finish(2, "only " + std::to_string(runs.size()) + " runs have started in time");
    } else {
        world.killAllEntries();
    }
}

} // namespace

void runManyEnds(cell_world &world)
{
    step_behaviour step;
    step.count = tasksPerWideJob;
    step.cpuMilli = 30;
    step.duration = wideJobTime;
    for (int number = 0; number < wideJobs; ++number) {
        world.submit(jobId("9", number), "comisioane", step);
    }
    if (world.hasTrouble()) {
        killBeforeFirstEnd(world);
    }
    world.at(40 * second, [&world] { checkRepeated(world); });
}

} // namespace bramleygrade::review
