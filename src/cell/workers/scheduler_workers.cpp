#include <algorithm>

#include "cell/ends/crashes.h"
#include "cell/interference/scheduler_interference.h"
#include "cell/jobs/open_occurrences.h"
#include "cell/workers/worker_list.h"
#include "cell/workers/worker_lives.h"

namespace bramleygrade::cell {

namespace {

/// Pause before the next poll of a worker that did not answer. If it never has, the pause doubles
/// with each poll, up to the given number of times.
constexpr microseconds pollRetryInterval = 250 * millisecond;
constexpr int maxPollPauseDoublings = 3;
/// Pause before the next poll while ends are not stored yet, as the worker would answer at once, or
/// while unexpected runs are being stopped.
constexpr microseconds throttledPollInterval = 250 * millisecond;
/// Bits of the fencing token that count the fences within an epoch.
constexpr int fenceBits = 20;

microseconds pollRetryPause(const worker_state &worker)
{
    return worker.listRow
        ? pollRetryInterval
        : pollRetryInterval << std::min(worker.life.unansweredPolls, maxPollPauseDoublings);
}

std::set<task_id> collectReportedTasks(const worker_report &report)
{
    std::set<task_id> reported;
    for (const reported_run &run : report.running) {
        reported.insert(run.task);
    }
    return reported;
}

/// Logs which life of the worker has a run that no answer to a start of this scheduler has
/// confirmed.
void logRunFound(const worker_state &worker, const reported_run &run, bool isAdopted, orders &out)
{
    out.events.push_back({"run_found", run.task.job,
                          "task=" + formatTaskNumber(run.task) + " worker=" + worker.entry.id
                              + " attempt=" + std::to_string(run.attempt)
                              + " born=" + std::to_string(worker.life.born)
                              + " adopted=" + (isAdopted ? "yes" : "no")
                              + " clock_ms=" + std::to_string(worker.life.clock / millisecond)});
}

void adoptRun(scheduler &cell, worker_state &worker, job_state &job, task_state &task,
              const reported_run &run, timestamp sentAt, orders &out)
{
    task.phase = run_phase::running;
    task.worker = worker.entry.id;
    task.attempt = std::max(task.attempt, run.attempt);
    task.resumed = true; // its start is not known
    task.startedAt = sentAt;
    task.confirmedAt = sentAt;
    task.progressAt = sentAt;
    task.token = fencingToken(cell, worker);
    step_state &step =
        ensureOccurrence(job, run.task.occurrence).steps[static_cast<std::size_t>(run.task.step)];
    step.gangAttempt = std::max(step.gangAttempt, run.attempt);
    step.gangStartedAt = std::max(step.gangStartedAt, sentAt);
    addRun(worker, run.task, stepOf(job, run.task.step));
    addTeamRun(cell, job, run.task.step);
    noteRunAdded(cell, worker, run.task, job.spec, sentAt, out);
}

void stopUnexpectedRun(scheduler &cell, worker_state &worker, const reported_run &run, orders &out)
{
    ++worker.life.unexpectedRuns;
    out.stops.push_back({run.task, run.attempt, worker.entry.id, fencingToken(cell, worker)});
    out.events.push_back({"stop_unexpected_run", run.task.job, "worker=" + worker.entry.id});
}

void recordCheckpoint(scheduler &cell, job_state &job, const reported_run &run, task_state &task,
                      timestamp now)
{
    if (!isKeptCheckpoint(cell, run.checkpoint)) {
        return;
    }
    task.checkpointAt = task.checkpoint == run.checkpoint ? task.checkpointAt : now;
    task.checkpoint = run.checkpoint;
    if (stepOf(job, run.task.step).gang) {
        auto &tasks = ensureOccurrence(job, run.task.occurrence)
                          .steps[static_cast<std::size_t>(run.task.step)]
                          .tasks;
        for (task_state &member : tasks) {
            member.checkpoint = run.checkpoint;
        }
    }
}

void applyRunning(scheduler &cell, worker_state &worker, const reported_run &run, timestamp sentAt,
                  timestamp now, orders &out)
{
    job_state *job = findJob(cell, run.task.job);
    const bool isKnown = job != nullptr
        && (job->occurrences.count(run.task.occurrence) > 0 || countOpenTasks(*job) < maxOpenTasks);
    task_state *task = isKnown ? findTask(*job, run.task) : nullptr;
    if (task == nullptr) {
        stopUnexpectedRun(cell, worker, run, out);
        return;
    }
    noteBegin(*job);
    const bool isCurrent = task->phase != run_phase::none && task->worker == worker.entry.id
        && task->attempt == run.attempt;
    if (!isCurrent) {
        const bool hasEnded = run.attempt <= task->endedAttempt;
        if (hasEnded && sentAt <= task->endReportedAt) {
            return; // the report may predate the end, which is known already
        }
        if (hasEnded || task->phase != run_phase::none || task->done || job->finalPhase) {
            stopUnexpectedRun(cell, worker, run, out);
            return;
        }
        adoptRun(cell, worker, *job, *task, run, sentAt, out);
        logRunFound(worker, run, true, out);
    } else if (task->phase == run_phase::starting || task->phase == run_phase::unconfirmed) {
        logRunFound(worker, run, false, out);
        task->phase = run_phase::running;
        task->confirmedAt = now;
        task->progressAt = now;
    } else if (task->confirmedAt == distantPast) {
        task->confirmedAt = now; // the run is being stopped
    }
    if (isCurrent) {
        // An order for an earlier life may extend the lease of a life that is not fenced.
        const bool isFenced = worker.life.fenced && !mayCarryOutFormerOrders(worker.life);
        task->strayStartAt = isFenced ? distantPast : std::max(task->strayStartAt, now);
    }
    if (task->percent != run.percent) {
        task->percent = run.percent;
        task->progressAt = now;
    }
    recordCheckpoint(cell, *job, run, *task, now);
}

/// Whether the run certainly does not exist if the answer to a poll sent at `sentAt` lacks it.
bool isAbsent(const task_state &task, const poll_order &order, timestamp sentAt)
{
    switch (task.phase) {
    case run_phase::running:
        return task.confirmedAt != distantPast && task.confirmedAt < sentAt;
    case run_phase::stopping:
        return (task.confirmedAt != distantPast && task.strayStartAt == distantPast
                && task.confirmedAt < sentAt)
            || order.fencingToken > task.token;
    case run_phase::unconfirmed:
        return order.fencingToken > task.token;
    default:
        return false;
    }
}

/// Handles an answer to a poll that carried the worker's current fencing token. Runs of previous
/// schedulers are known only once all ends are, which may take several answers: the worker lists
/// the next ends when those before them are acknowledged.
void applyFencedAnswer(scheduler &cell, worker_state &worker, const poll_order &order,
                       const worker_report &report, timestamp sentAt, timestamp now, orders &out)
{
    // The life that has answered a fence from before the restart may be the former one.
    const bool isFenceAnswered =
        worker.life.needsFence && order.fence && sentAt >= worker.life.restartSeenAt;
    const bool isComplete = listsAllEnds(report);
    if (!worker.life.reconciled || isFenceAnswered) {
        cell.needsPlacement = true;
        out.events.push_back({isComplete ? "worker_settled" : "worker_ends_incomplete", "",
                              "worker=" + worker.entry.id
                                  + " running=" + std::to_string(report.running.size())
                                  + " ended=" + std::to_string(report.ended.size())});
    }
    const timestamp longestLease = strayLeaseExpiry(cell.settings.lease, now);
    if (mayCarryOutFormerOrders(worker.life) && (isFenceAnswered || !worker.life.fenced)) {
        // From now on the worker refuses the orders that were meant for an earlier life.
        worker.life.restartSeenAt = distantPast;
        noteForeignLeases(cell, worker, longestLease);
    } else if (!worker.life.fenced) {
        // From now on the worker refuses earlier schedulers. They may have built their orders for
        // an earlier life.
        const timestamp end = std::min(longestPredecessorLeaseExpiry(cell), longestLease);
        worker.life.leasesExpiredAt = std::max(worker.life.leasesExpiredAt, end);
        if (worker.life.foreignLeaseEnd != distantPast) {
            noteForeignLeases(cell, worker, end);
        }
    }
    worker.life.fenced = true;
    addToList(cell, worker);
    worker.life.reconciled = worker.life.reconciled || isComplete;
    // An answer to a poll sent before the fence proves nothing about the unanswered order.
    worker.life.needsFence = worker.life.needsFence && !isFenceAnswered;
}

void releaseAbsentRuns(scheduler &cell, worker_state &worker, const poll_order &order,
                       const worker_report &report, timestamp sentAt, orders &out)
{
    const std::set<task_id> reported = collectReportedTasks(report);
    std::vector<task_id> absent;
    for (const task_id &id : worker.life.runs) {
        if (reported.count(id) == 0) {
            absent.push_back(id);
        }
    }
    for (const task_id &id : absent) {
        job_state *job = findJob(cell, id.job);
        task_state *task = job == nullptr ? nullptr : findTask(*job, id);
        if (task == nullptr || !isAbsent(*task, order, sentAt)) {
            continue;
        }
        const bool wasUnconfirmed =
            task->phase == run_phase::unconfirmed && task->confirmedAt == distantPast;
        out.events.push_back({wasUnconfirmed ? "start_had_no_effect" : "run_vanished", id.job,
                              "worker=" + worker.entry.id});
        if (!wasUnconfirmed) {
            ensureOccurrence(*job, id.occurrence)
                .steps[static_cast<std::size_t>(id.step)]
                .gangBroken = true;
        }
        releaseRun(cell, id, *job, *task);
    }
}

} // namespace

std::int64_t fencingToken(const scheduler &cell, const worker_state &worker)
{
    return (cell.epoch << fenceBits) + worker.life.fenceNumber;
}

void restoreWorker(scheduler &cell, const worker_entry &entry, timestamp now, std::size_t row)
{
    worker_state &worker = cell.workers[entry.id];
    worker.entry = entry;
    if (!hasBoundedTexts(entry)) {
        worker.entry.service.clear(); // listed by a former release, which had no bound
    }
    worker.listed = false;
    restoreToList(cell, worker, row);
    worker.recorded = true;
    worker.life.fenceNumber = cell.fencesIssued;
    worker.life.nextPollAt = now;
    worker.life.born = entry.born;
    worker.life.address = entry.address;
    worker.life.largestCapacity = entry.capacity;
    worker.life.restartSeenAt =
        entry.formerOrders == former_order_effect::possible ? now : distantPast;
    worker.life.foreignLeaseEnd =
        entry.formerOrders == former_order_effect::leases ? distantFuture : distantPast;
}

void changeWorkers(scheduler &cell, const std::vector<worker_entry> &entries, timestamp now)
{
    std::set<std::string> seen;
    for (const worker_entry &entry : entries) {
        seen.insert(entry.id);
        const auto [it, inserted] = cell.workers.try_emplace(entry.id);
        worker_state &worker = it->second;
        const bool showsOtherLife =
            !inserted && worker.entry.born != entry.born && describesOtherLife(entry, worker.life);
        const bool isMoved = worker.listRow && worker.entry.service != entry.service;
        changeEntry(worker, entry, now);
        listCapacity(cell, worker);
        if (isMoved) {
            removeFromList(cell, worker); // it may not fit into its row any more
            addToList(cell, worker);
        }
        worker.listed = true;
        worker.unlistedAt = distantFuture;
        if (showsOtherLife) {
            noteRestart(cell, worker, now);
        }
        if (inserted) {
            worker.life.reconciled = true;
            worker.life.fenceNumber = cell.fencesIssued;
            worker.life.nextPollAt = now;
            worker.life.born = entry.born;
            worker.life.address = entry.address;
        }
    }
    for (auto &[id, worker] : cell.workers) {
        if (seen.count(id) == 0 && worker.listed) {
            worker.listed = false;
            worker.unlistedAt = now;
            worker.life.nextPollAt = std::min(worker.life.nextPollAt, now);
        }
    }
    cell.needsPlacement = true;
}

resources demandOnWorker(const scheduler &cell, const std::string &worker)
{
    const auto found = cell.workers.find(worker);
    return found == cell.workers.end() ? resources {} : found->second.life.used;
}

std::int64_t countOvercommittedWorkers(const scheduler &cell)
{
    return std::count_if(cell.workers.begin(), cell.workers.end(), [](const auto &entry) {
        const worker_state &worker = entry.second;
        return worker.listed && !fits(worker.life.used, worker.entry.capacity);
    });
}

void releaseRun(scheduler &cell, const task_id &id, job_state &job, task_state &task)
{
    const auto worker = cell.workers.find(task.worker);
    if (worker != cell.workers.end()) {
        removeRun(worker->second, id, stepOf(job, id.step));
        noteRunRemoved(cell, worker->second, id);
    }
    if (task.phase != run_phase::none) {
        removeTeamRun(cell, job, id.step);
    }
    recordBegin(cell, job);
    task.phase = run_phase::none;
    task.worker.clear();
    endTrial(cell, id, task);
    task.percent = 0;
    task.confirmedAt = distantPast;
    markRunnable(cell, job);
    cell.needsPlacement = true;
}

void onReport(scheduler &cell, const poll_order &order, const worker_report &report,
              timestamp sentAt, timestamp now, orders &out)
{
    const auto found = cell.workers.find(order.worker);
    if (found == cell.workers.end()) {
        return;
    }
    worker_state &worker = found->second;
    if (order.life != worker.life.number) {
        return; // the answer may be one of a former life
    }
    if (isOtherLife(worker.life, report, sentAt)) {
        beginLife(cell, worker, report, now, out);
    } else {
        worker.life.deliveredAcknowledgement =
            std::max(worker.life.deliveredAcknowledgement, order.acknowledgedEnd);
    }
    (order.fence ? worker.life.fenceInFlight : worker.life.pollInFlight) = false;
    worker.life.wasSilent = worker.life.unansweredPolls > 0;
    worker.life.unansweredPolls = 0;
    if (sentAt >= worker.addressSince) {
        worker.life.address = worker.entry.address;
    }
    worker.life.askedAt = std::max({worker.life.askedAt, sentAt, report.askedAt});
    recordAnswer(cell, worker, sentAt, now, out);
    worker.life.clock = report.workerClock;
    worker.life.clockReadAt = now;
    if (order.fencingToken == fencingToken(cell, worker)) {
        applyFencedAnswer(cell, worker, order, report, sentAt, now, out);
    }
    for (const reported_end &end : report.ended) {
        if (end.sequence > worker.life.lastEnd) {
            worker.life.lastEnd = end.sequence;
            applyEnd(cell, worker, end, now, out);
        }
    }
    worker.life.unexpectedRuns = 0;
    for (const reported_run &run : report.running) {
        applyRunning(cell, worker, run, sentAt, now, out);
    }
    if (listsAllEnds(report)) {
        releaseAbsentRuns(cell, worker, order, report, sentAt, out);
    }
    acknowledgeStored(worker, 0); // acknowledges ends that have no effect to store
    worker.life.nextPollAt = worker.life.unstoredEnds.empty() && worker.life.unexpectedRuns == 0
        ? now
        : now + throttledPollInterval;
}

void onPollFailed(scheduler &cell, const poll_order &order, order_outcome outcome, timestamp now,
                  orders &out)
{
    const auto found = cell.workers.find(order.worker);
    if (found == cell.workers.end()) {
        return;
    }
    worker_state &worker = found->second;
    if (outcome == order_outcome::unanswered && order.leaseUntil != 0) {
        worker.life.unansweredAt = now;
    }
    if (order.life != worker.life.number) {
        return;
    }
    (order.fence ? worker.life.fenceInFlight : worker.life.pollInFlight) = false;
    worker.life.nextPollAt = now + pollRetryPause(worker);
    if (outcome == order_outcome::refused_fence) {
        const bool isCurrentToken = order.fencingToken == fencingToken(cell, worker);
        worker.life.nextPollAt = isCurrentToken ? now + pollRetryInterval : now;
        if (isCurrentToken) {
            out.events.push_back({"superseded", "", "worker=" + worker.entry.id});
        }
        return;
    }
    if (worker.life.unansweredPolls++ == 0) {
        out.events.push_back({"worker_silent", "", "worker=" + worker.entry.id});
    }
    if (outcome == order_outcome::refused_incarnation) {
        onOtherIncarnation(cell, worker, now, out);
    }
}

} // namespace bramleygrade::cell
