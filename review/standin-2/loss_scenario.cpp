#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "../../testing/soak/cell_world.h"
#include "../../testing/soak/record.h"

/// \file
/// Scenario of case 10: lasting jobs run; most entries, the scheduler among them, are lost for good
/// together with the worker of some of these jobs. Then the rule LOST is checked for tasks that
/// last, from what the workers have seen.

namespace {

using namespace bramleygrade;
using soak::note;

constexpr int workerCount = 12;
constexpr std::int64_t workerCpuMilli = 32'000;
constexpr int lastingJobs = 6;
constexpr int shortJobs = 12;
constexpr microseconds lossAt = 6 * second;
constexpr microseconds shortJobsFrom = 10 * second;
constexpr microseconds judgeAt = 36 * second;
// RULES.md, LOST: a task that lasts has nothing running for 3 s, from 6 s after its last run, if
// these 3 s and the 4 s before them are calm.
constexpr microseconds restartTime = 6 * second;
constexpr microseconds calmTime = 4 * second;
constexpr microseconds idleLimit = 3 * second;

struct scenario
{
    soak::cell_world &world;
    std::string folder;
    int lostEntries = 0;
    timestamp lostAt = 0;
};

std::string jobId(char kind, int number)
{
    std::string digits = std::to_string(number);
    return std::string(1, kind) + std::string(15 - digits.size(), '0') + digits;
}

/// Kills the entry; the script does not start it again.
void removeEntry(scenario &run, std::size_t entry)
{
    std::ofstream(run.folder + "/gone-" + std::to_string(entry)) << "gone\n";
    run.world.signalEntry(entry, SIGKILL);
}

void loseMachines(scenario &run)
{
    const std::string leader = run.world.store().leaderName();
    const std::size_t entries = run.world.entryCount();
    const std::size_t first = leader.empty() ? 0 : static_cast<std::size_t>(leader.back() - '0');
    note("trouble: the scheduler is " + leader + "; " + std::to_string(run.lostEntries) + " of "
         + std::to_string(entries) + " entries are lost for good");
    run.lostAt = soak::steadyNow();
    for (int lost = 0; lost < run.lostEntries; ++lost) {
        removeEntry(run, (first + static_cast<std::size_t>(lost)) % entries);
    }
    soak::worker *worker = run.world.workerOf(jobId('a', 0) + ".0.0.0");
    if (worker != nullptr) {
        worker->crash();
    }
}

void submitJobs(scenario &run)
{
    soak::step_behaviour lasting;
    lasting.cpuMilli = 500;
    lasting.longRunning = true;
    for (int number = 0; number < lastingJobs; ++number) {
        run.world.submit(jobId('a', number), "batch", lasting);
    }
    soak::step_behaviour brief;
    brief.cpuMilli = 500;
    brief.duration = 500 * millisecond;
    for (int number = 0; number < shortJobs; ++number) {
        run.world.at(shortJobsFrom + number * second, [&run, brief, number] {
            run.world.submit(jobId('b', number), "batch", brief);
        });
    }
    if (run.lostEntries > 0) {
        run.world.at(lossAt, [&run] { loseMachines(run); });
    }
}

/// Returns how long nothing of the job ran, from the end of its newest run before the loss on;
/// 0: it ran on.
microseconds idleAfterLoss(const scenario &run, const std::string &id, timestamp now)
{
    timestamp endedAt = 0;
    timestamp startedAt = now;
    for (const soak::observed_run &each : run.world.book().runs) {
        if (each.task.compare(0, id.size(), id) != 0) {
            continue;
        }
        if (each.startedAt <= run.lostAt) {
            endedAt = each.endedAt;
        } else {
            startedAt = std::min(startedAt, each.startedAt);
        }
    }
    return endedAt == 0 ? 0 : startedAt - endedAt;
}

void judge(scenario &run)
{
    const timestamp now = soak::steadyNow();
    int lost = 0;
    for (int number = 0; number < lastingJobs && run.lostAt > 0; ++number) {
        const std::string id = jobId('a', number);
        const microseconds idle = idleAfterLoss(run, id, now);
        note("workers: after the loss nothing of " + id + " runs for "
             + std::to_string(idle / millisecond) + " ms");
        lost += idle > std::max(restartTime, calmTime) + idleLimit ? 1 : 0;
    }
    const auto accepted = std::count_if(run.world.jobs().begin(), run.world.jobs().end(),
                                        [](const auto &job) { return job.second.accepted; });
    note("clients: " + std::to_string(accepted) + " of " + std::to_string(run.world.jobs().size())
         + " jobs were accepted");
    note(std::string(lost > 0 ? "BROKEN" : "held") + " LOST: " + std::to_string(lost)
         + " accepted jobs with a lasting task have nothing running for over 9 s");
    run.world.finish(lost > 0 ? 1 : 0, lost > 0 ? "broken" : "held");
}

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

soak::world_settings makeSettings(const std::string &folder, int entries, int port)
{
    soak::world_settings settings;
    settings.pidFolder = folder;
    for (int entry = 0; entry < entries; ++entry) {
        settings.storeAddresses.push_back(loopback(port++));
    }
    for (int entry = 0; entry < entries; ++entry, port += 4) {
        settings.entries.push_back({loopback(port), loopback(port + 1)});
        settings.peerAddresses.push_back(loopback(port + 2));
    }
    for (int entry = 0; entry < entries; ++entry) {
        settings.peerLinks.emplace_back();
        for (int other = 0; other < entries; ++other) {
            settings.peerLinks.back().push_back(loopback(port++));
        }
    }
    for (int worker = 0; worker < workerCount; ++worker) {
        settings.workerAddresses.emplace_back();
        for (int entry = 0; entry < entries; ++entry) {
            settings.workerAddresses.back().push_back(loopback(port++));
        }
    }
    return settings;
}

} // namespace

/// Arguments: FOLDER ENTRIES FIRST_PORT LOST_ENTRIES. The ports are those of the soak. The record
/// is FOLDER/record.txt.
int main(int argc, char **argv)
{
    if (argc != 5) {
        std::cerr << "usage: loss_scenario FOLDER ENTRIES FIRST_PORT LOST_ENTRIES\n";
        return 2;
    }
    const std::string folder = argv[1];
    soak::openRecord(folder + "/record.txt");
    boost::asio::io_context loop(1);
    soak::cell_world world(loop, makeSettings(folder, std::atoi(argv[2]), std::atoi(argv[3])));
    const soak::route batch {"batch", "batch.example", "/batch/", 1, 4, 2.2, 1'000};
    const std::string error = world.start(workerCount, workerCpuMilli, {batch});
    if (!error.empty()) {
        std::cerr << error << "\n";
        return 2;
    }
    scenario run {world, folder, std::atoi(argv[4])};
    world.whenReady([&] {
        submitJobs(run);
        world.at(judgeAt, [&run] { judge(run); });
    });
    loop.run();
    return world.exitCode();
}
