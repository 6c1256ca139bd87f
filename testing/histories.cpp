/// Runs randomised histories and prints their violations and a summary: histories --first SEED
/// --count N [--trace] [--calm]. Exit code 1 if a guarantee was violated; the seed reproduces the
/// history.

#include <fstream>
#include <iostream>
#include <set>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "testing/history.h"

ABSL_FLAG(std::uint64_t, first, 1, "seed of the first history");
ABSL_FLAG(int, count, 100, "number of histories to run");
ABSL_FLAG(int, seconds, 75, "virtual length of each history, in seconds");
ABSL_FLAG(bool, trace, false, "print the events of each history");
ABSL_FLAG(bool, calm, false, "inject no faults");
ABSL_FLAG(std::string, known_red, "",
          "file that lists seeds known to fail, as `histories seed N |`");
ABSL_FLAG(bool, jobs, true, "submit jobs");
ABSL_FLAG(bool, callers, true, "send requests");

namespace bramleygrade {

namespace {

/// Returns the seeds that the file lists; their violations are printed but do not fail the run.
std::set<std::uint64_t> readKnownFailures(const std::string &path)
{
    std::set<std::uint64_t> seeds;
    std::ifstream file(path);
    const std::string prefix = "histories seed ";
    for (std::string line; std::getline(file, line);) {
        if (line.rfind(prefix, 0) == 0) {
            seeds.insert(std::stoull(line.substr(prefix.size())));
        }
    }
    return seeds;
}

int run()
{
    const std::set<std::uint64_t> knownFailures = readKnownFailures(absl::GetFlag(FLAGS_known_red));
    history_result total;
    int broken = 0;
    for (int index = 0; index < absl::GetFlag(FLAGS_count); ++index) {
        history_options options;
        options.seed = absl::GetFlag(FLAGS_first) + static_cast<std::uint64_t>(index);
        options.length = absl::GetFlag(FLAGS_seconds) * second;
        options.hasFaults = !absl::GetFlag(FLAGS_calm);
        options.hasJobs = absl::GetFlag(FLAGS_jobs);
        options.hasCallers = absl::GetFlag(FLAGS_callers);
        options.isTraced = absl::GetFlag(FLAGS_trace);
        const history_result result = runHistory(options);
        const bool isKnownFailure = knownFailures.count(options.seed) > 0;
        broken += result.violations.empty() || isKnownFailure ? 0 : 1;
        for (const std::string &violation : result.violations) {
            std::cout << (isKnownFailure ? "known red, " : "") << "seed " << options.seed << ": "
                      << violation << '\n';
        }
        total.requests += result.requests;
        total.done += result.done;
        total.notRun += result.notRun;
        total.mayHaveRun += result.mayHaveRun;
        total.unanswered += result.unanswered;
        total.changesAccepted += result.changesAccepted;
        total.jobsAccepted += result.jobsAccepted;
        total.tasksStarted += result.tasksStarted;
        total.tasksFinished += result.tasksFinished;
        total.samples += result.samples;
        total.samplesHeld += result.samplesHeld;
        total.outageSamples += result.outageSamples;
        total.outageSamplesHeld += result.outageSamplesHeld;
    }
    const auto share = [](long part, long whole) {
        return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
    };
    std::cout << "histories " << absl::GetFlag(FLAGS_count) << " broken " << broken << "; requests "
              << total.requests << " answers done " << total.done << " not-run " << total.notRun
              << " may-have-run " << total.mayHaveRun << " unanswered " << total.unanswered
              << "; changes accepted " << total.changesAccepted << "; jobs accepted "
              << total.jobsAccepted << " tasks started " << total.tasksStarted << " finished "
              << total.tasksFinished << "; shards held " << share(total.samplesHeld, total.samples)
              << ", in table outages " << share(total.outageSamplesHeld, total.outageSamples)
              << std::endl;
    return broken == 0 ? 0 : 1;
}

} // namespace

} // namespace bramleygrade

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    return bramleygrade::run();
}
