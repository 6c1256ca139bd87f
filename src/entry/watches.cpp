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
/// Minimum time between two log lines about ignored rows of the registry.
constexpr microseconds ignoredEntryLogInterval = 1 * second;

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

/// A row of the registry: the worker that it names, or nothing if it names none to use.
struct registry_change
{
    std::string key;
    std::int64_t version = 0;
    std::optional<cell::worker_entry> worker;
};

/// Counts a row of the registry that names no worker to use. Other programs may write any number of
/// such rows again and again, so that few are logged.
void noteIgnoredRow(entry_state &entry, const stored_row &row, const char *why)
{
    ++entry.metrics.counters["worker_entries_ignored_total"];
    const timestamp now = steadyNow();
    if (now < entry.leaderState->nextIgnoredEntryLogAt) {
        return;
    }
    entry.leaderState->nextIgnoredEntryLogAt = now + ignoredEntryLogInterval;
    logEvent(entry, "worker_entry_ignored",
             {{"worker", row.key},
              {"row", std::to_string(row.version)},
              {"bytes", std::to_string(row.value.size())},
              {"why", why}});
}

registry_change decodeRegistryRow(entry_state &entry, const stored_row &row)
{
    registry_change change {row.key, row.version, std::nullopt};
    cell::worker_entry worker;
    if (row.removed) {
        return change;
    }
    if (!entry.ports.codec.decodeWorker(row, worker)) {
        noteIgnoredRow(entry, row, "invalid");
    } else if (entry.leaderState->services.count(worker.service) == 0) {
        noteIgnoredRow(entry, row, "no queue uses the service");
    } else {
        change.worker = std::move(worker);
    }
    return change;
}

void applyRegistry(entry_state &entry)
{
    leader_state &leaderState = *entry.leaderState;
    std::vector<cell::worker_entry> workers;
    for (const auto &[key, worker] : leaderState.registry) {
        workers.push_back(worker);
    }
    cell::changeWorkers(leaderState.cell, workers, steadyNow());
    requestDecision(entry);
}

void applyRegistryChanges(entry_state &entry, const std::vector<registry_change> &changes)
{
    leader_state &leaderState = *entry.leaderState;
    bool changed = false;
    for (const registry_change &change : changes) {
        const auto known = leaderState.registry.find(change.key);
        const std::string version = std::to_string(change.version);
        if (!change.worker) {
            if (known != leaderState.registry.end()) {
                logEvent(entry, "worker_unlisted", {{"worker", change.key}, {"row", version}});
                leaderState.registry.erase(known);
                changed = true;
            }
            continue;
        }
        const cell::worker_entry &worker = *change.worker;
        if (known != leaderState.registry.end() && known->second == worker) {
            continue; // a heartbeat
        }
        changed = true;
        if (known == leaderState.registry.end() || known->second.draining != worker.draining) {
            logEvent(entry, worker.draining ? "worker_draining" : "worker_listed",
                     {{"worker", worker.id}, {"row", version}});
        }
        if (known != leaderState.registry.end() && !(known->second.capacity == worker.capacity)) {
            logCapacityChange(entry, known->second, worker);
        }
        if (known != leaderState.registry.end() && known->second.born != worker.born) {
            logEvent(entry, "worker_restart_listed",
                     {{"worker", worker.id},
                      {"row", version},
                      {"born", std::to_string(worker.born)},
                      {"former_born", std::to_string(known->second.born)}});
        }
        leaderState.registry[change.key] = worker;
    }
    if (changed) {
        applyRegistry(entry);
    }
}

/// A sequence of reads of the registry. A newer one, or one in another epoch, replaces it.
struct registry_watch
{
    std::int64_t epoch = 0;
    std::int64_t number = 0;
};

/// Returns true if this entry leads in the epoch, also while it loads the rows, and no newer watch
/// has begun.
bool isCurrent(const entry_state &entry, const registry_watch &watch)
{
    return entry.leaderState && entry.epoch == watch.epoch
        && entry.leaderState->registryWatches == watch.number;
}

/// Applies the changes of known workers. Returns those of others that name a worker.
std::vector<registry_change> applyKnownWorkers(entry_state &entry,
                                               std::vector<registry_change> changes)
{
    const auto firstNew =
        std::stable_partition(changes.begin(), changes.end(), [&](const registry_change &change) {
            return entry.leaderState->registry.count(change.key) > 0;
        });
    std::vector<registry_change> added;
    std::copy_if(firstNew, changes.end(), std::back_inserter(added),
                 [](const registry_change &change) { return change.worker.has_value(); });
    changes.erase(firstNew, changes.end());
    if (!changes.empty()) {
        applyRegistryChanges(entry, changes);
    }
    return added;
}

/// Applies the registry's changes, then calls `next`. A new worker is used only if the head row,
/// read after the worker was seen, still belongs to this entry: a successor then reads the registry
/// later, so it knows the worker too and fences it before it relies on what runs there. Changes of
/// known workers are applied at once.
void confirmLeadershipAndApply(entry_state &entry, const registry_watch &watch,
                               const std::vector<registry_change> &changes,
                               const std::function<void()> &next)
{
    const std::vector<registry_change> added = applyKnownWorkers(entry, changes);
    if (added.empty()) {
        next();
        return;
    }
    readHead(
        entry,
        [&entry, watch, added, next](const store_result &result,
                                     const std::optional<head_row> &head, std::int64_t) {
            if (!isCurrent(entry, watch)) {
                return;
            }
            if (result.outcome != store_outcome::done || !head) {
                runAfter(entry, watchRetryDelay, [&entry, watch, added, next] {
                    if (isCurrent(entry, watch)) {
                        confirmLeadershipAndApply(entry, watch, added, next);
                    }
                });
                return;
            }
            if (head->epoch > watch.epoch) {
                recordScheduler(entry, head->epoch, {head->scheduler, head->address}, steadyNow());
                return;
            }
            applyRegistryChanges(entry, added);
            next();
        });
}

void watchRegistry(entry_state &entry, const registry_watch &watch);

void watchRegistryAfterPause(entry_state &entry, const registry_watch &watch)
{
    runAfter(entry, registryWatchPause, [&entry, watch] {
        if (isCurrent(entry, watch)) {
            watchRegistry(entry, watch);
        }
    });
}

void watchWorkersAfterPause(entry_state &entry, const registry_watch &watch)
{
    runAfter(entry, watchRetryDelay, [&entry, watch] {
        if (isCurrent(entry, watch)) {
            watchWorkers(entry, watch.epoch);
        }
    });
}

void watchRegistry(entry_state &entry, const registry_watch &watch)
{
    entry.ports.store.watch(entry.ports.codec.workerTable, entry.leaderState->registryVersion,
                            watchDuration,
                            largeReadLimits(steadyNow() + watchDuration + watchTimeoutMargin),
                            [&entry, watch](const store_result &result) {
                                if (!isCurrent(entry, watch)) {
                                    return;
                                }
                                if (result.outcome != store_outcome::done) {
                                    watchWorkersAfterPause(entry, watch);
                                    return;
                                }
                                entry.leaderState->registryVersion =
                                    std::max(entry.leaderState->registryVersion, result.version);
                                std::vector<registry_change> changes;
                                for (const stored_row &row : result.rows) {
                                    changes.push_back(decodeRegistryRow(entry, row));
                                }
                                confirmLeadershipAndApply(entry, watch, changes, [&entry, watch] {
                                    watchRegistryAfterPause(entry, watch);
                                });
                            });
}

/// State of a read of the registry, page by page. `version` is the version of the first page, so
/// that the watch that follows reports all changes since that page. Rows that name no worker to use
/// are dropped as their page arrives.
struct registry_read
{
    std::vector<registry_change> changes;
    std::int64_t version = 0;
};

/// Returns the changes and a removal for each known worker that is not among them.
std::vector<registry_change> addRemovals(const entry_state &entry,
                                         std::vector<registry_change> changes)
{
    std::set<std::string> present;
    for (const registry_change &change : changes) {
        present.insert(change.key);
    }
    for (const auto &[key, worker] : entry.leaderState->registry) {
        if (present.count(key) == 0) {
            changes.push_back({key, 0, std::nullopt});
        }
    }
    return changes;
}

void readWorkers(entry_state &entry, const registry_watch &watch, const std::string &from,
                 const std::shared_ptr<registry_read> &read)
{
    entry.ports.store.read({entry.ports.codec.workerTable, from, "", false},
                           largeReadLimits(steadyNow() + readTimeout),
                           [&entry, watch, read](const store_result &result) {
                               if (!isCurrent(entry, watch)) {
                                   return;
                               }
                               if (result.outcome != store_outcome::done) {
                                   watchWorkersAfterPause(entry, watch);
                                   return;
                               }
                               read->version = read->version == 0 ? result.version : read->version;
                               for (const stored_row &row : result.rows) {
                                   registry_change change = decodeRegistryRow(entry, row);
                                   if (change.worker) {
                                       read->changes.push_back(std::move(change));
                                   }
                               }
                               if (result.hasMore && !result.rows.empty()) {
                                   readWorkers(entry, watch, result.rows.back().key + '\0', read);
                                   return;
                               }
                               entry.leaderState->registryVersion = read->version;
                               confirmLeadershipAndApply(
                                   entry, watch, addRemovals(entry, read->changes),
                                   [&entry, watch] { watchRegistry(entry, watch); });
                           });
}

/// Returns the services to which the configuration or an open job sends tasks.
std::set<std::string> collectServices(const entry_state &entry)
{
    std::set<std::string> services;
    for (const cell::queue_policy &queue : entry.config.queues) {
        services.insert(queue.service);
    }
    for (const auto &[id, job] : entry.leaderState->cell.jobs) {
        if (!job.finalPhase) {
            services.insert(job.policy.service);
        }
    }
    return services;
}

/// Applies a change of the services in use: the workers of a new one have been ignored so far, so
/// that the registry is read again.
void updateServices(entry_state &entry)
{
    leader_state &leaderState = *entry.leaderState;
    std::set<std::string> services = collectServices(entry);
    const bool isAnyNew = !std::includes(leaderState.services.begin(), leaderState.services.end(),
                                         services.begin(), services.end());
    leaderState.services = std::move(services);
    const std::size_t before = leaderState.registry.size();
    for (auto it = leaderState.registry.begin(); it != leaderState.registry.end();) {
        const bool isUsed = leaderState.services.count(it->second.service) > 0;
        it = isUsed ? std::next(it) : leaderState.registry.erase(it);
    }
    if (leaderState.registry.size() < before) {
        applyRegistry(entry);
    }
    if (isAnyNew && leaderState.registryWatches > 0) {
        watchWorkers(entry, entry.epoch);
    }
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
        updateServices(entry);
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
    leader_state &leaderState = *entry.leaderState;
    leaderState.services = collectServices(entry);
    const registry_watch watch {epoch, ++leaderState.registryWatches};
    readWorkers(entry, watch, "", std::make_shared<registry_read>());
}

} // namespace bramleygrade::entry
