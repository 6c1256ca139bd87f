#include "cases.h"

#include <algorithm>

#include "checks.h"
#include "record.h"

namespace bramleygrade::review {

namespace {

constexpr char scheduledJob[] = "5000000000000001";
constexpr int occurrences = 1'600;
constexpr int usualJobs = 60;
/// Milliseconds between two occurrences.
constexpr std::int64_t interval = 30;

/// Counts the accepted jobs that are not shown as completed long after their tasks have ended, and
/// the tasks that ran to their end more than once.
void checkUncompleted(cell_world &world)
{
    std::map<std::string, int> doneRuns;
    for (const observed_run &run : world.book().runs) {
        doneRuns[run.task] += run.how == "done" ? 1 : 0;
    }
    const auto repeated = std::count_if(doneRuns.begin(), doneRuns.end(),
                                        [](const auto &task) { return task.second > 1; });
    const auto uncompleted =
        std::count_if(world.jobs().begin(), world.jobs().end(), [](const auto &job) {
            return job.second.accepted && job.second.state != "completed";
        });
    world.finish(uncompleted > 0 || repeated > 0 ? 1 : 0,
                 std::to_string(uncompleted) + " of " + std::to_string(world.jobs().size())
                     + " jobs are not completed, " + std::to_string(repeated)
                     + " tasks ran to their end more than once, the store refused "
                     + std::to_string(world.store().refusedTransactions()) + " transactions");
}

} // namespace

void runLongSchedule(cell_world &world)
{
    step_behaviour step;
    step.cpuMilli = 1'000;
    step.duration = 20 * millisecond;
    // The same runs at the same times, in one job or in four.
    const int jobs = world.hasTrouble() ? 1 : 4;
    for (int number = 0; number < jobs; ++number) {
        world.submit(number == 0 ? scheduledJob : jobId("5", 10 + number), "rota", step, "",
                     R"(,"startAtMs":)" + std::to_string(unixMillis() + 1'000 + number * interval)
                         + R"(,"intervalMs":)" + std::to_string(interval * jobs)
                         + R"(,"repeatCount":)" + std::to_string(occurrences / jobs));
    }
    for (int number = 0; number < usualJobs; ++number) {
        world.at(second * number, [&world, number] {
            step_behaviour usual;
            usual.cpuMilli = 2'000;
            usual.duration = 2 * second;
            world.submit(jobId("b", number), "comisioane", usual);
        });
    }
    world.at(usualJobs * second + finishTime, [&world] {
        for (const auto &[id, job] : world.jobs()) {
            world.askState(id);
        }
    });
    world.at(usualJobs * second + finishTime + 4 * second, [&world] { checkUncompleted(world); });
}

} // namespace bramleygrade::review
