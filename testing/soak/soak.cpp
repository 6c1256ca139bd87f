#include "soak.h"

#include <csignal>
#include <optional>
#include <random>

#include "checks.h"
#include "record.h"

namespace bramleygrade::soak {

namespace {

/// Time without faults in which every accepted job has to end, and what was cancelled has to stop.
constexpr microseconds calmTime = 20 * second;
/// Part of it after which every entry must know how many jobs wait.
constexpr microseconds settledAfter = 5 * second;
/// Time for the answers to the last questions.
constexpr microseconds answerTime = 8 * second;
/// Cancellations acknowledged later than this before the end may still be carried out.
constexpr microseconds cancelSettleTime = 7 * second;
constexpr std::size_t maxLinesPerCheck = 20;

struct soak_run
{
    cell_world &world;
    soak_settings settings;
    std::mt19937_64 random;
    timestamp endsAt = 0;
    int jobs = 0;
};

using soak_ref = std::shared_ptr<soak_run>;

std::int64_t draw(soak_run &soak, std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(soak.random);
}

microseconds drawMs(soak_run &soak, std::int64_t low, std::int64_t high)
{
    return draw(soak, low, high) * millisecond;
}

std::size_t drawEntry(soak_run &soak)
{
    return static_cast<std::size_t>(
        draw(soak, 0, static_cast<std::int64_t>(soak.world.entryCount()) - 1));
}

worker &drawWorker(soak_run &soak)
{
    return soak.world.workerAt(static_cast<std::size_t>(
        draw(soak, 0, static_cast<std::int64_t>(soak.world.workerCount()) - 1)));
}

/// One seed in two brings more work than the workers can do at once, and mostly partitions; one in
/// four a single partition of the leader, and one in twenty one of the leader with a majority.
bool isPartitionProfile(const soak_run &soak)
{
    return soak.settings.seed % 2 == 1;
}

std::string nextJobId(soak_run &soak)
{
    const std::string number = std::to_string(++soak.jobs);
    return std::string(16 - number.size(), '0') + number;
}

/// Cancels the job when its acceptance is known; before that it would be answered as unknown.
void cancelOnceAccepted(const soak_ref &soak, const std::string &id)
{
    if (soak->world.job(id).accepted) {
        soak->world.cancel(id);
        return;
    }
    soak->world.at(200 * millisecond, [soak, id] { cancelOnceAccepted(soak, id); });
}

/// Submits one job, and cancels it soon if it lasts, or by chance.
void submitJob(const soak_ref &soak)
{
    static const step_behaviour kinds[] = {
        {2, 2'800, false, false, false, 1 * second},
        {2, 2'800, false, false, false, 1 * second},
        {2, 2'800, false, false, false, 1 * second},
        {40, 200, false, false, false, 300 * millisecond},
        {10, 2'000, false, false, true, 2'200 * millisecond},
        {6, 9'000, true, false, true, 4 * second},
        {3, 1'000, false, true, false, 1 * second},
    };
    static const char *const queues[] = {"short", "short", "short", "small",
                                         "batch", "gangs", "batch"};
    const auto kind = static_cast<std::size_t>(draw(*soak, 0, 6));
    const std::string id = nextJobId(*soak);
    soak->world.submit(id, queues[kind], kinds[kind]);
    const bool isCancelled = kinds[kind].longRunning || draw(*soak, 1, 12) == 1;
    if (isCancelled) {
        soak->world.at(drawMs(*soak, 100, 4'000), [soak, id] { cancelOnceAccepted(soak, id); });
    }
}

void submitJobs(const soak_ref &soak)
{
    if (steadyNow() >= soak->endsAt) {
        return;
    }
    submitJob(soak);
    const std::int64_t longestPause = isPartitionProfile(*soak) ? 60 : 250;
    soak->world.at(drawMs(*soak, 20, longestPause), [soak] { submitJobs(soak); });
}

// Faults. Each ends by itself.

/// Replaces the fault of a link, but not its cuts.
template <typename Link>
void setFault(Link &link, Link fault)
{
    fault.cuts = link.cuts;
    link = fault;
}

void signalEntry(const soak_ref &soak)
{
    const std::size_t entry = drawEntry(*soak);
    switch (draw(*soak, 0, 3)) {
    case 0:
        soak->world.signalEntry(entry, SIGTERM);
        break;
    case 1:
        soak->world.signalEntry(entry, SIGKILL);
        break;
    default:
        soak->world.signalEntry(entry, SIGSTOP);
        soak->world.at(drawMs(*soak, 300, 7'000),
                       [soak, entry] { soak->world.signalEntry(entry, SIGCONT); });
    }
}

void killAllEntries(const soak_ref &soak)
{
    for (std::size_t entry = 0; entry < soak->world.entryCount(); ++entry) {
        soak->world.signalEntry(entry, SIGKILL);
    }
}

/// The table service is away for all entries or for some.
void disturbStore(const soak_ref &soak)
{
    store_link fault;
    switch (draw(*soak, 0, 4)) {
    case 0:
        fault.refuses = true;
        break;
    case 1:
        fault.losesAnswers = true;
        break;
    case 2:
        fault.delay = drawMs(*soak, 200, 3'000);
        break;
    default:
        fault.silent = true;
    }
    const bool forAll = draw(*soak, 0, 1) == 0;
    const microseconds length = drawMs(*soak, 500, 13'000);
    std::string affected;
    for (std::size_t entry = 0; entry < soak->world.entryCount(); ++entry) {
        if (forAll || draw(*soak, 0, 1) == 0) {
            affected += " " + std::to_string(entry);
            setFault(soak->world.store().linkOf(entry), fault);
            soak->world.at(length, [soak, entry] {
                setFault(soak->world.store().linkOf(entry), store_link {});
            });
        }
    }
    note("trouble: the store is disturbed for " + std::to_string(length / millisecond)
         + " ms, entries" + affected + (fault.silent ? ", silent" : "")
         + (fault.refuses ? ", refuses" : "") + (fault.losesAnswers ? ", loses answers" : "")
         + ", delay " + std::to_string(fault.delay / millisecond) + " ms");
}

void cutWorker(const soak_ref &soak)
{
    worker &cut = drawWorker(*soak);
    if (!cut.isReachable()) {
        return;
    }
    if (draw(*soak, 0, 3) == 0) {
        cut.drain();
        soak->world.at(drawMs(*soak, 3'000, 9'000), [soak, &cut] {
            if (cut.isUp()) {
                cut.crash(); // it leaves, with all that runs there
            }
            soak->world.at(2 * second, [&cut] {
                if (!cut.isUp()) {
                    cut.restart();
                }
            });
        });
    }
    const bool refuses = draw(*soak, 0, 1) == 0;
    soak->world.at(drawMs(*soak, 0, 2'000), [soak, &cut, refuses] {
        if (!cut.isReachable()) {
            return;
        }
        cut.cutOff(refuses);
        soak->world.at(drawMs(*soak, 500, 6'000), [&cut] { cut.reconnect(); });
    });
}

void crashWorker(const soak_ref &soak)
{
    worker &crashed = drawWorker(*soak);
    if (!crashed.isUp()) {
        return;
    }
    crashed.crash();
    soak->world.at(drawMs(*soak, 300, 6'000), [&crashed] {
        if (!crashed.isUp()) {
            crashed.restart();
        }
    });
}

/// Some workers' calls fail: from one entry, or from all.
void disturbLinks(const soak_ref &soak)
{
    worker_link fault;
    switch (draw(*soak, 0, 2)) {
    case 0:
        fault.losesAnswers = true;
        break;
    case 1:
        fault.delay = drawMs(*soak, 100, 4'000);
        break;
    default:
        fault.silent = true;
    }
    const bool fromAll = draw(*soak, 0, 2) == 0;
    const std::size_t only = drawEntry(*soak);
    const microseconds length = drawMs(*soak, 500, 9'000);
    const auto workers = draw(*soak, 1, workerCount / 2);
    note("trouble: calls of "
         + (fromAll ? std::string("all entries") : "entry " + std::to_string(only)) + " to "
         + std::to_string(workers) + " workers are disturbed for "
         + std::to_string(length / millisecond) + " ms" + (fault.silent ? ", silent" : "")
         + (fault.losesAnswers ? ", lost answers" : "") + ", delay "
         + std::to_string(fault.delay / millisecond) + " ms");
    for (std::int64_t index = 0; index < workers; ++index) {
        worker &disturbed = drawWorker(*soak);
        for (std::size_t entry = 0; entry < soak->world.entryCount(); ++entry) {
            if (fromAll || entry == only) {
                setFault(disturbed.linkOf(entry), fault);
                soak->world.at(length, [&disturbed, entry] {
                    setFault(disturbed.linkOf(entry), worker_link {});
                });
            }
        }
    }
}

/// Heartbeats do not reach the store, as with a store that is away for workers only, so that
/// entries lapse.
void muteWorkers(const soak_ref &soak)
{
    const microseconds length = drawMs(*soak, 3'000, 12'000);
    const auto workers = draw(*soak, 1, workerCount);
    note("trouble: heartbeats of " + std::to_string(workers) + " workers are lost for "
         + std::to_string(length / millisecond) + " ms");
    for (std::int64_t index = 0; index < workers; ++index) {
        worker &mute = drawWorker(*soak);
        mute.silenceHeartbeats(true);
        soak->world.at(length, [&mute] { mute.silenceHeartbeats(false); });
    }
}

/// A part of the cell that is cut off from the store and from the rest, as by the loss of the links
/// of a failure domain.
struct cut_group
{
    std::vector<bool> entries;
    /// The first workers belong to the group; empty: both parts reach all workers.
    std::optional<std::size_t> workers;
};

void changeCut(cell_world &world, const cut_group &group, int cuts)
{
    for (std::size_t entry = 0; entry < world.entryCount(); ++entry) {
        world.store().linkOf(entry).cuts += group.entries[entry] ? cuts : 0;
        for (std::size_t other = 0; other < world.entryCount(); ++other) {
            if (group.entries[entry] != group.entries[other]) {
                world.peers().linkOf(entry, other).cuts += cuts;
            }
        }
        for (std::size_t index = 0; group.workers && index < world.workerCount(); ++index) {
            if (group.entries[entry] != (index < *group.workers)) {
                world.workerAt(index).linkOf(entry).cuts += cuts;
            }
        }
    }
    for (std::size_t index = 0; group.workers && index < *group.workers; ++index) {
        world.workerAt(index).silenceHeartbeats(cuts > 0);
    }
}

void cutFor(const soak_ref &soak, const cut_group &group, microseconds length)
{
    std::string names;
    for (std::size_t entry = 0; entry < group.entries.size(); ++entry) {
        names += group.entries[entry] ? " " + std::to_string(entry) : "";
    }
    note("trouble: entries" + names + " and " + std::to_string(group.workers.value_or(0))
         + " workers are cut off for " + std::to_string(length / millisecond) + " ms");
    changeCut(soak->world, group, 1);
    soak->world.at(length, [soak, group] { changeCut(soak->world, group, -1); });
}

/// Returns the number of the entry that leads; the first one if none does.
std::size_t findLeader(soak_run &soak)
{
    const std::string name = soak.world.store().leaderName();
    return name.empty() ? 0 : static_cast<std::size_t>(name.back() - '0');
}

void cutGroup(const soak_ref &soak)
{
    cut_group group;
    const bool withLeader = draw(*soak, 0, 1) == 0;
    for (std::size_t entry = 0; entry < soak->world.entryCount(); ++entry) {
        group.entries.push_back(draw(*soak, 0, 9) < 3);
    }
    if (withLeader) {
        group.entries[findLeader(*soak)] = true;
    }
    if (draw(*soak, 0, 3) > 0) {
        group.workers =
            static_cast<std::size_t>(draw(*soak, 0, static_cast<std::int64_t>(workerCount) / 2));
    }
    cutFor(soak, group, drawMs(*soak, 1'000, 16'000));
}

/// Cuts the leader off with half of the workers, alone or with another entry.
void cutLeader(const soak_ref &soak)
{
    cut_group group;
    group.entries.resize(soak->world.entryCount());
    const std::size_t leader = findLeader(*soak);
    group.entries[leader] = true;
    group.entries[(leader + 1) % group.entries.size()] = draw(*soak, 0, 1) == 0;
    group.workers = workerCount / 2;
    cutFor(soak, group, drawMs(*soak, 8'000, 16'000));
}

/// Cuts the leader off with half of the workers and with so many entries that these are a majority.
void cutMajority(const soak_ref &soak)
{
    cut_group group;
    group.entries.resize(soak->world.entryCount());
    const std::size_t leader = findLeader(*soak);
    for (std::size_t number = 0; number <= group.entries.size() / 2; ++number) {
        group.entries[(leader + number) % group.entries.size()] = true;
    }
    group.workers = workerCount / 2;
    cutFor(soak, group, drawMs(*soak, 8'000, 12'000));
}

/// A link between two entries fails in one direction.
void disturbPeers(const soak_ref &soak)
{
    const std::size_t from = drawEntry(*soak);
    const std::size_t to = drawEntry(*soak);
    const bool losesAnswers = draw(*soak, 0, 1) == 0;
    const microseconds length = drawMs(*soak, 500, 8'000);
    note("trouble: link of entry " + std::to_string(from) + " to " + std::to_string(to)
         + (losesAnswers ? " loses answers" : " is cut") + " for "
         + std::to_string(length / millisecond) + " ms");
    const auto change = [soak, from, to, losesAnswers](int sign) {
        peer_link &link = soak->world.peers().linkOf(from, to);
        (losesAnswers ? link.lostAnswers : link.cuts) += sign;
    };
    change(1);
    soak->world.at(length, [change] { change(-1); });
}

void injectFault(const soak_ref &soak)
{
    if (isPartitionProfile(*soak) && draw(*soak, 0, 1) == 0) {
        cutGroup(soak);
        return;
    }
    switch (draw(*soak, 0, 18)) {
    case 16:
    case 17:
        cutGroup(soak);
        break;
    case 18:
        disturbPeers(soak);
        break;
    case 0:
        killAllEntries(soak);
        break;
    case 1:
    case 2:
    case 3:
        disturbStore(soak);
        break;
    case 4:
    case 5:
        cutWorker(soak);
        break;
    case 6:
        crashWorker(soak);
        break;
    case 7:
    case 8:
        disturbLinks(soak);
        break;
    case 9:
        muteWorkers(soak);
        break;
    default:
        signalEntry(soak);
    }
}

/// Brings faults about in series; some come close together.
void injectFaults(const soak_ref &soak)
{
    if (steadyNow() >= soak->endsAt) {
        return;
    }
    injectFault(soak);
    const bool isSeries = draw(*soak, 0, 2) == 0;
    soak->world.at(isSeries ? drawMs(*soak, 10, 400) : drawMs(*soak, 500, 5'000),
                   [soak] { injectFaults(soak); });
}

void noteAll(const std::vector<std::string> &lines)
{
    for (std::size_t index = 0; index < std::min(lines.size(), maxLinesPerCheck); ++index) {
        note("check: " + lines[index]);
    }
}

/// Ends all faults and, after a calm time, asks for the state of each job.
void endSoak(const soak_ref &soak)
{
    for (microseconds delay = settledAfter; delay < calmTime; delay += second) {
        soak->world.at(delay, [soak] {
            for (const route &queue : soakRoutes()) {
                soak->world.askPending(queue.name);
            }
        });
    }
    soak->world.at(calmTime, [soak] {
        for (const auto &[id, job] : soak->world.jobs()) {
            if (job.accepted && !job.isCancelRequested) {
                soak->world.askState(id);
            }
        }
        soak->world.at(answerTime, [soak] { checkPromises(soak->world, soak->jobs); });
    });
}

} // namespace

const std::vector<route> &soakRoutes()
{
    static const std::vector<route> routes {
        {"short", "soak.example", "/short/", 0, 4, 1.5, 250},
        {"gangs", "soak.example", "/gangs/", 1, 4, 2.2, 1'000},
        {"small", "soak.example", "/small/", 1, 4, 2.2, 1'000},
        {"batch", "soak.example", "/batch/", 2, 4, 4.0, 3'000},
    };
    return routes;
}

void checkPromises(cell_world &world, int jobs)
{
    const timestamp now = steadyNow();
    const run_book &book = world.book();
    const auto repeated = findRepeatedRuns(book, now);
    const auto unwanted = findUnwantedRuns(book, world.jobs(), now - cancelSettleTime);
    const auto lost = findLostJobs(book, world.jobs());
    noteAll(repeated);
    note("measure: longest time from the crash under a task to its next start "
         + std::to_string(longestSilence(book) / millisecond) + " ms");
    noteAll(unwanted);
    noteAll(lost);
    noteAll(world.falseAnswers());
    int accepted = 0;
    for (const auto &[id, job] : world.jobs()) {
        accepted += job.accepted ? 1 : 0;
    }
    const bool held =
        repeated.empty() && unwanted.empty() && lost.empty() && world.falseAnswers().empty();
    world.finish(
        held ? 0 : 1,
        std::string(held ? "held" : "broken") + ": jobs " + std::to_string(jobs) + ", accepted "
            + std::to_string(accepted) + ", runs " + std::to_string(book.runs.size())
            + ", repeated runs " + std::to_string(repeated.size()) + ", unwanted runs "
            + std::to_string(unwanted.size()) + ", lost jobs " + std::to_string(lost.size())
            + ", false answers " + std::to_string(world.falseAnswers().size()));
}

void runSoak(cell_world &world, const soak_settings &settings)
{
    const auto soak = std::make_shared<soak_run>(soak_run {
        world, settings, std::mt19937_64(settings.seed), steadyNow() + settings.length, 0});
    submitJobs(soak);
    if (settings.seed % 4 == 3) {
        world.at(6 * second, [soak] { cutLeader(soak); });
    } else if (settings.seed % 20 == 13) {
        world.at(6 * second, [soak] { cutMajority(soak); });
    } else {
        world.at(2 * second, [soak] { injectFaults(soak); });
    }
    // Faults that began shortly before the end last up to 16 s more.
    world.at(settings.length + 16 * second, [soak] { endSoak(soak); });
}

} // namespace bramleygrade::soak
