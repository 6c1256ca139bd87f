#include <algorithm>

#include "cell/placement.h"
#include "cell/scheduler.h"

namespace bramleygrade::cell {

namespace {

/// A worker's CPU capacity over this divisor is kept for steps of priority 0 that are on time.
constexpr int urgentShareDivisor = 16;

void orderPoll(scheduler &cell, worker_state &worker, timestamp now, bool fence, orders &out)
{
    poll_order poll;
    poll.worker = worker.entry.id;
    poll.fencingToken = fencingToken(cell, worker);
    poll.acknowledgedEnd = worker.acknowledgedEnd;
    poll.fence = fence;
    // Leases are not renewed while polls go unanswered, so that they expire and the runs can be
    // restarted elsewhere.
    if (worker.clock != 0 && worker.unansweredPolls == 0) {
        poll.leaseUntil = workerClock(worker, now) + cell.settings.lease.longest;
    }
    // Neither a fence nor the first poll may wait, and a worker with unacknowledged ends answers at
    // once anyway.
    if (!fence && worker.fenced && worker.unansweredPolls == 0 && worker.unstoredEnds.empty()) {
        poll.wait = cell.settings.pollWait;
    }
    if (poll.leaseUntil != 0) {
        worker.leasesExpiredAt =
            std::max(worker.leasesExpiredAt, latestLeaseExpiry(cell.settings.lease, now));
    }
    (fence ? worker.fenceInFlight : worker.pollInFlight) = true;
    out.polls.push_back(poll);
}

void pollWorkers(scheduler &cell, timestamp now, orders &out)
{
    for (auto it = cell.workers.begin(); it != cell.workers.end();) {
        worker_state &worker = it->second;
        const bool noPollInFlight = !worker.pollInFlight && !worker.fenceInFlight;
        const bool leasesExpired = worker.unansweredPolls > 0 && now > worker.leasesExpiredAt;
        const bool hasLeft = !worker.listed && worker.entry.draining && worker.connectionRefused;
        if ((leasesExpired || hasLeft) && (!worker.runs.empty() || !worker.reconciled)) {
            ++cell.counters.lostWorkers;
            releaseAllRuns(cell, worker, now, out);
        }
        if (noPollInFlight && !worker.listed && worker.runs.empty()
            && (worker.reconciled || worker.fenced)) {
            recordChange(cell, workerListChange, false);
            it = cell.workers.erase(it);
            continue;
        }
        if (worker.needsFence && !worker.fenceInFlight
            && (worker.unansweredPolls == 0 || now >= worker.nextPollAt)) {
            worker.fenceNumber = ++cell.fencesIssued;
            orderPoll(cell, worker, now, true, out);
        } else if (noPollInFlight && now >= worker.nextPollAt) {
            orderPoll(cell, worker, now, false, out);
        }
        ++it;
    }
}

headroom_map collectHeadroom(scheduler &cell, timestamp now)
{
    headroom_map headrooms;
    for (auto &[id, worker] : cell.workers) {
        if (isUsable(worker, now) && worker.clock != 0) {
            headrooms.emplace(id, worker_headroom {&worker, freeCapacity(worker)});
        }
    }
    return headrooms;
}

bool areWorkersReconciled(const scheduler &cell)
{
    return std::all_of(cell.workers.begin(), cell.workers.end(),
                       [](const auto &entry) { return entry.second.reconciled; });
}

/// Deducts the capacity reserved for gangs, so that other steps cannot use it.
void deductReservations(const std::vector<waiting_step> &waiting, headroom_map &headrooms,
                        timestamp now)
{
    for (const waiting_step &reserving : waiting) {
        const step_state &step = stepState(reserving);
        if (now >= step.reservedUntil) {
            continue;
        }
        for (const auto &[id, reservation] : step.reservations) {
            const auto headroom = headrooms.find(id);
            if (headroom != headrooms.end()) {
                headroom->second.free = headroom->second.free - reservation;
            }
        }
    }
}

/// Adds the step's own reservations back to the headroom, so that it can be placed there.
void restoreOwnReservations(const waiting_step &waiting, headroom_map &headrooms, timestamp now)
{
    step_state &step = stepState(waiting);
    if (now < step.reservedUntil) {
        for (const auto &[id, reservation] : step.reservations) {
            const auto headroom = headrooms.find(id);
            if (headroom != headrooms.end()) {
                headroom->second.free = headroom->second.free + reservation;
            }
        }
    }
}

/// Returns the tasks of the step that may be started now; none while members of a broken gang are
/// still active.
std::vector<int> findWaitingTasks(const step_spec &spec, const step_state &step)
{
    std::vector<int> tasks;
    bool active = false;
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        const task_state &task = step.tasks[index];
        if (!task.done && task.phase == run_phase::none) {
            tasks.push_back(static_cast<int>(index));
        }
        active = active || task.phase != run_phase::none;
    }
    if (spec.gang && active && step.gangBroken) {
        tasks.clear();
    }
    return tasks;
}

void collectStep(job_state &job, int number, occurrence_state &occurrence, int index, timestamp now,
                 std::vector<waiting_step> &found)
{
    waiting_step waiting;
    waiting.tasks =
        findWaitingTasks(stepOf(job, index), occurrence.steps[static_cast<std::size_t>(index)]);
    if (waiting.tasks.empty()) {
        return;
    }
    waiting.objectiveAt = occurrence.dueAt == distantPast
        ? job.objectiveAt
        : occurrence.dueAt + (job.objectiveAt - job.receivedAt);
    waiting.late = now > waiting.objectiveAt;
    waiting.priority = job.policy.priority;
    waiting.job = &job;
    waiting.occurrence = number;
    waiting.step = index;
    found.push_back(std::move(waiting));
}

/// Creates the occurrences that are due. Returns whether later ones remain.
bool createDueOccurrences(job_state &job, timestamp now)
{
    if (job.spec.occurrences == 0) {
        ensureOccurrence(job, 0);
        return false;
    }
    for (int number = 0; number < job.spec.occurrences; ++number) {
        const timestamp due = job.firstDueAt + number * job.spec.interval;
        if (now < due) {
            return true;
        }
        ensureOccurrence(job, number).dueAt = due;
    }
    return false;
}

std::vector<waiting_step> collectWaitingSteps(scheduler &cell, timestamp now)
{
    std::vector<waiting_step> found;
    const bool reconciled = areWorkersReconciled(cell);
    for (auto it = cell.runnableJobs.begin(); it != cell.runnableJobs.end();) {
        job_state *job = findJob(cell, *it);
        if (job == nullptr || job->finalPhase) {
            it = cell.runnableJobs.erase(it);
            continue;
        }
        const std::size_t before = found.size();
        bool hasMore = createDueOccurrences(*job, now);
        if (job->restored && !reconciled) {
            ++it;
            continue;
        }
        for (auto &[number, occurrence] : job->occurrences) {
            for (int step = 0; step < static_cast<int>(job->spec.steps.size()); ++step) {
                if (!occurrence.completed && isStepReady(*job, occurrence, step)) {
                    collectStep(*job, number, occurrence, step, now, found);
                }
            }
        }
        it = found.size() == before && !hasMore ? cell.runnableJobs.erase(it) : std::next(it);
    }
    std::sort(found.begin(), found.end());
    return found;
}

int nextAttempt(const scheduler &cell, const job_state &job, const task_state &task)
{
    const auto base = static_cast<int>((cell.epoch - job.acceptedEpoch) * attemptsPerEpoch);
    return std::max(task.attempt, base) + 1;
}

void startTask(scheduler &cell, const waiting_step &waiting, int index, int attempt,
               worker_headroom &headroom, timestamp now, orders &out)
{
    step_state &step = stepState(waiting);
    task_state &task = step.tasks[static_cast<std::size_t>(index)];
    worker_state &worker = *headroom.worker;
    const task_id id {waiting.job->spec.id, waiting.occurrence, waiting.step, index};
    task.attempt = attempt;
    task.phase = run_phase::starting;
    task.worker = worker.entry.id;
    task.orderedAt = now;
    task.confirmedAt = distantPast;
    task.progressAt = now;
    task.percent = 0;
    task.token = fencingToken(cell, worker);
    waiting.job->startedAny = true;
    addRun(worker, id, reservedDemand(stepSpec(waiting)));
    headroom.free = headroom.free - reservedDemand(stepSpec(waiting));
    worker.leasesExpiredAt =
        std::max(worker.leasesExpiredAt, latestLeaseExpiry(cell.settings.lease, now));
    ++cell.counters.starts;
    const auto advice = step.advice.find(worker.entry.id);
    out.starts.push_back({id, attempt, worker.entry.id, waiting.job->spec.payload,
                          advice == step.advice.end() ? "" : advice->second.ticket, task.checkpoint,
                          workerClock(worker, now) + cell.settings.lease.longest, task.token});
}

void startGang(scheduler &cell, const waiting_step &waiting, const placement_plan &plan,
               headroom_map &headrooms, timestamp now, orders &out)
{
    step_state &step = stepState(waiting);
    if (waiting.tasks.size() == step.tasks.size()) {
        int attempt = 0;
        for (const task_state &task : step.tasks) {
            attempt = std::max(attempt, nextAttempt(cell, *waiting.job, task));
        }
        step.gangAttempt = attempt;
        step.gangBroken = false;
        step.gangStartedAt = now;
    }
    step.preemptions = 0;
    for (std::size_t index = 0; index < waiting.tasks.size(); ++index) {
        startTask(cell, waiting, waiting.tasks[index], step.gangAttempt,
                  headrooms.at(plan.workers[index]), now, out);
    }
}

void startIndependent(scheduler &cell, const waiting_step &waiting, const placement_plan &plan,
                      headroom_map &headrooms, timestamp now, orders &out)
{
    const step_state &step = stepState(waiting);
    for (std::size_t index = 0; index < plan.workers.size(); ++index) {
        const std::string &id = plan.workers[index];
        worker_headroom &headroom = headrooms.at(id);
        const auto advice = step.advice.find(id);
        const bool hasTicket = !waiting.job->policy.needsAdvice
            || (advice != step.advice.end() && advice->second.validUntil > now + ticketMargin);
        const int task = waiting.tasks[index];
        if (hasTicket) {
            const int attempt =
                nextAttempt(cell, *waiting.job, step.tasks[static_cast<std::size_t>(task)]);
            startTask(cell, waiting, task, attempt, headroom, now, out);
        } else {
            // Withholds the capacity from later steps, as the task starts here once its new ticket
            // arrives.
            headroom.free = headroom.free - reservedDemand(stepSpec(waiting));
        }
    }
}

void withholdUrgentShare(headroom_map &headrooms)
{
    for (auto &[id, headroom] : headrooms) {
        headroom.free.cpuMilli -= headroom.worker->entry.capacity.cpuMilli / urgentShareDivisor;
    }
}

/// Handles a gang that does not fit: reserves capacity by preempting other runs, or else withholds
/// free capacity of some workers from later steps.
void deferGang(scheduler &cell, const waiting_step &waiting, headroom_map &headrooms, timestamp now,
               orders &out)
{
    step_state &step = stepState(waiting);
    const std::vector<std::string> chosen = preemptForGang(cell, waiting, headrooms, now, out);
    if (now >= step.reservedUntil) {
        withholdForGang(waiting, waiting.tasks.size(), headrooms);
        return;
    }
    for (const auto &[id, reservation] : step.reservations) {
        const auto headroom = headrooms.find(id);
        if (headroom != headrooms.end()) {
            headroom->second.free = headroom->second.free - reservation;
        }
    }
    if (!chosen.empty() && waiting.job->policy.needsAdvice && !step.advicePending) {
        step.advicePending = true;
        ++cell.counters.adviceCalls;
        out.advice.push_back(makeAdviceOrder(waiting, chosen));
        out.advice.back().holdsCapacity = true;
    }
}

void placeStep(scheduler &cell, const waiting_step &waiting, headroom_map &headrooms, timestamp now,
               orders &out)
{
    const bool gang = stepSpec(waiting).gang;
    restoreOwnReservations(waiting, headrooms, now);
    const placement_plan plan = planStep(waiting, headrooms, now);
    std::vector<std::string> toAsk = selectWorkersToAsk(cell, waiting, plan, headrooms, now);
    if (!toAsk.empty()) {
        stepState(waiting).advicePending = true;
        ++cell.counters.adviceCalls;
        out.advice.push_back(makeAdviceOrder(waiting, std::move(toAsk)));
        out.advice.back().holdsCapacity = gang && plan.unplaced == 0;
    }
    if (!waiting.job->stored) {
        return;
    }
    if (!gang) {
        startIndependent(cell, waiting, plan, headrooms, now, out);
    } else if (plan.unplaced == 0 && plan.ticketsValid) {
        startGang(cell, waiting, plan, headrooms, now, out);
        stepState(waiting).reservedUntil = distantPast;
    } else if (plan.unplaced == 0) {
        for (const std::string &id : plan.workers) {
            headrooms.at(id).free = headrooms.at(id).free - reservedDemand(stepSpec(waiting));
        }
    } else {
        deferGang(cell, waiting, headrooms, now, out);
    }
}

/// Whether no worker has the free capacity for one task of the step. Always false for gangs, as
/// they may reserve capacity or preempt other runs.
bool isUnplaceable(const waiting_step &waiting, const headroom_limits &limits)
{
    const step_spec &spec = stepSpec(waiting);
    const auto largest = limits.find(waiting.job->policy.service);
    return !spec.gang && (largest == limits.end() || !fits(reservedDemand(spec), largest->second));
}

} // namespace

void placeWaiting(scheduler &cell, timestamp now, orders &out)
{
    if (!cell.needsPlacement || cell.runnableJobs.empty()) {
        return;
    }
    cell.needsPlacement = false;
    const std::vector<waiting_step> waiting = collectWaitingSteps(cell, now);
    if (waiting.empty()) {
        return;
    }
    headroom_map headrooms = collectHeadroom(cell, now);
    deductReservations(waiting, headrooms, now);
    headroom_limits limits = maxHeadroomByService(headrooms);
    bool urgentShareWithheld = false;
    for (const waiting_step &step : waiting) {
        if (!urgentShareWithheld && (step.late || step.priority > 0)) {
            withholdUrgentShare(headrooms);
            limits = maxHeadroomByService(headrooms);
            urgentShareWithheld = true;
        }
        if (!isUnplaceable(step, limits)) {
            placeStep(cell, step, headrooms, now, out);
        }
    }
}

void decide(scheduler &cell, timestamp now, orders &out)
{
    pollWorkers(cell, now, out);
    checkRuns(cell, now, out);
    placeWaiting(cell, now, out);
}

timestamp nextDeadline(const scheduler &cell)
{
    timestamp next = cell.nextCheckAt;
    for (const auto &[id, worker] : cell.workers) {
        if (!worker.pollInFlight && !worker.fenceInFlight) {
            next = std::min(next, worker.nextPollAt);
        }
    }
    return next;
}

} // namespace bramleygrade::cell
