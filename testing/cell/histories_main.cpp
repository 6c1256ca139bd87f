#include <cstdlib>
#include <iostream>
#include <string>

#include "testing/cell/cell_history.h"

namespace {

using namespace bramleygrade;

/// Faults of a small cell in which everything may fail.
testing::history_faults makeMixedFaults()
{
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
    return faults;
}

/// Faults of a large cell whose schedulers replace one another all the time.
testing::history_faults makeTakeoverFaults(bool workersCrash)
{
    testing::history_faults faults;
    faults.workerCrashInterval = workersCrash ? 3 * second : 0;
    faults.schedulerCrashInterval = 1'500 * millisecond;
    faults.schedulerPauseInterval = 4 * second;
    faults.submitInterval = 80 * millisecond;
    faults.failingTaskShare = 0.002;
    faults.maxTasksPerStep = 50;
    faults.allowedWorkerShare = 0.2;
    faults.isLargeCell = true;
    return faults;
}

/// Faults of a cell whose workers start again under their ids and are cut off soon after.
testing::history_faults makeRecutFaults(bool isLate, bool isHidden)
{
    testing::history_faults faults;
    faults.longTaskShare = 0.4;
    faults.submitInterval = 400 * millisecond;
    faults.recutWaveInterval = 4 * second;
    faults.schedulerCrashInterval = isHidden ? 15 * second : 5 * second;
    faults.delayedOrderShare = isLate ? 0.05 : 0;
    faults.delayedOrdersSurviveCrashes = isLate;
    faults.recutsAreHidden = isHidden;
    faults.restartUnderIdShare = 0.8;
    return faults;
}

} // namespace

/// Runs randomised histories of the cell scheduler: cell_histories FIRST_SEED COUNT [takeovers
/// [crashes] | capacity | deadly | restarts | recuts | late-recuts | hidden-recuts | teams]. The
/// defaults are 1 and 100. With `takeovers` the cell has 350 workers and wide steps, and schedulers
/// replace one another every second or two; with `crashes` workers crash as well. With `capacity`
/// in their place, the workers' capacities shrink and grow; with `deadly`, the tasks of some jobs
/// crash the workers that start them; with `restarts`, most of the crashed workers start again
/// under their ids; with `recuts`, waves of them are cut off soon after; with `late-recuts` orders
/// are also carried out late, and with `hidden-recuts` nothing shows that the workers have started
/// again; with `teams`, jobs belong to teams with caps that change. Exit code 1 if a history
/// violates a rule.
int main(int argc, char **argv)
{
    const std::uint64_t first = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::uint64_t count = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 100;
    const std::string kind = argc > 3 ? argv[3] : "";
    const bool isLarge = kind == "takeovers";
    const bool workersCrash = argc > 4 && argv[4] == std::string("crashes");
    testing::history_faults faults = isLarge ? makeTakeoverFaults(workersCrash) : makeMixedFaults();
    const bool isRecut = kind == "recuts" || kind == "late-recuts" || kind == "hidden-recuts";
    const int workers = isLarge ? 350 : (isRecut ? 24 : 8);
    if (kind == "capacity") {
        faults.capacityChangeInterval = 300 * millisecond;
        faults.scavengingStepShare = 0.15;
    } else if (kind == "deadly") {
        faults.crashingJobShare = 0.05;
    } else if (kind == "restarts") {
        faults.workerCrashInterval = 3 * second;
        faults.restartUnderIdShare = 0.8;
        faults.restartWaveInterval = 7 * second;
        faults.crashingJobShare = 0.02;
    } else if (isRecut) {
        faults = makeRecutFaults(kind == "late-recuts", kind == "hidden-recuts");
    }
    if (kind == "teams") {
        faults.capChangeInterval = 2 * second;
        faults.schedulerCrashInterval = 4 * second;
        faults.successorPartitionShare = 0.7;
        faults.scavengingStepShare = 0.1;
        faults.restartUnderIdShare = 0.4;
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
        total.cappedStarts += counts.cappedStarts;
        total.startsNearCap += counts.startsNearCap;
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
              << total.failedInnocent << ", starts of capped teams " << total.cappedStarts
              << ", of them near the cap " << total.startsNearCap << std::endl;
    std::cout << count - static_cast<std::uint64_t>(failed) << " passed, " << failed << " failed"
              << std::endl;
    return failed == 0 ? 0 : 1;
}
