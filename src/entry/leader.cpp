#include <algorithm>

#include <boost/asio/post.hpp>

#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

/// Timeout for a worker's answer to an order; a healthy worker answers within milliseconds.
constexpr microseconds orderTimeout = 400 * millisecond;
/// Timeout of a worker report beyond the time that the worker may hold the request (long poll).
constexpr microseconds reportTimeoutMargin = 600 * millisecond;
constexpr microseconds loadTimeout = 1'500 * millisecond;
/// A decision that takes longer is followed by a pause of `decisionPauseFactor` times its duration,
/// in which answers are read. Sending its orders does not count: they are work to be done.
constexpr microseconds shortDecisionLimit = 500;
constexpr microseconds decisionPauseFactor = 2;
constexpr microseconds loadRetryDelay = 100 * millisecond;
/// Entries hear of a takeover by the successor's first heartbeat or one of its repetitions. Until
/// then they may confirm the predecessor.
constexpr microseconds takeoverNoticeTime = 500 * millisecond;
/// A write that takes longer makes the scheduler hand over to an entry that may reach the store.
constexpr microseconds storeHandoverTimeout = 900 * millisecond;
/// Loading that receives nothing for longer makes the scheduler hand over. A slow store answers
/// within two seconds. Loading as such may take longer, 3.2 s for 3 MB of rows on a link of
/// 10 Mbit/s, and a successor begins again with the first row.
constexpr microseconds loadHandoverTimeout = 3 * second;
/// Loading that takes longer makes the scheduler hand over although rows arrive: another entry may
/// have a faster link.
constexpr microseconds maxLoadTime = 10 * second;
constexpr microseconds handoverInterval = 1 * second;

/// A table and the rows read from it so far, page by page.
struct table_load
{
    std::string table;
    std::vector<stored_row> rows;
};

/// Limits of a read of rows in a takeover, whose progress is recorded.
read_limits loadLimits(entry_state &entry, std::int64_t epoch)
{
    read_limits limits = largeReadLimits(steadyNow() + loadTimeout);
    limits.onPart = [&entry, epoch](std::size_t) {
        if (entry.leaderState && entry.epoch == epoch) {
            entry.leaderState->rowsArrivedAt = steadyNow();
        }
    };
    return limits;
}

void loadTable(entry_state &entry, std::int64_t epoch, const std::shared_ptr<table_load> &load,
               const std::string &from, const std::function<void()> &done)
{
    entry.ports.store.read(
        {load->table, from, "", true}, loadLimits(entry, epoch),
        [&entry, epoch, load, from, done](const store_result &result) {
            if (!entry.leaderState || entry.epoch != epoch) {
                return;
            }
            if (result.outcome != store_outcome::done) {
                runAfter(entry, loadRetryDelay, [&entry, epoch, load, from, done] {
                    if (entry.leaderState && entry.epoch == epoch) {
                        loadTable(entry, epoch, load, from, done);
                    }
                });
                return;
            }
            entry.leaderState->rowsArrivedAt = steadyNow();
            load->rows.insert(load->rows.end(), result.rows.begin(), result.rows.end());
            if (result.hasMore && !result.rows.empty()) {
                loadTable(entry, epoch, load, result.rows.back().key + '\0', done);
                return;
            }
            done();
        });
}

using rows_by_key = std::map<std::string, const stored_row *>;

/// Adds the stored progress of the job, if there is any. Returns false if a row is missing or
/// cannot be read.
bool restoreProgress(const rows_by_key &progress, cell::job_state &job)
{
    const auto first = progress.find(job.spec.id);
    if (first == progress.end()) {
        return true;
    }
    bool isComplete = true;
    std::vector<std::string> rows {first->second->value};
    job.progressRows = progressRowCount(rows.front());
    for (std::size_t index = 1; index < job.progressRows; ++index) {
        const auto row = progress.find(progressRowKey(job.spec.id, index));
        isComplete = isComplete && row != progress.end();
        if (row != progress.end()) {
            rows.push_back(row->second->value);
        }
    }
    // The store may hold more rows than are in use.
    while (progress.count(progressRowKey(job.spec.id, job.progressRows)) > 0) {
        ++job.progressRows;
    }
    return decodeProgress(rows, job) && isComplete;
}

void restoreRows(entry_state &entry, const table_load &cellRows, const table_load &jobs,
                 const table_load &progress)
{
    const timestamp now = steadyNow();
    for (const stored_row &row : cellRows.rows) {
        if (const auto index = workersRowIndex(row.key)) {
            for (const cell::worker_entry &worker : decodeWorkers(row.value)) {
                cell::restoreWorker(entry.leaderState->cell, worker, now, *index);
            }
        }
    }
    const std::int64_t wall = wallNow();
    rows_by_key progressByKey;
    for (const stored_row &row : progress.rows) {
        progressByKey[row.key] = &row;
    }
    for (const stored_row &row : jobs.rows) {
        if (const auto ended = decodeEnded(row.value)) {
            cell::restoreEndedJob(entry.leaderState->cell, row.key, ended->phase, now);
            if (cell::job_state *job = cell::findJob(entry.leaderState->cell, row.key)) {
                job->spec.team = ended->team;
            }
            continue;
        }
        std::int64_t accepted = wall;
        auto job = decodeJob(row.key, row.value, accepted);
        if (!job) {
            logEvent(entry, "row_unreadable", {{"table", jobTable}, {"key", row.key}});
            continue;
        }
        job->receivedAt = now - std::max<std::int64_t>(wall - accepted, 0);
        job->firstDueAt = now + (job->spec.firstDueWall - wall);
        if (!restoreProgress(progressByKey, *job)) {
            logEvent(entry, "row_unreadable", {{"table", progressTable}, {"key", row.key}});
        }
        cell::restoreJob(entry.leaderState->cell, std::move(*job), now);
    }
}

void startScheduling(entry_state &entry)
{
    entry.role = entry_role::scheduler;
    const timestamp now = steadyNow();
    logEvent(
        entry, "scheduler_started",
        {{"epoch", std::to_string(entry.epoch)},
         {"jobs", std::to_string(entry.leaderState->cell.jobs.size())},
         {"claim_ms",
          std::to_string((entry.leaderState->cell.tookOverAt - entry.observed.claimedAt)
                         / millisecond)},
         {"load_ms", std::to_string((now - entry.leaderState->cell.tookOverAt) / millisecond)}});
    watchWorkers(entry, entry.epoch);
    const auto deferredCalls = std::move(entry.leaderState->deferredCalls);
    entry.leaderState->deferredCalls.clear();
    for (const auto &call : deferredCalls) {
        call();
    }
    requestDecision(entry);
}

void loadRows(entry_state &entry)
{
    const auto jobs = std::make_shared<table_load>(table_load {jobTable, {}});
    const auto progress = std::make_shared<table_load>(table_load {progressTable, {}});
    const auto cellRows = std::make_shared<table_load>(table_load {headTable, {}});
    const auto openLoads = std::make_shared<int>(3);
    const auto onTableLoaded = [&entry, cellRows, jobs, progress, openLoads] {
        if (--*openLoads == 0) {
            restoreRows(entry, *cellRows, *jobs, *progress);
            startScheduling(entry);
        }
    };
    loadTable(entry, entry.epoch, cellRows, "", onTableLoaded);
    loadTable(entry, entry.epoch, jobs, "", onTableLoaded);
    loadTable(entry, entry.epoch, progress, "", onTableLoaded);
}

/// Returns the start time of the life of the worker for which orders are built; 0 if it is not
/// known.
std::int64_t bornOf(const entry_state &entry, const std::string &worker)
{
    const auto found = entry.leaderState->cell.workers.find(worker);
    return found == entry.leaderState->cell.workers.end() ? 0 : found->second.life.born;
}

/// Returns the address of the worker, or an empty text if it is not known any more.
std::string addressOf(const entry_state &entry, const std::string &worker)
{
    const auto found = entry.leaderState->cell.workers.find(worker);
    return found == entry.leaderState->cell.workers.end() ? "" : found->second.entry.address;
}

/// Returns true if this entry is still the scheduler of `epoch` and has loaded the rows; otherwise
/// an answer to an order of `epoch` is ignored.
bool isSchedulingInEpoch(const entry_state &entry, std::int64_t epoch)
{
    return entry.leaderState && entry.epoch == epoch && entry.role == entry_role::scheduler;
}

void sendStart(entry_state &entry, const cell::start_order &order);

/// Sends a start order that was held back, unless it has lost its purpose meanwhile.
void sendHeldStart(entry_state &entry, const cell::start_order &order)
{
    if (cell::isAwaited(entry.leaderState->cell, order)) {
        sendStart(entry, order);
        return;
    }
    cell::orders out;
    cell::onStartOutcome(entry.leaderState->cell, order, cell::order_outcome::not_sent, steadyNow(),
                         out);
    runOrders(entry, out);
}

void sendStart(entry_state &entry, const cell::start_order &order)
{
    const timestamp sentAt = steadyNow();
    if (holdOrder(entry, sentAt, [&entry, order] { sendHeldStart(entry, order); })) {
        return;
    }
    logEvent(entry, "start_ordered",
             {{"job", order.task.job},
              {"task", cell::formatTaskNumber(order.task)},
              {"worker", order.worker},
              {"attempt", std::to_string(order.attempt)},
              {"token", std::to_string(order.fencingToken)},
              {"born", std::to_string(bornOf(entry, order.worker))}});
    entry.ports.workers.start(addressOf(entry, order.worker), order, sentAt + orderTimeout,
                              [&entry, order, sentAt, epoch = entry.epoch](
                                  cell::order_outcome outcome, std::int64_t workerClock) {
                                  const timestamp now = steadyNow();
                                  observeLatency(entry.metrics, "start_seconds", now - sentAt);
                                  if (!isSchedulingInEpoch(entry, epoch)) {
                                      return;
                                  }
                                  cell::orders out;
                                  cell::onStartOutcome(entry.leaderState->cell, order, outcome, now,
                                                       out, workerClock);
                                  runOrders(entry, out);
                                  if (outcome != cell::order_outcome::accepted) {
                                      requestDecision(entry);
                                  }
                              });
}

void sendStop(entry_state &entry, const cell::stop_order &order)
{
    const timestamp sentAt = steadyNow();
    if (holdOrder(entry, sentAt, [&entry, order] { sendStop(entry, order); })) {
        return;
    }
    logEvent(entry, "stop_ordered",
             {{"job", order.task.job},
              {"task", cell::formatTaskNumber(order.task)},
              {"worker", order.worker}});
    entry.ports.workers.stop(addressOf(entry, order.worker), order, sentAt + orderTimeout,
                             [&entry, order, epoch = entry.epoch](cell::order_outcome outcome) {
                                 if (isSchedulingInEpoch(entry, epoch)) {
                                     cell::onStopOutcome(entry.leaderState->cell, order, outcome,
                                                         steadyNow());
                                 }
                             });
}

void requestReport(entry_state &entry, const cell::poll_order &order)
{
    const timestamp sentAt = steadyNow();
    if (holdOrder(entry, sentAt, [&entry, order] { requestReport(entry, order); })) {
        return;
    }
    ++entry.metrics.counters["looks_total"];
    entry.ports.workers.poll(
        addressOf(entry, order.worker), order, sentAt + order.wait + reportTimeoutMargin,
        [&entry, order, sentAt, epoch = entry.epoch](cell::order_outcome outcome,
                                                     const cell::worker_report &report) {
            if (!isSchedulingInEpoch(entry, epoch)) {
                return;
            }
            cell::orders out;
            const timestamp now = steadyNow();
            if (outcome == cell::order_outcome::accepted) {
                cell::onReport(entry.leaderState->cell, order, report, sentAt, now, out);
            } else {
                cell::onPollFailed(entry.leaderState->cell, order, outcome, now, out);
            }
            runOrders(entry, out);
            requestDecision(entry);
        });
}

void armDecisionTimer(entry_state &entry, timestamp now)
{
    const timestamp next =
        std::min({cell::nextDeadline(entry.leaderState->cell), entry.leaderState->writeWakeAt,
                  entry.leaderState->decideWakeAt});
    if (entry.leaderState->timerExpiresAt > now && entry.leaderState->timerExpiresAt <= next) {
        return;
    }
    entry.leaderState->timerExpiresAt = next;
    entry.decideTimer.expires_after(
        std::chrono::microseconds(std::max<microseconds>(next - now, millisecond)));
    entry.decideTimer.async_wait([&entry, epoch = entry.epoch](boost::system::error_code error) {
        if (!error && isSchedulingInEpoch(entry, epoch)) {
            entry.leaderState->timerExpiresAt = distantFuture;
            requestDecision(entry);
        }
    });
}

void decideNow(entry_state &entry)
{
    const timestamp now = steadyNow();
    net::setDuty(&entry.meter, net::duty::decide);
    entry.leaderState->isDecisionPosted = false;
    entry.leaderState->decideWakeAt = distantFuture;
    recordRunning(entry, now);
    updateConfirmation(entry, now);
    if (entry.leaderState->suspended) {
        return;
    }
    cell::orders out;
    cell::decide(entry.leaderState->cell, now, out);
    const microseconds decideTime = steadyNow() - now;
    runOrders(entry, out);
    if (entry.leaderState) {
        advanceWrites(entry);
        armDecisionTimer(entry, now);
    }
    const timestamp ended = steadyNow();
    observeLatency(entry.metrics, "decision_seconds", ended - now);
    if (entry.leaderState && decideTime > shortDecisionLimit) {
        entry.leaderState->decideNotBefore = ended + decideTime * decisionPauseFactor;
    }
}

void handOverOnStoreTimeout(entry_state &entry, timestamp now)
{
    leader_state &leaderState = *entry.leaderState;
    const bool loading = entry.role == entry_role::loading;
    const timestamp since = loading
        ? std::max(leaderState.cell.tookOverAt, leaderState.rowsArrivedAt)
        : leaderState.writeStartedAt;
    const microseconds limit = loading ? loadHandoverTimeout : storeHandoverTimeout;
    const bool isLoadTooLong = loading && now > leaderState.cell.tookOverAt + maxLoadTime;
    const bool isTimedOut =
        isLoadTooLong || ((loading || leaderState.write) && now > since + limit);
    if (!isTimedOut || now < leaderState.nextHandoverAt || leaderState.handoverInFlight) {
        return;
    }
    leaderState.nextHandoverAt = now + handoverInterval;
    logEvent(entry, "store_lost",
             {{"loading", loading ? "yes" : "no"},
              {"call_age_ms", std::to_string((now - since) / millisecond)}});
    handOver(entry, [](bool) {});
}

} // namespace

void startLeading(entry_state &entry, std::int64_t headVersion, timestamp claimedAt)
{
    entry.role = entry_role::loading;
    entry.leaderState = std::make_unique<leader_state>();
    leader_state &leaderState = *entry.leaderState;
    leaderState.headVersion = headVersion;
    leaderState.cell.settings.lease.longest = std::min(entry.settings.maxLease, cell::leaseLength);
    leaderState.cell.settings.lease.workerLimit = entry.settings.maxLease;
    leaderState.cell.settings.memoryLimit =
        static_cast<std::size_t>(entry.settings.memoryLimitMb) * 1'024 * 1'024;
    leaderState.cell.settings.gangTimeout = entry.settings.gangTimeout;
    leaderState.cell.settings.stopTimeout = entry.settings.stopTimeout;
    leaderState.cell.settings.separateClashingTasks = entry.settings.separateClashingTasks;
    leaderState.cell.settings.endedKept = entry.settings.endedKept;
    leaderState.cell.settings.workerSpeeds = entry.settings.workerSpeeds;
    leaderState.cell.settings.predecessorGrace = takeoverNoticeTime;
    leaderState.cell.settings.teamWindow = entry.settings.teamWindow;
    leaderState.cell.settings.teamWindowSlack = entry.settings.teamWindowSlack;
    const timestamp now = steadyNow();
    cell::beginEpoch(leaderState.cell, entry.epoch, now);
    cell::changeConfig(leaderState.cell, entry.config);
    leaderState.writtenAt = now;
    beginConfirmation(entry, claimedAt);
    recordRunning(entry, now);
    entry.scheduler = self(entry);
    entry.schedulerSeenAt = now;
    ++entry.metrics.counters["takeovers_total"];
    sendHeartbeats(entry, now);
    resendForwarded(entry);
    loadRows(entry);
}

void requestDecision(entry_state &entry)
{
    if (entry.role != entry_role::scheduler || !entry.leaderState
        || entry.leaderState->isDecisionPosted) {
        return;
    }
    const timestamp now = steadyNow();
    if (now < entry.leaderState->decideNotBefore) {
        entry.leaderState->decideWakeAt = entry.leaderState->decideNotBefore;
        armDecisionTimer(entry, now);
        return;
    }
    entry.leaderState->isDecisionPosted = true;
    boost::asio::post(entry.loop, [&entry, epoch = entry.epoch] {
        if (isSchedulingInEpoch(entry, epoch)) {
            decideNow(entry);
        }
    });
}

void runOrders(entry_state &entry, const cell::orders &orders)
{
    bool superseded = false;
    for (const cell::decision_event &note : orders.events) {
        logEvent(entry, note.event.c_str(), {{"job", note.job}, {"why", note.detail}});
        if (note.event == "superseded") {
            superseded = true;
            questionLeadership(entry, note.detail, steadyNow());
        }
    }
    if (superseded) {
        // A worker has seen a newer fencing token; the head row names the scheduler that issued it.
        readHead(entry,
                 [&entry](const store_result &, const std::optional<head_row> &head, std::int64_t) {
                     if (head && head->epoch > entry.epoch) {
                         recordScheduler(entry, head->epoch, {head->scheduler, head->address},
                                         steadyNow());
                     }
                 });
    }
    for (const cell::stop_order &order : orders.stops) {
        sendStop(entry, order);
    }
    for (const cell::start_order &order : orders.starts) {
        sendStart(entry, order);
    }
    for (const cell::poll_order &order : orders.polls) {
        requestReport(entry, order);
    }
    queueAdvice(entry, orders.advice);
}

void tickLeader(entry_state &entry, timestamp now)
{
    if (!entry.leaderState) {
        return;
    }
    recordRunning(entry, now);
    if (now >= entry.leaderState->nextHeartbeatAt) {
        const net::duty_scope scope(&entry.meter, net::duty::peer_message);
        sendHeartbeats(entry, now);
    }
    handOverOnStoreTimeout(entry, now);
    if (entry.role != entry_role::scheduler) {
        return;
    }
    updateConfirmation(entry, now);
    dispatchAdvice(entry);
    expireWaiters(entry, now);
    advanceWrites(entry);
    if (isHandoverToLargerDue(entry, now)) {
        handOverToLarger(entry, now);
    }
}

} // namespace bramleygrade::entry
