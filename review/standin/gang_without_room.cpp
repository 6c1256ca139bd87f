#include "cases.h"

#include <algorithm>

#include "checks.h"
#include "record.h"

namespace bramleygrade::review {

namespace {

constexpr char wideJob[] = "a000000000000001";
constexpr int narrowJobs = 12;

struct cell_use
{
    std::int64_t used = 0;
    std::int64_t capacity = 0;
};

cell_use measureUse(cell_world &world)
{
    cell_use use;
    for (std::size_t index = 0; index < world.workerCount(); ++index) {
        worker &each = world.workerAt(index);
        use.capacity += each.isReachable() ? each.settings().cpuMilli : 0;
        use.used += each.isReachable() ? each.usedCpuMilli() : 0;
    }
    note("check: " + std::to_string(use.used) + " of " + std::to_string(use.capacity)
         + " thousandths of a core are in use");
    return use;
}

/// Whether any run of the job was under way in the last 3 s.
bool hadRuns(const cell_world &world, const std::string &job)
{
    const timestamp since = steadyNow() - 3 * second;
    const auto &runs = world.book().runs;
    return std::any_of(runs.begin(), runs.end(), [&](const observed_run &run) {
        return run.task.compare(0, job.size(), job) == 0
            && (run.endedAt == 0 || run.endedAt > since);
    });
}

/// Counts the accepted jobs but `except` that are not completed and have had no run for 3 s, and
/// ends the case. The rule asks for under half of the capacity in use.
void checkStarved(cell_world &world, const std::string &except)
{
    const cell_use use = measureUse(world);
    int starved = 0;
    int accepted = 0;
    for (const auto &[id, job] : world.jobs()) {
        if (id == except || !job.accepted) {
            continue;
        }
        ++accepted;
        if (job.state != "completed" && !hadRuns(world, id)) {
            ++starved;
            note("check: " + id + ", accepted " + inMs(steadyNow() - job.acceptedAt) + " ago, is "
                 + job.state + " and has nothing running");
        }
    }
    if (accepted == 0) {
        world.finish(2, "no job was accepted");
        return;
    }
    const bool isBroken = starved > 0 && use.used * 2 < use.capacity;
    world.finish(isBroken ? 1 : 0,
                 isBroken ? "LOST broken: " + std::to_string(starved) + " of "
                         + std::to_string(accepted) + " accepted jobs have nothing running"
                          : "LOST held");
}

/// Asks for all jobs at `finishTime` after the end of the traffic, and then checks them.
void checkAfterTraffic(cell_world &world, microseconds trafficEnd, const std::string &except)
{
    world.at(trafficEnd + finishTime, [&world] {
        for (const auto &[id, job] : world.jobs()) {
            world.askState(id);
        }
    });
    world.at(trafficEnd + finishTime + 4 * second,
             [&world, except] { checkStarved(world, except); });
}

} // namespace

void runGangWithoutRoom(cell_world &world)
{
    if (world.hasTrouble()) {
        world.workerAt(world.workerCount() - 1).crash(false);
    }
    world.at(8 * second, [&world] {
        step_behaviour wide;
        wide.count = 16;
        wide.cpuMilli = 15'000;
        wide.gang = true;
        wide.duration = 10 * second;
        world.submit(wideJob, "rota", wide);
    });
    for (int number = 0; number < narrowJobs; ++number) {
        world.at((10'000 + 250 * number) * millisecond, [&world, number] {
            step_behaviour narrow;
            narrow.count = 2;
            narrow.cpuMilli = 9'000;
            narrow.gang = true;
            narrow.duration = 4 * second;
            world.submit(jobId("b", number), "rota", narrow);
        });
    }
    checkAfterTraffic(world, 36 * second, wideJob);
}

} // namespace bramleygrade::review
