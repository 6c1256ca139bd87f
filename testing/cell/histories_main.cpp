#include <cstdlib>
#include <iostream>
#include <string>

#include "testing/cell/cell_history.h"

/// Runs randomised histories of the cell scheduler: cell_histories FIRST_SEED COUNT [takeovers
/// [crashes] | capacity | deadly]. The defaults are 1 and 100. With `takeovers` the cell has 350
/// workers and wide steps, and schedulers replace one another every second or two; with `crashes`
/// workers crash as well. With `capacity` in their place, the workers' capacities shrink and grow;
/// with `deadly`, the tasks of some jobs crash the workers that start them. Exit code 1 if
/// a history violates a rule.
int main(int argc, char **argv)
{
    using namespace bramleygrade;
    const std::uint64_t first = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::uint64_t count = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 100;
    testing::history_faults faults;
    faults.lostAnswerShare = 0.02;
    faults.delayedOrderShare = 0.01;
    faults.schedulerCrashInterval = 6 * second;
    faults.schedulerPauseInterval = 9 * second;
    faults.workerCrashInterval = 5 * second;
    faults.workerPartitionInterval = 6 * second;
    faults.successorPartitionShare = 0.3;
    faults.longTaskShare = 0.1;
    faults.storeOutageInterval = 9 * second;
    int workers = 8;
    if (argc > 3 && argv[3] == std::string("takeovers")) {
        faults = {};
        faults.workerCrashInterval = argc > 4 && argv[4] == std::string("crashes") ? 3 * second : 0;
        faults.schedulerCrashInterval = 1'500 * millisecond;
        faults.schedulerPauseInterval = 4 * second;
        faults.submitInterval = 80 * millisecond;
        faults.failingTaskShare = 0.002;
        faults.maxTasksPerStep = 50;
        faults.allowedWorkerShare = 0.2;
        faults.isLargeCell = true;
        workers = 350;
    }
    if (argc > 3 && argv[3] == std::string("capacity")) {
        faults.capacityChangeInterval = 300 * millisecond;
        faults.scavengingStepShare = 0.15;
    }
    if (argc > 3 && argv[3] == std::string("deadly")) {
        faults.crashingJobShare = 0.05;
    }
    int failed = 0;
    testing::history_counts total;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        testing::cell_history history(seed, faults, workers);
        history.run(20 * second);
        const testing::history_counts counts = history.counts();
        total.jobs += counts.jobs;
        total.completed += counts.completed;
        total.takeovers += counts.takeovers;
        total.workerCrashes += counts.workerCrashes;
        total.starts += counts.starts;
        total.startsRefusedForCapacity += counts.startsRefusedForCapacity;
        total.failedInnocent += counts.failedInnocent;
        if (!history.violations().empty()) {
            ++failed;
            std::cout << "seed " << seed << ": " << history.violations().front() << " ("
                      << history.violations().size() << " violations in total)" << std::endl;
        }
    }
    std::cout << count << " histories: jobs " << total.jobs << ", completed " << total.completed
              << ", starts " << total.starts << ", takeovers " << total.takeovers << ", crashes "
              << total.workerCrashes << ", starts refused for capacity "
              << total.startsRefusedForCapacity << ", failed without a fault of their own "
              << total.failedInnocent << std::endl;
    std::cout << count - static_cast<std::uint64_t>(failed) << " passed, " << failed << " failed"
              << std::endl;
    return failed == 0 ? 0 : 1;
}
