#include <algorithm>

#include <boost/asio/steady_timer.hpp>

#include "entry/authentication/admission.h"
#include "entry/authentication/confirmation_exchange.h"
#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

/// Duration of one long poll for changes; short, so that a dead connection is detected soon.
constexpr microseconds watchDuration = 1'500 * millisecond;
/// Time beyond `watchDuration` after which a long poll counts as unanswered.
constexpr microseconds watchTimeoutMargin = 700 * millisecond;
constexpr microseconds readTimeout = 800 * millisecond;
constexpr microseconds watchRetryDelay = 150 * millisecond;
/// Time in which an answer of 16 MB, the most that is accepted, passes an idle link of 10 Mbit/s.
constexpr microseconds maxTransferTime = 30 * second;
/// Pause between two reads of registry changes. Each worker's heartbeat is a change, so hundreds of
/// workers would otherwise cause hundreds of answers a second.
constexpr microseconds registryWatchPause = 50 * millisecond;

void setStoreReachable(entry_state &entry, bool reachable)
{
    if (entry.storeReachable != reachable) {
        logEvent(entry, reachable ? "store_regained" : "store_lost",
                 {{"config", std::to_string(entry.config.version)},
                  {"config_read_ms_ago",
                   std::to_string((steadyNow() - entry.configReadAt) / millisecond)}});
    }
    entry.storeReachable = reachable;
}

constexpr microseconds configRefreshInterval = 200 * millisecond;

/// Limits of a read of the configuration, whose progress is recorded.
read_limits configReadLimits(entry_state &entry, timestamp answerBy)
{
    read_limits limits = largeReadLimits(answerBy);
    limits.onPart = [&entry](std::size_t bytes) {
        noteStorePart(entry.configTransfers, bytes, steadyNow());
    };
    return limits;
}

/// Records a read or long poll of the configuration that began at `beganAt`, unless it has shown
/// that nothing has changed, or was refused.
void recordStoreTransfer(entry_state &entry, timestamp beganAt, const store_result &result)
{
    endStoreTransfer(entry.configTransfers);
    const bool isComplete = result.outcome == store_outcome::done;
    if ((isComplete && !result.rows.empty()) || result.outcome == store_outcome::unanswered) {
        recordConfigTransfer(entry, {"store", beganAt, isComplete, result.receivedBytes});
    }
}

/// Applies what a read or long poll that began at `beganAt` has returned. `rowVersion`: version of
/// the configuration row in the reads before it, 0 if they showed none; it is brought up to date.
void applyConfigResult(entry_state &entry, timestamp beganAt, const store_result &result,
                       std::int64_t &rowVersion)
{
    entry.configReadAt = steadyNow();
    for (const stored_row &row : result.rows) {
        if (row.key == entry.ports.codec.configKey) {
            rowVersion = row.removed ? 0 : row.version;
            if (!row.removed) {
                applyConfigRow(entry, row);
            }
        }
    }
    if (!result.hasMore) {
        confirmFromStore(entry, beganAt, rowVersion);
    }
}

void readConfig(entry_state &entry)
{
    const std::string key = entry.ports.codec.configKey;
    const timestamp beganAt = steadyNow();
    entry.ports.store.read(
        {entry.ports.codec.configTable, key, key + "!", false},
        configReadLimits(entry, beganAt + readTimeout),
        [&entry, beganAt](const store_result &result) {
            const bool done = result.outcome == store_outcome::done;
            recordStoreTransfer(entry, beganAt, result);
            setStoreReachable(entry, done);
            if (done) {
                entry.configWatchVersion = result.version;
                entry.configFeedVersion = 0;
                applyConfigResult(entry, beganAt, result, entry.configFeedVersion);
                watchConfig(entry);
            } else {
                runAfter(entry, watchRetryDelay, [&entry] { readConfig(entry); });
            }
        });
}

std::string formatResources(const cell::resources &amounts)
{
    return std::to_string(amounts.cpuMilli) + "/" + std::to_string(amounts.memoryMb) + "/"
        + std::to_string(amounts.accelerators);
}

void logCapacityChange(entry_state &entry, const cell::worker_entry &before,
                       const cell::worker_entry &worker)
{
    const cell::resources used = cell::demandOnWorker(entry.leaderState->cell, worker.id);
    logEvent(entry, "worker_capacity_changed",
             {{"worker", worker.id},
              {"before", formatResources(before.capacity)},
              {"capacity", formatResources(worker.capacity)},
              {"used", formatResources(used)},
              {"overcommitted", cell::fits(used, worker.capacity) ? "no" : "yes"}});
}

void applyWorkerRows(entry_state &entry, const std::vector<stored_row> &rows)
{
    leader_state &leaderState = *entry.leaderState;
    bool changed = false;
    for (const stored_row &row : rows) {
        cell::worker_entry worker;
        const bool usable = !row.removed && entry.ports.codec.decodeWorker(row, worker);
        const auto known = leaderState.registry.find(row.key);
        if (!usable) {
            if (known != leaderState.registry.end()) {
                logEvent(entry, "worker_unlisted",
                         {{"worker", row.key}, {"row", std::to_string(row.version)}});
                leaderState.registry.erase(known);
                changed = true;
            }
            continue;
        }
        if (known != leaderState.registry.end() && known->second == worker) {
            continue; // a heartbeat
        }
        changed = true;
        if (known == leaderState.registry.end() || known->second.draining != worker.draining) {
            logEvent(entry, worker.draining ? "worker_draining" : "worker_listed",
                     {{"worker", worker.id}, {"row", std::to_string(row.version)}});
        }
        if (known != leaderState.registry.end() && !(known->second.capacity == worker.capacity)) {
            logCapacityChange(entry, known->second, worker);
        }
        if (known != leaderState.registry.end() && known->second.born != worker.born) {
            logEvent(entry, "worker_restart_listed",
                     {{"worker", worker.id},
                      {"row", std::to_string(row.version)},
                      {"born", std::to_string(worker.born)},
                      {"former_born", std::to_string(known->second.born)}});
        }
        leaderState.registry[row.key] = worker;
    }
    if (!changed) {
        return;
    }
    std::vector<cell::worker_entry> workers;
    for (const auto &[key, worker] : leaderState.registry) {
        workers.push_back(worker);
    }
    cell::changeWorkers(leaderState.cell, workers, steadyNow());
    requestDecision(entry);
}

/// Returns true if this entry leads in `epoch`, also while it loads the rows.
bool isLeaderInEpoch(const entry_state &entry, std::int64_t epoch)
{
    return entry.leaderState && entry.epoch == epoch;
}

/// Applies the rows of known workers. Returns the other rows; empty if they list no worker.
std::vector<stored_row> applyKnownWorkerRows(entry_state &entry, std::vector<stored_row> rows)
{
    const auto firstNew =
        std::stable_partition(rows.begin(), rows.end(), [&](const stored_row &row) {
            return entry.leaderState->registry.count(row.key) > 0;
        });
    std::vector<stored_row> newRows(firstNew, rows.end());
    rows.erase(firstNew, rows.end());
    if (!rows.empty()) {
        applyWorkerRows(entry, rows);
    }
    const bool isAnyListed = std::any_of(newRows.begin(), newRows.end(),
                                         [](const stored_row &row) { return !row.removed; });
    return isAnyListed ? newRows : std::vector<stored_row> {};
}

/// Applies the registry rows, then calls `next`. A new worker is used only if the head row, read
/// after the worker was seen, still belongs to this entry: a successor then reads the registry
/// later, so it knows the worker too and fences it before it relies on what runs there. Changes of
/// known workers are applied at once.
void confirmLeadershipAndApplyRows(entry_state &entry, std::int64_t epoch,
                                   const std::vector<stored_row> &changes,
                                   const std::function<void()> &next)
{
    const std::vector<stored_row> rows = applyKnownWorkerRows(entry, changes);
    if (rows.empty()) {
        next();
        return;
    }
    readHead(
        entry,
        [&entry, epoch, rows, next](const store_result &result, const std::optional<head_row> &head,
                                    std::int64_t) {
            if (!isLeaderInEpoch(entry, epoch)) {
                return;
            }
            if (result.outcome != store_outcome::done || !head) {
                runAfter(entry, watchRetryDelay, [&entry, epoch, rows, next] {
                    if (isLeaderInEpoch(entry, epoch)) {
                        confirmLeadershipAndApplyRows(entry, epoch, rows, next);
                    }
                });
                return;
            }
            if (head->epoch > epoch) {
                recordScheduler(entry, head->epoch, {head->scheduler, head->address}, steadyNow());
                return;
            }
            applyWorkerRows(entry, rows);
            next();
        });
}

void watchRegistry(entry_state &entry, std::int64_t epoch);

void watchRegistryAfterPause(entry_state &entry, std::int64_t epoch)
{
    runAfter(entry, registryWatchPause, [&entry, epoch] {
        if (isLeaderInEpoch(entry, epoch)) {
            watchRegistry(entry, epoch);
        }
    });
}

void watchRegistry(entry_state &entry, std::int64_t epoch)
{
    entry.ports.store.watch(
        entry.ports.codec.workerTable, entry.leaderState->registryVersion, watchDuration,
        largeReadLimits(steadyNow() + watchDuration + watchTimeoutMargin),
        [&entry, epoch](const store_result &result) {
            if (!isLeaderInEpoch(entry, epoch)) {
                return;
            }
            if (result.outcome == store_outcome::done) {
                entry.leaderState->registryVersion =
                    std::max(entry.leaderState->registryVersion, result.version);
                confirmLeadershipAndApplyRows(entry, epoch, result.rows, [&entry, epoch] {
                    watchRegistryAfterPause(entry, epoch);
                });
                return;
            }
            runAfter(entry, watchRetryDelay, [&entry, epoch] {
                if (isLeaderInEpoch(entry, epoch)) {
                    watchWorkers(entry, epoch);
                }
            });
        });
}

/// State of a read of the registry, page by page. `version` is the version of the first page, so
/// that the watch that follows reports all changes since that page.
struct registry_read
{
    std::vector<stored_row> rows;
    std::int64_t version = 0;
};

/// Returns `rows` and a removal for each known row that is not among them.
std::vector<stored_row> addRemovals(const entry_state &entry, std::vector<stored_row> rows)
{
    std::set<std::string> present;
    for (const stored_row &row : rows) {
        present.insert(row.key);
    }
    for (const auto &[key, worker] : entry.leaderState->registry) {
        if (present.count(key) == 0) {
            rows.push_back({entry.ports.codec.workerTable, key, "", 0, true});
        }
    }
    return rows;
}

void readWorkers(entry_state &entry, std::int64_t epoch, const std::string &from,
                 const std::shared_ptr<registry_read> &read)
{
    entry.ports.store.read(
        {entry.ports.codec.workerTable, from, "", false},
        largeReadLimits(steadyNow() + readTimeout),
        [&entry, epoch, read](const store_result &result) {
            if (!isLeaderInEpoch(entry, epoch)) {
                return;
            }
            if (result.outcome != store_outcome::done) {
                runAfter(entry, watchRetryDelay, [&entry, epoch] {
                    if (isLeaderInEpoch(entry, epoch)) {
                        watchWorkers(entry, epoch);
                    }
                });
                return;
            }
            read->version = read->version == 0 ? result.version : read->version;
            read->rows.insert(read->rows.end(), result.rows.begin(), result.rows.end());
            if (result.hasMore && !result.rows.empty()) {
                readWorkers(entry, epoch, result.rows.back().key + '\0', read);
                return;
            }
            entry.leaderState->registryVersion = read->version;
            confirmLeadershipAndApplyRows(entry, epoch, addRemovals(entry, read->rows),
                                          [&entry, epoch] { watchRegistry(entry, epoch); });
        });
}

} // namespace

read_limits largeReadLimits(timestamp answerBy)
{
    return {answerBy, answerBy + maxTransferTime, {}};
}

void runAfter(entry_state &entry, microseconds pause, const std::function<void()> &run)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(entry.loop);
    timer->expires_after(std::chrono::microseconds(pause));
    timer->async_wait([timer, run](boost::system::error_code error) {
        if (!error) {
            run();
        }
    });
}

void watchConfig(entry_state &entry)
{
    if (entry.configWatchVersion == 0) {
        readConfig(entry);
        return;
    }
    const microseconds duration = entry.config.requiresKeys
        ? pollDuration(watchDuration, entry.settings.revocationLimit)
        : watchDuration;
    const timestamp beganAt = steadyNow();
    entry.ports.store.watch(
        entry.ports.codec.configTable, entry.configWatchVersion, duration,
        configReadLimits(entry, beganAt + duration + watchTimeoutMargin),
        [&entry, beganAt](const store_result &result) {
            recordStoreTransfer(entry, beganAt, result);
            if (result.outcome != store_outcome::done) {
                // Changes may have been missed, so the whole configuration is read again.
                entry.configWatchVersion = 0;
                runAfter(entry, watchRetryDelay, [&entry] { readConfig(entry); });
                return;
            }
            setStoreReachable(entry, true);
            entry.configWatchVersion = std::max(entry.configWatchVersion, result.version);
            applyConfigResult(entry, beganAt, result, entry.configFeedVersion);
            watchConfig(entry);
        });
}

void applyConfigRow(entry_state &entry, const stored_row &row)
{
    cell::cell_config config;
    if (!entry.ports.codec.decodeConfig(row, config)) {
        logEvent(entry, "config_unreadable", {{"row", std::to_string(row.version)}});
        return;
    }
    if (config.version <= entry.config.version) {
        return;
    }
    logEvent(entry, "config_adopted",
             {{"version", std::to_string(config.version)},
              {"before", std::to_string(entry.config.version)},
              {"queues", std::to_string(config.queues.size())}});
    entry.config = std::move(config);
    if (entry.leaderState) {
        cell::changeConfig(entry.leaderState->cell, entry.config);
        requestDecision(entry);
    }
    onConfigAdopted(entry, row);
}

void refreshConfig(entry_state &entry)
{
    const timestamp now = steadyNow();
    if (entry.isRefreshingConfig || now < entry.nextConfigRefreshAt
        || isStoreDelivering(entry.configTransfers, now)) {
        return;
    }
    entry.isRefreshingConfig = true;
    entry.nextConfigRefreshAt = now + configRefreshInterval;
    const std::string key = entry.ports.codec.configKey;
    entry.ports.store.read({entry.ports.codec.configTable, key, key + "!", false},
                           configReadLimits(entry, now + readTimeout),
                           [&entry, now](const store_result &result) {
                               entry.isRefreshingConfig = false;
                               recordStoreTransfer(entry, now, result);
                               if (result.outcome == store_outcome::done) {
                                   std::int64_t rowVersion = 0;
                                   applyConfigResult(entry, now, result, rowVersion);
                               }
                           });
}

void watchWorkers(entry_state &entry, std::int64_t epoch)
{
    readWorkers(entry, epoch, "", std::make_shared<registry_read>());
}

} // namespace bramleygrade::entry
