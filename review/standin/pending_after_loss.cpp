#include "cases.h"

#include <algorithm>

#include "checks.h"
#include "record.h"

namespace bramleygrade::review {

namespace {

constexpr char fillingJob[] = "a000000000000002";
constexpr int waitingJobs = 10;
/// `visible_ms` of the sheet, and the 2 s that the rule adds.
constexpr microseconds visibleTime = 5 * second;

/// Returns the number of jobs that were accepted long enough ago and have not begun.
int countWaiting(cell_world &world)
{
    const auto &runs = world.book().runs;
    return static_cast<int>(
        std::count_if(world.jobs().begin(), world.jobs().end(), [&](const auto &job) {
            const bool hasBegun = std::any_of(runs.begin(), runs.end(), [&](const auto &run) {
                return run.task.compare(0, job.first.size(), job.first) == 0;
            });
            return job.second.accepted && job.second.queue == "rezervare" && !hasBegun
                && steadyNow() > job.second.acceptedAt + visibleTime + tolerance;
        }));
}

void checkPending(cell_world &world)
{
    const int waiting = countWaiting(world);
    const auto answers = std::make_shared<std::vector<int>>();
    note("check: " + std::to_string(waiting) + " jobs have waited for "
         + inMs(visibleTime + tolerance) + " and more, and none of their tasks has begun");
    for (std::size_t entry = 0; entry < world.entryCount(); ++entry) {
        world.askPending(entry, "rezervare", [entry, answers](int pending) {
            note("check: entry " + std::to_string(entry) + " gives as pending "
                 + std::to_string(pending));
            answers->push_back(pending);
        });
    }
    world.at(2 * second, [&world, waiting, answers] {
        if (answers->size() < world.entryCount() || (world.hasTrouble() && waiting == 0)) {
            world.finish(2, "no jobs wait, or not all entries have answered");
            return;
        }
        const bool isBroken = std::any_of(answers->begin(), answers->end(),
                                          [&](int pending) { return pending * 2 < waiting; });
        world.finish(isBroken ? 1 : 0,
                     isBroken ? "MIXED broken: under half of the waiting jobs are given as pending"
                              : "MIXED held");
    });
}

} // namespace

void runPendingAfterLoss(cell_world &world)
{
    step_behaviour filling;
    filling.count = 28;
    filling.cpuMilli = 8'000;
    filling.duration = 60 * second;
    world.submit(fillingJob, "comisioane", filling);
    world.at(4 * second, [&world] {
        worker *empty = nullptr;
        for (std::size_t index = 0; index < world.workerCount(); ++index) {
            worker &each = world.workerAt(index);
            empty = each.runCount() == 0 ? &each : empty;
        }
        if (empty == nullptr) {
            world.finish(2, "no worker is left empty");
            return;
        }
        if (world.hasTrouble()) {
            empty->crash(true);
        }
        for (int number = 0; number < waitingJobs; ++number) {
            step_behaviour step;
            step.cpuMilli = 3'000;
            step.duration = second;
            world.submit(jobId("b", number), "rezervare", step);
        }
    });
    world.at(14 * second, [&world] { checkPending(world); });
}

} // namespace bramleygrade::review
