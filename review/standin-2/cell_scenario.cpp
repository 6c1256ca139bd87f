#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "../../testing/soak/cell_world.h"
#include "../../testing/soak/record.h"

/// \file
/// Scenario of the cases 6 to 9: clients, workers and the table service around the real entries.
/// Lasting jobs and short ones are submitted; with trouble, also one job of many occurrences, or
/// another writer puts an entry into the list of workers. Then the rules LOST, Acks and Fault are
/// checked from what clients, workers and the platform have seen.

namespace {

using namespace bramleygrade;
using soak::note;

// Bounds of the users' sheet for csuc-programari.
constexpr microseconds ackLimit = 4'000 * millisecond;
constexpr microseconds finishTime = 14 * second;
/// Time for the answers to the last questions: a deadline of 3 s and four retries.
constexpr microseconds questionTime = 20 * second;
constexpr microseconds idleLimit = 3 * second;

constexpr int workerCount = 12;
constexpr std::int64_t workerCpuMilli = 32'000;
constexpr int lastingJobs = 6;
constexpr int cancelledJobs = 4;
constexpr int shortJobs = 30;
constexpr microseconds troubleAt = 4 * second;
constexpr microseconds soundJobInterval = 100 * millisecond;
constexpr microseconds cancelAt = 12 * second;
constexpr microseconds shortJobsFrom = 8 * second;
constexpr microseconds shortJobInterval = 400 * millisecond;
constexpr int endsPerMachine = 3;
constexpr int machinesWithEnds = 2;

struct scenario
{
    soak::cell_world &world;
    /// The job of many occurrences as JSON fields: of its steps and of the job. Empty: no trouble.
    std::string stepFields;
    std::string jobFields;
    std::string queue;
    soak::step_behaviour firstStep;
    /// Length of the service's name in an entry of another writer; 0: there is no such entry.
    std::size_t foreignServiceBytes = 0;
    /// Sound jobs in `queue` within the 3 s in which the job of many occurrences comes.
    int soundJobs = 0;
    std::vector<timestamp> cancelSentAt = std::vector<timestamp>(lastingJobs, 0);
    int broken = 0;
};

std::string jobId(char kind, int number)
{
    std::string digits = std::to_string(number);
    return std::string(1, kind) + std::string(15 - digits.size(), '0') + digits;
}

void report(scenario &run, bool isBroken, const std::string &rule, const std::string &text)
{
    note(std::string(isBroken ? "BROKEN " : "held ") + rule + ": " + text);
    run.broken += isBroken ? 1 : 0;
}

/// Acks: cancels of accepted jobs without a 2xx or 410 after `ackLimit`.
void checkCancels(scenario &run)
{
    int late = 0;
    int cancels = 0;
    for (int number = 0; number < cancelledJobs; ++number) {
        const soak::client_job &job = run.world.job(jobId('a', number));
        const timestamp sentAt = run.cancelSentAt[static_cast<std::size_t>(number)];
        if (!job.accepted || sentAt == 0) {
            continue;
        }
        ++cancels;
        late += job.cancelledAt == 0 || job.cancelledAt > sentAt + ackLimit ? 1 : 0;
    }
    report(run, cancels >= 3 && 10 * late > cancels, "Acks (cancels)",
           std::to_string(late) + " of " + std::to_string(cancels)
               + " cancels of accepted jobs have no 2xx or 410 after 4000 ms");
}

/// Acks: ends that workers list and that are not taken note of after `ackLimit`.
void checkEnds(scenario &run)
{
    const timestamp now = soak::steadyNow();
    int late = 0;
    int ends = 0;
    for (const soak::observed_run &each : run.world.book().runs) {
        if (each.endedAt == 0 || each.isLost || now < each.endedAt + ackLimit) {
            continue;
        }
        ++ends;
        const bool isNoted =
            each.acknowledgedAt != 0 && each.acknowledgedAt <= each.endedAt + ackLimit;
        late += isNoted ? 0 : 1;
    }
    report(run, 5 * late > ends, "Acks (ends)",
           std::to_string(late) + " of " + std::to_string(ends)
               + " listed ends are not taken note of after 4000 ms");
}

/// LOST: an accepted job that nobody has cancelled is not known, or gets no answer.
void checkStates(scenario &run, timestamp askedAt)
{
    int lost = 0;
    int asked = 0;
    for (const auto &[id, job] : run.world.jobs()) {
        if (!job.accepted || job.isCancelRequested) {
            continue;
        }
        ++asked;
        const bool isKnown = job.state == "queued" || job.state == "running"
            || job.state == "completed" || job.state == "failed";
        if (job.stateAt < askedAt || !isKnown) {
            ++lost;
            note("client: " + id + " was accepted; the answer after the traffic is "
                 + (job.stateAt < askedAt ? "missing" : job.state));
        }
    }
    report(run, lost > 0, "LOST (answers)",
           std::to_string(lost) + " of " + std::to_string(asked)
               + " accepted jobs are not known or get no answer finish_s after the traffic");
}

/// LOST: for 3 s an accepted short or lasting job has nothing running and has not ended, though the
/// workers have room.
void checkIdleJobs(scenario &run)
{
    const timestamp now = soak::steadyNow();
    int idle = 0;
    for (const auto &[id, job] : run.world.jobs()) {
        if (!job.accepted || job.isCancelRequested || id[0] == 'c') {
            continue;
        }
        timestamp activeAt = job.acceptedAt;
        bool isDone = false;
        for (const soak::observed_run &each : run.world.book().runs) {
            if (each.task.compare(0, id.size(), id) == 0) {
                activeAt = std::max(activeAt, each.endedAt == 0 ? now : each.endedAt);
                isDone = isDone || each.how == "done";
            }
        }
        if (!isDone && now > activeAt + idleLimit) {
            ++idle;
            note("workers: nothing of " + id + " runs for "
                 + std::to_string((now - activeAt) / millisecond) + " ms");
        }
    }
    report(run, idle > 0, "LOST (idle)",
           std::to_string(idle) + " accepted jobs have nothing running for 3 s with room for them");
}

/// Fault: processes end by themselves three times on two machines. The script writes one line for
/// each end: the entry and why.
void checkEndsOfProcesses(scenario &run, const std::string &path)
{
    std::ifstream file(path);
    std::vector<int> ends(run.world.entryCount(), 0);
    std::size_t entry = 0;
    std::string why;
    while (file >> entry >> why) {
        if (entry < ends.size()) {
            ++ends[entry];
        }
    }
    int machines = 0;
    std::string counts;
    for (const int count : ends) {
        machines += count >= endsPerMachine ? 1 : 0;
        counts += " " + std::to_string(count);
    }
    report(run, machines >= machinesWithEnds, "Fault",
           "ends of the entries' processes without a disruption:" + counts);
}

/// Another writer puts an entry into the list of workers, of a service that is not configured.
void putForeignEntry(scenario &run)
{
    const std::string value = R"({"service":")" + std::string(run.foreignServiceBytes, 's')
        + R"(","address":"127.0.0.1:9","zone":"zone-1","version":"v1","slots":8,"state":"ready",)"
          R"("coldRemainingMs":0,"capacity":{"cpu":4000,"memMb":4096,"gpu":0},)"
          R"("labels":["a","r1-9"],"sequence":1})";
    note("trouble: another writer puts an entry of " + std::to_string(value.size())
         + " bytes into the list of workers");
    run.world.store().put("servers", "i-other", {value});
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
        run.world.at(shortJobsFrom + number * shortJobInterval, [&run, brief, number] {
            run.world.submit(jobId('b', number), "batch", brief);
        });
    }
    for (int number = 0; number < run.soundJobs; ++number) {
        run.world.at(troubleAt + number * soundJobInterval, [&run, brief, number] {
            run.world.submit(jobId('d', number), run.queue, brief);
        });
    }
    if (!run.jobFields.empty()) {
        run.world.at(troubleAt, [&run] {
            note("trouble: a client submits a job of many occurrences:" + run.jobFields);
            run.world.submit(jobId('c', 0), run.queue, run.firstStep, run.stepFields,
                             run.jobFields);
        });
    }
    if (run.foreignServiceBytes > 0) {
        run.world.at(troubleAt, [&run] { putForeignEntry(run); });
    }
    run.world.at(cancelAt, [&run] {
        for (int number = 0; number < cancelledJobs; ++number) {
            run.cancelSentAt[static_cast<std::size_t>(number)] = soak::steadyNow();
            run.world.cancel(jobId('a', number));
        }
    });
}

void judgeAfterTraffic(scenario &run, const std::string &endsFile)
{
    const microseconds trafficEnds = shortJobsFrom + shortJobs * shortJobInterval;
    run.world.at(trafficEnds + finishTime, [&run, endsFile] {
        const timestamp askedAt = soak::steadyNow();
        checkCancels(run);
        checkEnds(run);
        checkIdleJobs(run);
        for (const auto &[id, job] : std::map(run.world.jobs())) {
            if (job.accepted && !job.isCancelRequested) {
                run.world.askState(id);
            }
        }
        run.world.at(questionTime, [&run, askedAt, endsFile] {
            checkStates(run, askedAt);
            checkEndsOfProcesses(run, endsFile);
            const auto accepted =
                std::count_if(run.world.jobs().begin(), run.world.jobs().end(),
                              [](const auto &job) { return job.second.accepted; });
            note("clients: " + std::to_string(accepted) + " of "
                 + std::to_string(run.world.jobs().size()) + " jobs were accepted");
            run.world.finish(run.broken > 0 ? 1 : 0, run.broken > 0 ? "broken" : "held");
        });
    });
}

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

soak::world_settings makeSettings(const std::string &folder, int entries, int port)
{
    soak::world_settings settings;
    settings.pidFolder = folder;
    std::vector<std::string> peers;
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

/// Arguments: FOLDER ENTRIES FIRST_PORT QUEUE COUNT MILLISECONDS STEP_FIELDS JOB_FIELDS. COUNT
/// tasks of the job of many occurrences take MILLISECONDS each. The ports are those of the soak.
/// The record is FOLDER/record.txt, the ends of processes are read from FOLDER/ends.
int main(int argc, char **argv)
{
    if (argc < 9 || argc > 11) {
        std::cerr << "usage: cell_scenario FOLDER ENTRIES FIRST_PORT QUEUE COUNT MILLISECONDS "
                     "STEP_FIELDS JOB_FIELDS [SERVICE_BYTES [SOUND_JOBS]]\n";
        return 2;
    }
    const std::string folder = argv[1];
    soak::openRecord(folder + "/record.txt");
    boost::asio::io_context loop(1);
    soak::cell_world world(loop, makeSettings(folder, std::atoi(argv[2]), std::atoi(argv[3])));
    const soak::route batch {"batch", "batch.example", "/batch/", 1, 4, 2.2, 1'000};
    const soak::route urgent {"urgent", "urgent.example", "/urgent/", 0, 4, 2.2, 1'000};
    const std::string error = world.start(workerCount, workerCpuMilli, {batch, urgent});
    if (!error.empty()) {
        std::cerr << error << "\n";
        return 2;
    }
    soak::step_behaviour first;
    first.count = std::atoi(argv[5]);
    first.cpuMilli = 100;
    first.duration = std::atoll(argv[6]) * millisecond;
    scenario run {world,   argv[7],
                  argv[8], argv[4],
                  first,   argc < 10 ? std::size_t {0} : std::strtoul(argv[9], nullptr, 10)};
    run.soundJobs = argc < 11 ? 0 : std::atoi(argv[10]);
    world.whenReady([&] {
        submitJobs(run);
        judgeAfterTraffic(run, folder + "/ends");
    });
    loop.run();
    return world.exitCode();
}
