#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>

#include "testing/cell/load_presets.h"

namespace {

double waitQuantile(const bramleygrade::testing::load_class_outcome &served, double share)
{
    std::vector<double> waits = served.gangWaitSeconds;
    std::sort(waits.begin(), waits.end());
    return waits[static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1))];
}

} // namespace

/// Offers a load to the cell scheduler in virtual time and prints what each class earned:
/// cell_loads wide|peak|large|uneven [FIRST_SEED [COUNT [no_speeds]]]. The defaults are 1 and 1.
/// Answers of the advisory service: those followed by a start, and those followed by another call.
int main(int argc, char **argv)
{
    using namespace bramleygrade;
    const std::string preset = argc > 1 ? argv[1] : "";
    if (preset != "wide" && preset != "peak" && preset != "large" && preset != "uneven") {
        std::cerr << "usage: cell_loads wide|peak|large|uneven [FIRST_SEED [COUNT [no_speeds]]]"
                  << std::endl;
        return 2;
    }
    const std::uint64_t first = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    const std::uint64_t count = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 1;
    testing::load_settings settings = preset == "wide" ? testing::makeWideSteps()
        : preset == "peak"                             ? testing::makeWideStepsAtPeak()
        : preset == "large"                            ? testing::makeLargeCell()
                                                       : testing::makeUnevenSpeeds();
    settings.workerSpeeds = argc <= 4 || std::string(argv[4]) != "no_speeds";
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const testing::load_outcome outcome = testing::simulateLoad(settings, seed);
        std::cout << "seed " << seed;
        for (std::size_t index = 0; index < settings.classes.size(); ++index) {
            const testing::load_class_outcome &served = outcome.classes[index];
            std::cout << ", " << settings.classes[index].policy.name << " "
                      << testing::earnedShare(served) << " (" << served.completedOnTime << "+"
                      << served.completedLate << " of " << served.jobs << ", wasted "
                      << static_cast<int>(served.wastedCoreSeconds) << ", preempted "
                      << static_cast<int>(served.preemptedCoreSeconds);
            if (!served.gangWaitSeconds.empty()) {
                std::cout << ", wait " << waitQuantile(served, 0.5) << " "
                          << waitQuantile(served, 0.9);
            }
            std::cout << ")";
            const testing::outcome_by_size sizes = testing::sortBySize(outcome, index);
            for (const testing::size_outcome &size :
                 {sizes.largestTenth, sizes.nextFifth, sizes.smaller, sizes.all}) {
                std::cout << " " << size.served << "/" << size.onTime << "/" << size.earned;
            }
        }
        std::cout << "; total " << testing::earnedShare(testing::sumOutcomes(outcome)) << ", used "
                  << outcome.meanUsedShare << ", starts " << outcome.counters.starts
                  << ", preempted " << outcome.counters.preemptedRuns << " (repeatedly "
                  << outcome.repeatedPreemptions << ")"
                  << ", advice calls " << outcome.counters.adviceCalls;
        for (const auto &[queue, use] : outcome.counters.adviceUse) {
            std::cout << ", " << queue << " answers " << use.withStart.calls << "/"
                      << use.withoutStart.calls << " " << use.withStart.time / second << "/"
                      << use.withoutStart.time / second << " s";
        }
        std::cout << std::endl;
    }
    return 0;
}
