#include "bench/offered_load.h"

#include <random>
#include <unordered_map>

#include "bramleygrade/json_codec.h"
#include "testing/cell_fake.h"

namespace bramleygrade {

namespace {

/// Time for the cell to form and its document to come into force before the load begins.
constexpr microseconds warmUpTime = 12 * second;

/// Number of teams besides the bursting one, each with that team's usual request rate.
constexpr int steadyTeams = 9;

offered_load makeLoad(const std::string &name)
{
    offered_load load;
    load.name = name;
    return load;
}

cell_options makeCellOptions(const offered_load &load)
{
    cell_options options;
    options.seed = load.seed;
    options.entries = load.entries;
    options.racks = (load.workers + 7) / 8;
    options.workersPerRack = 8;
    options.slots = load.slots;
    options.tickInterval = 10 * millisecond;
    options.answerTime = load.answerTime;
    return options;
}

void applyDocument(cell_fake &cell)
{
    service_document document;
    document.team = "bursting";
    for (int team = 0; team < steadyTeams; ++team) {
        document.callers.push_back("quiet-" + std::to_string(team));
    }
    applyDocumentForAllDomains(cell, std::move(document));
}

void scheduleFaults(cell_fake &cell, const offered_load &load, timestamp start)
{
    const timestamp from = start + load.length / 3;
    cell.at(from, [&cell, load] {
        for (int index = 0; index < load.slowWorkers; ++index) {
            cell.workers()[static_cast<std::size_t>(index)].slowFactor = 10;
        }
        for (int index = 0; index < load.failingWorkers; ++index) {
            cell.workers()[static_cast<std::size_t>(index)].failsRequests = true;
        }
        if (!load.losesDomain) {
            return;
        }
        for (std::size_t index = 0; index < cell.workers().size(); ++index) {
            if (cell.workers()[index].tasks.info.failure_domain == "domain-a") {
                cell.killWorker(static_cast<int>(index));
            }
        }
        for (std::size_t index = 0; index < cell.entries().size(); ++index) {
            if (cell.entries()[index].domain == "domain-a") {
                cell.killEntry(static_cast<int>(index));
            }
        }
    });
    if (load.losesTable) {
        cell.tableOutages.push_back({from, start + load.length});
    }
}

struct request_times
{
    timestamp sentAt = 0;
    bool isFromBurstingTeam = false;
};

} // namespace

std::vector<offered_load> allLoads()
{
    std::vector<offered_load> loads;
    loads.push_back(makeLoad("steady"));
    loads.push_back(makeLoad("peak"));
    loads.back().requestsPerSecond = 18'000;
    loads.push_back(makeLoad("burst"));
    loads.back().burstFactor = 10;
    loads.back().requestsPerSecond = 12'000;
    loads.push_back(makeLoad("one slow"));
    loads.back().slowWorkers = 1;
    loads.push_back(makeLoad("one failing"));
    loads.back().failingWorkers = 1;
    loads.push_back(makeLoad("domain lost"));
    loads.back().losesDomain = true;
    loads.back().requestsPerSecond = 8'000;
    loads.push_back(makeLoad("table lost"));
    loads.back().losesTable = true;
    loads.push_back(makeLoad("hot entry"));
    loads.back().hotEntryPercent = 60;
    // Few requests that each take long: the use that worker slots are meant for.
    loads.push_back(makeLoad("long answers"));
    loads.back().answerTime = 200 * millisecond;
    loads.back().requestsPerSecond = 1'600;
    for (offered_load &load : loads) {
        load.requestsPerSecond /= 2;
        load.workers = 48;
        load.answerTime *= 2;
    }
    return loads;
}

std::vector<offered_request> drawRequests(const offered_load &load)
{
    std::mt19937_64 random(load.seed);
    std::exponential_distribution<double> gap(1.0);
    std::vector<offered_request> requests;
    timestamp at = 0;
    while (at < load.length) {
        const bool isBurst =
            load.burstFactor > 1 && at > load.length / 3 && at < 2 * load.length / 3;
        // The bursting team sends a tenth of the usual rate outside the burst.
        const double factor = isBurst ? 0.9 + 0.1 * load.burstFactor : 1.0;
        at += static_cast<microseconds>(gap(random) * static_cast<double>(second)
                                        / (load.requestsPerSecond * factor));
        offered_request request;
        request.at = at;
        const bool isHot = random() % 100 < static_cast<std::uint64_t>(load.hotEntryPercent);
        request.entry =
            isHot ? 0 : static_cast<int>(random() % static_cast<std::uint64_t>(load.entries));
        const double burstShare = (isBurst ? 0.1 * load.burstFactor : 0.1) / factor;
        request.isFromBurstingTeam = static_cast<double>(random() % 1000) < burstShare * 1000;
        request.workPerMille = 500 + static_cast<int>(random() % 1000);
        requests.push_back(request);
    }
    return requests;
}

load_outcome runScheduler(const offered_load &load)
{
    cell_fake cell(makeCellOptions(load));
    load_outcome result;
    std::unordered_map<std::string, request_times> times;
    std::unordered_map<std::uint64_t, std::string> open;
    const timestamp start = historyStart + warmUpTime;
    cell.onAnswer = [&](int, const answer_caller &answered) {
        const answer &outcome = *answered.outcome;
        result.refused += outcome.outcome == outcome::not_run ? 1 : 0;
        result.missed += outcome.outcome == outcome::may_have_run ? 1 : 0;
        result.failed += outcome.outcome == outcome::done && outcome.status >= 500 ? 1 : 0;
    };
    for (int index = 0; index < load.entries; ++index) {
        cell.startEntry(index);
    }
    cell.at(historyStart + 8 * second, [&cell] { applyDocument(cell); });
    scheduleFaults(cell, load, start);
    const std::vector<offered_request> requests = drawRequests(load);
    result.offered = requests.size();
    std::uint64_t handle = 100;
    for (const offered_request &offered : requests) {
        ++handle;
        cell.at(start + offered.at, [&, offered, handle] {
            int entry = offered.entry;
            while (!cell.entries()[static_cast<std::size_t>(entry)].isAlive) {
                entry = (entry + 1) % load.entries; // As a load balancer with health checks.
            }
            caller_request request;
            request.handle = handle;
            request.service = "booking";
            request.team = offered.isFromBurstingTeam
                ? "bursting"
                : "quiet-" + std::to_string(handle % steadyTeams);
            request.deadline = cell.now() + load.deadline;
            request.body = std::to_string(handle);
            times[request.body] = {cell.now(), offered.isFromBurstingTeam};
            cell.deliver(entry, request);
        });
    }
    cell_counters before;
    cell.at(start, [&] { before = cell.counters; });
    cell.run(start + load.length + load.deadline + second);
    for (const endpoint_run &run : cell.runs) {
        const request_times &sent = times.at(run.body);
        result.waits.push_back(run.at - sent.sentAt);
        if (!sent.isFromBurstingTeam) {
            result.steadyTeamWaits.push_back(run.at - sent.sentAt);
        }
    }
    const double seconds = static_cast<double>(load.length) / static_cast<double>(second);
    result.controlBytesPerEntrySecond =
        static_cast<double>(cell.counters.peerBytes - before.peerBytes) / (seconds * load.entries);
    result.tableOpsPerSecond =
        static_cast<double>(cell.counters.tableReads + cell.counters.tableWrites - before.tableReads
                            - before.tableWrites)
        / seconds;
    return result;
}

} // namespace bramleygrade
