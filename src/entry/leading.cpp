#include <algorithm>

#include <boost/asio/post.hpp>

#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

/// Time that a worker gets to answer an order; it answers a sound one within milliseconds.
constexpr microseconds orderPatience = 400 * millisecond;
/// The same beyond the time that a look may wait.
constexpr microseconds lookPatience = 600 * millisecond;
constexpr microseconds loadPatience = 1'500 * millisecond;
/// A decision that takes longer is followed by a pause of `pausePerDecision` times its length.
constexpr microseconds cheapDecision = 500;
constexpr microseconds pausePerDecision = 2;
constexpr microseconds loadRetryPause = 100 * millisecond;
/// Without proof for this long that nobody else is the scheduler, nothing more is ordered.
constexpr microseconds unconfirmedLimit = 2'500 * millisecond;
/// Store trouble of this length makes the scheduler look for an entry that reaches the store.
constexpr microseconds storeTroubleLimit = 900 * millisecond;
/// The same while the rows are loaded: a slow store takes a second or two for that.
constexpr microseconds loadTroubleLimit = 3 * second;
constexpr microseconds handoverPause = 1 * second;

/// Rows of one table, read page by page.
struct table_load
{
    std::string table;
    std::vector<stored_row> rows;
};

void loadTable(entry_state &entry, std::int64_t epoch, const std::shared_ptr<table_load> &load,
               const std::string &from, const std::function<void()> &done)
{
    entry.ports.store.read(
        {load->table, from, "", true}, steadyNow() + loadPatience,
        [&entry, epoch, load, from, done](const store_result &result) {
            if (!entry.lead || entry.epoch != epoch) {
                return;
            }
            if (result.outcome != store_outcome::done) {
                later(entry, loadRetryPause, [&entry, epoch, load, from, done] {
                    if (entry.lead && entry.epoch == epoch) {
                        loadTable(entry, epoch, load, from, done);
                    }
                });
                return;
            }
            load->rows.insert(load->rows.end(), result.rows.begin(), result.rows.end());
            if (result.more && !result.rows.empty()) {
                loadTable(entry, epoch, load, result.rows.back().key + '\0', done);
                return;
            }
            done();
        });
}

void inheritRows(entry_state &entry, const table_load &cellRows, const table_load &jobs,
                 const table_load &progress)
{
    const timestamp now = steadyNow();
    for (const stored_row &row : cellRows.rows) {
        if (row.key == workersKey) {
            for (const cell::worker_entry &worker : decodeWorkers(row.value)) {
                cell::inheritWorker(entry.lead->cell, worker, now);
            }
        }
    }
    const std::int64_t wall = wallNow();
    std::map<std::string, const stored_row *> made;
    for (const stored_row &row : progress.rows) {
        made[row.key] = &row;
    }
    for (const stored_row &row : jobs.rows) {
        if (const auto ended = decodeEnded(row.value)) {
            cell::inheritEnded(entry.lead->cell, row.key, ended->phase, now);
            continue;
        }
        std::int64_t accepted = wall;
        auto job = decodeJob(row.key, row.value, accepted);
        if (!job) {
            logEvent(entry, "row_unreadable", {{"table", jobTable}, {"key", row.key}});
            continue;
        }
        job->receivedAt = now - std::max<std::int64_t>(wall - accepted, 0);
        const auto slack = job->policy.slackFactor * static_cast<double>(cell::longestChain(*job));
        job->objectiveAt =
            job->receivedAt + static_cast<microseconds>(slack) + job->policy.latencyTarget;
        job->firstDueAt = now + (job->spec.firstDueWall - wall);
        const auto found = made.find(row.key);
        if (found != made.end() && !decodeProgress(found->second->value, *job)) {
            logEvent(entry, "row_unreadable", {{"table", progressTable}, {"key", row.key}});
        }
        cell::inheritJob(entry.lead->cell, std::move(*job), now);
    }
}

void startActing(entry_state &entry)
{
    entry.role = entry_role::scheduler;
    const timestamp now = steadyNow();
    entry.lead->confirmedAt = now;
    logEvent(entry, "scheduler_started",
             {{"epoch", std::to_string(entry.epoch)},
              {"jobs", std::to_string(entry.lead->cell.jobs.size())},
              {"load_ms", std::to_string((now - entry.lead->cell.tookOverAt) / millisecond)}});
    watchWorkers(entry, entry.epoch);
    const auto early = std::move(entry.lead->early);
    entry.lead->early.clear();
    for (const auto &call : early) {
        call();
    }
    wantDecision(entry);
}

void loadRows(entry_state &entry)
{
    const auto jobs = std::make_shared<table_load>(table_load {jobTable, {}});
    const auto progress = std::make_shared<table_load>(table_load {progressTable, {}});
    const auto cellRows = std::make_shared<table_load>(table_load {headTable, {}});
    const auto open = std::make_shared<int>(3);
    const auto loaded = [&entry, cellRows, jobs, progress, open] {
        if (--*open == 0) {
            inheritRows(entry, *cellRows, *jobs, *progress);
            startActing(entry);
        }
    };
    loadTable(entry, entry.epoch, cellRows, "", loaded);
    loadTable(entry, entry.epoch, jobs, "", loaded);
    loadTable(entry, entry.epoch, progress, "", loaded);
}

/// The address of the worker, or an empty text if it is gone.
std::string addressOf(const entry_state &entry, const std::string &worker)
{
    const auto found = entry.lead->cell.workers.find(worker);
    return found == entry.lead->cell.workers.end() ? "" : found->second.entry.address;
}

/// Whether the answer still concerns the scheduler that gave the order.
bool leads(const entry_state &entry, std::int64_t epoch)
{
    return entry.lead && entry.epoch == epoch && entry.role == entry_role::scheduler;
}

std::string taskText(const cell::task_id &id)
{
    return std::to_string(id.occurrence) + "." + std::to_string(id.step) + "."
        + std::to_string(id.index);
}

void runStart(entry_state &entry, const cell::start_order &order)
{
    const timestamp sentAt = steadyNow();
    logEvent(entry, "start_ordered",
             {{"job", order.task.job},
              {"task", taskText(order.task)},
              {"worker", order.worker},
              {"attempt", std::to_string(order.attempt)},
              {"token", std::to_string(order.fencingToken)}});
    entry.ports.workers.start(
        addressOf(entry, order.worker), order, sentAt + orderPatience,
        [&entry, order, sentAt, epoch = entry.epoch](cell::order_outcome outcome) {
            const timestamp now = steadyNow();
            observeLatency(entry.metrics, "start_seconds", now - sentAt);
            if (!leads(entry, epoch)) {
                return;
            }
            cell::orders out;
            cell::onStartOutcome(entry.lead->cell, order, outcome, now, out);
            runOrders(entry, out);
            if (outcome != cell::order_outcome::accepted) {
                wantDecision(entry);
            }
        });
}

void runStop(entry_state &entry, const cell::stop_order &order)
{
    const timestamp sentAt = steadyNow();
    logEvent(entry, "stop_ordered",
             {{"job", order.task.job}, {"task", taskText(order.task)}, {"worker", order.worker}});
    entry.ports.workers.stop(addressOf(entry, order.worker), order, sentAt + orderPatience,
                             [&entry, order, epoch = entry.epoch](cell::order_outcome outcome) {
                                 if (leads(entry, epoch)) {
                                     cell::onStopOutcome(entry.lead->cell, order, outcome,
                                                         steadyNow());
                                 }
                             });
}

void runLook(entry_state &entry, const cell::look_order &order)
{
    const timestamp sentAt = steadyNow();
    ++entry.metrics.counters["looks_total"];
    entry.ports.workers.look(
        addressOf(entry, order.worker), order, sentAt + order.wait + lookPatience,
        [&entry, order, sentAt, epoch = entry.epoch](cell::order_outcome outcome,
                                                     const cell::worker_report &report) {
            if (!leads(entry, epoch)) {
                return;
            }
            cell::orders out;
            const timestamp now = steadyNow();
            if (outcome == cell::order_outcome::accepted) {
                cell::onReport(entry.lead->cell, order, report, sentAt, now, out);
            } else {
                cell::onLookFailed(entry.lead->cell, order, outcome, now, out);
            }
            runOrders(entry, out);
            wantDecision(entry);
        });
}

void armDecideTimer(entry_state &entry, timestamp now)
{
    const timestamp next = std::min({cell::nextDeadline(entry.lead->cell),
                                     entry.lead->writeWantedAt, entry.lead->decideWantedAt});
    if (entry.lead->timerAt > now && entry.lead->timerAt <= next) {
        return;
    }
    entry.lead->timerAt = next;
    entry.decideTimer.expires_after(
        std::chrono::microseconds(std::max<microseconds>(next - now, millisecond)));
    entry.decideTimer.async_wait([&entry, epoch = entry.epoch](boost::system::error_code error) {
        if (!error && leads(entry, epoch)) {
            entry.lead->timerAt = distantFuture;
            wantDecision(entry);
        }
    });
}

void checkConfirmation(entry_state &entry, timestamp now)
{
    scheduler_side &lead = *entry.lead;
    const bool alone = entry.members.size() < 2;
    const bool suspended = !alone && now > lead.confirmedAt + unconfirmedLimit;
    if (suspended == lead.suspended) {
        return;
    }
    lead.suspended = suspended;
    logEvent(entry, suspended ? "scheduler_suspended" : "scheduler_resumed",
             {{"epoch", std::to_string(entry.epoch)},
              {"confirmed_ms_ago", std::to_string((now - lead.confirmedAt) / millisecond)}});
    if (!suspended) {
        wantDecision(entry);
    }
}

void decideNow(entry_state &entry)
{
    const timestamp now = steadyNow();
    entry.lead->decidePosted = false;
    entry.lead->decideWantedAt = distantFuture;
    checkConfirmation(entry, now); // a paused scheduler must not act on old beliefs
    if (entry.lead->suspended) {
        return;
    }
    cell::orders out;
    cell::decide(entry.lead->cell, now, out);
    runOrders(entry, out);
    if (entry.lead) {
        pumpWrites(entry);
        armDecideTimer(entry, now);
    }
    const timestamp ended = steadyNow();
    observeLatency(entry.metrics, "decision_seconds", ended - now);
    if (entry.lead && ended - now > cheapDecision) {
        entry.lead->decideNotBefore = ended + (ended - now) * pausePerDecision;
    }
}

void checkStore(entry_state &entry, timestamp now)
{
    scheduler_side &lead = *entry.lead;
    const bool loading = entry.role == entry_role::loading;
    const timestamp since = loading ? lead.cell.tookOverAt : lead.writeStartedAt;
    const microseconds limit = loading ? loadTroubleLimit : storeTroubleLimit;
    const bool trouble = (loading || lead.write) && now > since + limit;
    if (!trouble || now < lead.nextHandoverAt || lead.handoverInFlight) {
        return;
    }
    lead.nextHandoverAt = now + handoverPause;
    logEvent(entry, "store_lost",
             {{"loading", loading ? "yes" : "no"},
              {"call_age_ms", std::to_string((now - since) / millisecond)}});
    handOver(entry, [](bool) {});
}

} // namespace

void startLeading(entry_state &entry, std::int64_t headVersion)
{
    entry.role = entry_role::loading;
    entry.lead = std::make_unique<scheduler_side>();
    scheduler_side &lead = *entry.lead;
    lead.headVersion = headVersion;
    lead.cell.settings.lease.longest = entry.settings.longestLease;
    lead.cell.settings.gangTimeout = entry.settings.gangTimeout;
    lead.cell.settings.stopTimeout = entry.settings.stopTimeout;
    lead.cell.settings.endedKept = entry.settings.endedKept;
    lead.cell.settings.predecessorGrace = unconfirmedLimit;
    const timestamp now = steadyNow();
    cell::beginEpoch(lead.cell, entry.epoch, now);
    cell::changeConfig(lead.cell, entry.config);
    lead.writtenAt = now;
    lead.confirmedAt = now;
    entry.scheduler = self(entry);
    entry.heardAt = now;
    ++entry.metrics.counters["takeovers_total"];
    sendBeats(entry, now);
    resendForwarded(entry);
    loadRows(entry);
}

void wantDecision(entry_state &entry)
{
    if (entry.role != entry_role::scheduler || !entry.lead || entry.lead->decidePosted) {
        return;
    }
    const timestamp now = steadyNow();
    if (now < entry.lead->decideNotBefore) {
        entry.lead->decideWantedAt = entry.lead->decideNotBefore;
        armDecideTimer(entry, now);
        return;
    }
    entry.lead->decidePosted = true;
    boost::asio::post(entry.loop, [&entry, epoch = entry.epoch] {
        if (leads(entry, epoch)) {
            decideNow(entry);
        }
    });
}

void runOrders(entry_state &entry, const cell::orders &orders)
{
    bool superseded = false;
    for (const cell::decision_note &note : orders.notes) {
        logEvent(entry, note.event.c_str(), {{"job", note.job}, {"why", note.detail}});
        superseded = superseded || note.event == "superseded";
    }
    if (superseded) {
        // A worker has seen a newer token: only the head row tells whose it is.
        readHead(entry,
                 [&entry](const store_result &, const std::optional<head_row> &head, std::int64_t) {
                     if (head && head->epoch > entry.epoch) {
                         noteScheduler(entry, head->epoch, {head->scheduler, head->address},
                                       steadyNow());
                     }
                 });
    }
    for (const cell::stop_order &order : orders.stops) {
        runStop(entry, order);
    }
    for (const cell::start_order &order : orders.starts) {
        runStart(entry, order);
    }
    for (const cell::look_order &order : orders.looks) {
        runLook(entry, order);
    }
    for (const cell::advice_order &order : orders.advice) {
        askForAdvice(entry, order);
    }
}

void leadTick(entry_state &entry, timestamp now)
{
    if (!entry.lead) {
        return;
    }
    if (now >= entry.lead->nextBeatAt) {
        sendBeats(entry, now);
    }
    checkStore(entry, now);
    if (entry.role != entry_role::scheduler) {
        return;
    }
    checkConfirmation(entry, now);
    pumpAdvice(entry);
    expireWaiters(entry, now);
    pumpWrites(entry);
    giveToLarger(entry, now);
}

} // namespace bramleygrade::entry
