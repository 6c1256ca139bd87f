#include "cell/placement/waiting_jobs.h"

#include <algorithm>

#include "cell/placement/placement.h"

namespace bramleygrade::cell {

namespace {

/// Time after which an order without an answer, or a stopped run, counts as waiting.
constexpr microseconds orderAnswerLimit = 1 * second;

bool isOverdue(const task_state &task, timestamp now)
{
    const bool isOrdered = task.phase == run_phase::starting || task.phase == run_phase::unconfirmed
        || task.phase == run_phase::stopping;
    return isOrdered && now > task.orderedAt + orderAnswerLimit;
}

std::size_t countWaiting(const step_state &step, timestamp now)
{
    return static_cast<std::size_t>(
        std::count_if(step.tasks.begin(), step.tasks.end(), [now](const task_state &task) {
            return !task.done && (task.phase == run_phase::none || isOverdue(task, now));
        }));
}

bool hasWaitingTask(const step_state &step)
{
    return std::any_of(step.tasks.begin(), step.tasks.end(), [](const task_state &task) {
        return !task.done && task.phase == run_phase::none;
    });
}

bool hasActiveTask(const step_state &step)
{
    return std::any_of(step.tasks.begin(), step.tasks.end(),
                       [](const task_state &task) { return task.phase != run_phase::none; });
}

bool isReconciled(const scheduler &cell)
{
    return std::all_of(cell.workers.begin(), cell.workers.end(),
                       [](const auto &entry) { return entry.second.life.reconciled; });
}

/// What the workers offer to one task of a step.
struct worker_counts
{
    int eligible = 0;
    int usable = 0;
    int asked = 0;
    int allowed = 0;
    int withTicket = 0;
    /// Allowed workers with room, with or without a valid ticket.
    int withRoom = 0;
    int withRoomAndTicket = 0;
    /// Tasks that the allowed workers with a valid ticket have room for.
    std::int64_t slots = 0;
    /// Workers with room that is reserved for a gang.
    int withReservedRoom = 0;
};

/// Returns the number of the step's tasks that the worker has room for.
std::int64_t countSlots(const step_spec &spec, const step_state &step, const worker_state &worker)
{
    const std::int64_t slots = tasksThatFit(spec, freeCapacity(worker));
    if (spec.maxPerWorker == 0) {
        return slots;
    }
    const auto runs =
        std::count_if(step.tasks.begin(), step.tasks.end(), [&](const task_state &task) {
            return task.phase != run_phase::none && task.worker == worker.entry.id;
        });
    return std::min<std::int64_t>(slots, spec.maxPerWorker - runs);
}

void countWorker(worker_counts &counts, const worker_state &worker, const job_state &job,
                 const step_spec &spec, const step_state &step, const reserved_capacity &reserved,
                 timestamp now)
{
    ++counts.eligible;
    if (!isUsable(worker, now) || worker.life.clock == 0) {
        return;
    }
    ++counts.usable;
    bool hasTicket = true;
    if (job.policy.needsAdvice) {
        const auto advice = step.advice.find(worker.entry.id);
        if (advice == step.advice.end()) {
            return;
        }
        ++counts.asked;
        if (!advice->second.allowed) {
            return;
        }
        hasTicket = advice->second.validUntil > now + ticketMargin;
    }
    ++counts.allowed;
    counts.withTicket += hasTicket ? 1 : 0;
    const std::int64_t slots = countSlots(spec, step, worker);
    if (slots <= 0) {
        return;
    }
    const auto reservation = reserved.find(worker.entry.id);
    const bool isOwnReservation = step.reservations.count(worker.entry.id) > 0;
    if (reservation != reserved.end() && !isOwnReservation
        && !fits(reservedDemand(spec), freeCapacity(worker) - reservation->second)) {
        ++counts.withReservedRoom;
        return;
    }
    ++counts.withRoom;
    counts.withRoomAndTicket += hasTicket ? 1 : 0;
    counts.slots += hasTicket ? slots : 0;
}

/// `needed`: number of tasks that must be started together.
wait_reason explainPlacement(const worker_counts &counts, const step_state &step, bool needsAdvice,
                             std::int64_t needed)
{
    if (counts.eligible == 0) {
        return wait_reason::no_eligible_worker;
    }
    if (counts.usable == 0) {
        return wait_reason::no_usable_worker;
    }
    if (counts.slots >= needed) {
        return wait_reason::startable;
    }
    if (needsAdvice && step.advicePending) {
        return step.adviceQueued ? wait_reason::advice_queued : wait_reason::advice_pending;
    }
    if (counts.withRoom > counts.withRoomAndTicket) {
        return wait_reason::tickets_expired;
    }
    if (counts.withReservedRoom > 0) {
        return wait_reason::reserved_for_gang;
    }
    if (!needsAdvice) {
        return wait_reason::no_capacity;
    }
    if (counts.asked < counts.usable) {
        return wait_reason::advice_missing;
    }
    return counts.allowed == 0 ? wait_reason::not_allowed : wait_reason::allowed_workers_full;
}

wait_reason explainStep(const scheduler &cell, const job_state &job, const step_spec &spec,
                        const step_state &step, const reserved_capacity &reserved, timestamp now)
{
    if (!job.stored) {
        return wait_reason::job_not_stored;
    }
    if (job.restored && !isReconciled(cell)) {
        return wait_reason::workers_not_reconciled;
    }
    if (spec.gang && step.gangBroken && hasActiveTask(step)) {
        return wait_reason::runs_not_ended;
    }
    if (!hasWaitingTask(step)) {
        const bool isStopping =
            std::any_of(step.tasks.begin(), step.tasks.end(), [now](const task_state &task) {
                return task.phase == run_phase::stopping && isOverdue(task, now);
            });
        return isStopping ? wait_reason::runs_not_ended : wait_reason::order_unanswered;
    }
    if (cell.teams.hasCaps && step.waitsForTeamCap) {
        return wait_reason::team_cap;
    }
    if (spec.gang && step.obstacle == gang_obstacle::held_capacity_limit) {
        return wait_reason::gang_capacity_limit;
    }
    if (spec.gang && step.obstacle == gang_obstacle::exceeds_workers) {
        return wait_reason::gang_exceeds_workers;
    }
    worker_counts counts;
    for (const auto &[id, worker] : cell.workers) {
        if (isEligible(job, spec, worker)) {
            countWorker(counts, worker, job, spec, step, reserved, now);
        }
    }
    const std::int64_t needed = spec.gang ? static_cast<std::int64_t>(countWaiting(step, now)) : 1;
    return explainPlacement(counts, step, job.policy.needsAdvice, needed);
}

/// Calls `visit` for each step that is ready and not done; stops once it returns false.
template <typename Visitor>
void visitReadySteps(const job_state &job, Visitor visit)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (int index = 0; index < static_cast<int>(occurrence.steps.size()); ++index) {
            if (!occurrence.completed && isStepReady(job, occurrence, index)
                && !visit(number, index, occurrence.steps[static_cast<std::size_t>(index)])) {
                return;
            }
        }
    }
}

/// Updates the waits of all jobs and removes those that no longer wait.
void updateWaits(waiting_jobs &jobs, const scheduler &cell, const wait_report_limits &limits,
                 timestamp now)
{
    for (auto it = jobs.begin(); it != jobs.end();) {
        const auto job = cell.jobs.find(it->first);
        const bool isWaiting = job != cell.jobs.end() && !job->second.finalPhase
            && countWaitingTasks(job->second, now) > 0;
        it = isWaiting ? std::next(it) : jobs.erase(it);
    }
    for (const auto &[id, job] : cell.jobs) {
        const std::size_t tasks = job.finalPhase ? 0 : countWaitingTasks(job, now);
        if (tasks == 0) {
            continue;
        }
        waiting_job &waiting = jobs[id];
        if (waiting.since == distantPast || tasks < waiting.tasks) {
            waiting.since = now;
            waiting.nextReportAt = now + limits.firstReport;
        }
        waiting.tasks = tasks;
    }
}

} // namespace

const char *waitReasonName(wait_reason reason)
{
    switch (reason) {
    case wait_reason::startable:
        return "startable";
    case wait_reason::job_not_stored:
        return "job_not_stored";
    case wait_reason::workers_not_reconciled:
        return "workers_not_reconciled";
    case wait_reason::order_unanswered:
        return "order_unanswered";
    case wait_reason::runs_not_ended:
        return "runs_not_ended";
    case wait_reason::no_eligible_worker:
        return "no_eligible_worker";
    case wait_reason::no_usable_worker:
        return "no_usable_worker";
    case wait_reason::advice_queued:
        return "advice_queued";
    case wait_reason::advice_pending:
        return "advice_pending";
    case wait_reason::advice_missing:
        return "advice_missing";
    case wait_reason::not_allowed:
        return "not_allowed";
    case wait_reason::tickets_expired:
        return "tickets_expired";
    case wait_reason::allowed_workers_full:
        return "allowed_workers_full";
    case wait_reason::reserved_for_gang:
        return "reserved_for_gang";
    case wait_reason::gang_capacity_limit:
        return "gang_capacity_limit";
    case wait_reason::gang_exceeds_workers:
        return "gang_exceeds_workers";
    case wait_reason::team_cap:
        return "team_cap";
    case wait_reason::no_capacity:
        break;
    }
    return "no_capacity";
}

reserved_capacity sumReservations(const scheduler &cell, timestamp now)
{
    reserved_capacity reserved;
    for (const std::string &id : cell.runnableJobs) {
        const auto job = cell.jobs.find(id);
        if (job == cell.jobs.end()) {
            continue;
        }
        visitReadySteps(job->second, [&](int, int, const step_state &step) {
            if (now < step.reservedUntil) {
                for (const auto &[worker, amount] : step.reservations) {
                    reserved[worker] = reserved[worker] + amount;
                }
            }
            return true;
        });
    }
    return reserved;
}

std::size_t countWaitingTasks(const job_state &job, timestamp now)
{
    std::size_t tasks = 0;
    visitReadySteps(job, [&](int, int, const step_state &step) {
        tasks += countWaiting(step, now);
        return true;
    });
    return tasks;
}

step_wait explainWait(const scheduler &cell, const job_state &job,
                      const reserved_capacity &reserved, timestamp now)
{
    step_wait wait;
    visitReadySteps(job, [&](int occurrence, int index, const step_state &step) {
        const std::size_t tasks = countWaiting(step, now);
        if (tasks == 0) {
            return true;
        }
        const step_spec &spec = job.spec.steps[static_cast<std::size_t>(index)];
        wait = {tasks, explainStep(cell, job, spec, step, reserved, now), occurrence, index};
        return false;
    });
    return wait;
}

std::vector<std::string> reportWaitingJobs(waiting_jobs &jobs, const scheduler &cell,
                                           const wait_report_limits &limits, timestamp now)
{
    updateWaits(jobs, cell, limits, now);
    std::vector<std::pair<timestamp, std::string>> due;
    for (const auto &[id, waiting] : jobs) {
        if (now >= waiting.nextReportAt) {
            due.emplace_back(waiting.since, id);
        }
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), limits.reportsPerCall));
    const reserved_capacity reserved =
        due.empty() ? reserved_capacity {} : sumReservations(cell, now);
    std::vector<std::string> ids;
    for (const auto &[since, id] : due) {
        waiting_job &waiting = jobs[id];
        waiting.newest = explainWait(cell, cell.jobs.at(id), reserved, now);
        waiting.nextReportAt = now + (now - since);
        ids.push_back(id);
    }
    return ids;
}

} // namespace bramleygrade::cell
