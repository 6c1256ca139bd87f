#include "cell/workers/worker_lives.h"

#include <algorithm>

#include "cell/ends/crashes.h"
#include "cell/workers/worker_list.h"

namespace bramleygrade::cell {

namespace {

/// Time without new tasks for a life that its registry entry cannot be told to describe; equals the
/// registry lag in the users' rules.
constexpr microseconds unnamedEntryPause = 3 * second;
/// Maximum number of ends in one report (worker protocol).
constexpr std::size_t maxEndsPerReport = 500;

bool isClockBehind(const worker_life &life, const worker_report &report)
{
    return report.workerClock < life.clock;
}

/// Keeps the worker's runs reserved until an answer shows whether the new life has them.
void holdRuns(scheduler &cell, worker_state &worker, timestamp now)
{
    for (const task_id &id : worker.life.runs) {
        task_state *task = breakGangOf(cell, id).task;
        if (task == nullptr) {
            continue;
        }
        if (task->confirmedAt == distantPast && task->strayStartAt == distantPast) {
            task->strayStartAt = now; // its outcome is yet to come
        }
        if (task->phase == run_phase::stopping) {
            // Only an answer to a poll sent from now on, which carries the raised token, ends it.
            task->confirmedAt = task->confirmedAt == distantPast ? distantPast : now;
        } else {
            task->phase = run_phase::unconfirmed;
        }
    }
}

/// Tickets are valid during one life of the worker.
void expireTickets(scheduler &cell, const std::string &worker)
{
    for (auto &[id, job] : cell.jobs) {
        for (auto &[number, occurrence] : job.occurrences) {
            for (step_state &step : occurrence.steps) {
                const auto advice = step.advice.find(worker);
                if (advice != step.advice.end()) {
                    advice->second.validUntil = distantPast;
                }
            }
        }
    }
}

void logRestart(const worker_life &former, const std::string &id, const worker_report &report,
                bool isCrash, orders &out)
{
    out.events.push_back(
        {"worker_restarted", "",
         "worker=" + id + " born=" + std::to_string(report.born)
             + " former_born=" + std::to_string(former.born) + " crash=" + (isCrash ? "yes" : "no")
             + " clock_ms=" + std::to_string(report.workerClock / millisecond)
             + " former_clock_ms=" + std::to_string(former.clock / millisecond) + " first_end="
             + std::to_string(report.ended.empty() ? 0 : report.ended.front().sequence)
             + " former_last_end=" + std::to_string(former.lastEnd)
             + " acknowledged=" + std::to_string(former.acknowledgedEnd)
             + " runs=" + std::to_string(former.runs.size())});
}

} // namespace

std::string lifeName(const worker_state &worker)
{
    return worker.life.born == 0 ? worker.entry.id
                                 : worker.entry.id + "@" + std::to_string(worker.life.born);
}

bool listsAllEnds(const worker_report &report)
{
    return report.ended.size() < maxEndsPerReport;
}

bool isOtherLife(const worker_life &life, const worker_report &report, timestamp sentAt)
{
    return report.born != life.born || (sentAt >= life.clockReadAt && isClockBehind(life, report));
}

known_run breakGangOf(scheduler &cell, const task_id &id)
{
    job_state *job = findJob(cell, id.job);
    task_state *task = job == nullptr ? nullptr : findTask(*job, id);
    if (task == nullptr) {
        return {};
    }
    ensureOccurrence(*job, id.occurrence).steps[static_cast<std::size_t>(id.step)].gangBroken =
        true;
    return {job, task};
}

void noteRestart(scheduler &cell, worker_state &worker, timestamp now)
{
    const bool isKnown = mayCarryOutFormerOrders(worker.life);
    worker.life.restartSeenAt = now;
    worker.life.needsFence = true;
    if (!isKnown && worker.listRow) {
        recordChange(cell, workerRowChange(*worker.listRow), true);
    }
}

void beginLife(scheduler &cell, worker_state &worker, const worker_report &report, timestamp now,
               orders &out)
{
    const bool isCrash =
        areDifferentLives(worker.life.born, report.born) || isClockBehind(worker.life, report);
    logRestart(worker.life, worker.entry.id, report, isCrash, out);
    if (isCrash) {
        countCrash(cell, worker, now, out);
    }
    holdRuns(cell, worker, now);
    expireTickets(cell, worker.entry.id);
    worker_life next;
    next.number = worker.life.number + 1;
    next.born = report.born;
    next.address = worker.life.address;
    next.fenceNumber = ++cell.fencesIssued;
    next.runs = std::move(worker.life.runs);
    next.used = worker.life.used;
    next.usedByLasting = worker.life.usedByLasting;
    next.restartSeenAt = now;
    next.unansweredAt = worker.life.unansweredAt;
    next.leasesExpiredAt =
        std::max(worker.life.leasesExpiredAt, strayLeaseExpiry(cell.settings.lease, now));
    // The new life has answered this scheduler, so that it refuses the orders of earlier ones.
    next.reconciled = listsAllEnds(report);
    if (worker.entry.born == 0 || report.born == 0) {
        next.avoidedUntil = now + unnamedEntryPause;
    }
    worker.life = std::move(next);
    // A superseded scheduler cannot store the list, so that it does not use lives that its
    // successor has not fenced.
    worker.recorded = false;
    worker.inWrite = false;
    addToList(cell, worker);
    if (worker.listRow) {
        recordChange(cell, workerRowChange(*worker.listRow), true);
    }
    cell.needsPlacement = true;
}

} // namespace bramleygrade::cell
