#include "cases.h"

#include <algorithm>

#include "checks.h"
#include "record.h"

namespace bramleygrade::review {

namespace {

constexpr char servingJob[] = "e000000000000001";
/// Time between two jobs of the load.
constexpr microseconds loadInterval = 250 * millisecond;
constexpr microseconds loadLength = 40 * second;

/// A task that lasts is to run again within 6 s and 3 s of its last run, in calm.
void checkLasting(cell_world &world)
{
    std::map<std::string, std::vector<observed_run>> byTask;
    for (const observed_run &run : world.book().runs) {
        if (run.task.compare(0, 16, servingJob) == 0) {
            byTask[run.task].push_back(run);
        }
    }
    microseconds longest = 0;
    for (const auto &[task, runs] : byTask) {
        for (std::size_t index = 0; index < runs.size(); ++index) {
            if (runs[index].endedAt == 0) {
                continue;
            }
            const bool hasNext = index + 1 < runs.size();
            const microseconds gap =
                (hasNext ? runs[index + 1].startedAt : steadyNow()) - runs[index].endedAt;
            longest = std::max(longest, gap);
            note("check: " + task + " was not running for " + inMs(gap)
                 + (hasNext ? "" : " and does not run"));
        }
    }
    if (byTask.size() != 2) {
        world.finish(2, "the lasting tasks never ran");
        return;
    }
    const bool isBroken = longest > 9 * second + tolerance;
    world.finish(isBroken ? 1 : 0,
                 isBroken ? "LOST broken: a task that lasts waits " + inMs(longest) : "LOST held");
}

} // namespace

void runLastingUnderLoad(cell_world &world)
{
    step_behaviour lasting;
    lasting.count = 2;
    lasting.cpuMilli = 8'000;
    lasting.longRunning = true;
    lasting.duration = second;
    world.submit(servingJob, "rezervare", lasting);
    for (int number = 0; number < loadLength / loadInterval; ++number) {
        world.at(5 * second + number * loadInterval, [&world, number] {
            step_behaviour step;
            step.cpuMilli = 8'000;
            step.duration = 2 * second;
            world.submit(jobId("f", number), "comisioane", step);
        });
    }
    if (world.hasTrouble()) {
        world.at(15 * second, [&world] {
            const std::string task = std::string(servingJob) + ".0.0.0";
            worker *host = world.workerOf(task);
            if (host == nullptr || !host->failRun(task)) {
                world.finish(2, "the lasting task does not run");
            }
        });
    }
    world.at(42 * second, [&world] { checkLasting(world); });
}

} // namespace bramleygrade::review
