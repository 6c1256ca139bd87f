#include <algorithm>

#include "cell/ends/crashes.h"
#include "cell/interference/scheduler_interference.h"
#include "cell/jobs/open_occurrences.h"
#include "cell/placement/gang_order.h"
#include "cell/placement/placement.h"
#include "cell/scheduler.h"
#include "cell/teams/capped_placement.h"
#include "cell/teams/team_shares.h"

namespace bramleygrade::cell {

namespace {

/// Waiting gangs may hold the processors of a service's workers over this divisor, without the
/// capacity that was freed for them by preemption.
constexpr std::int64_t heldShareDivisor = 8;

/// Steps planned in one round. It bounds the duration of a round, during which no answer is read,
/// however many steps wait; the next round follows at once.
constexpr int maxPlansPerRound = 100;
/// Pause after a plan that started nothing, while more steps wait than a round can plan.
constexpr microseconds fruitlessPlanPause = 50 * millisecond;
/// Pause before it is checked again whether the workers can hold a gang.
constexpr microseconds placeableCheckPause = 100 * millisecond;

headroom_map collectHeadroom(scheduler &cell, timestamp now)
{
    headroom_map headrooms;
    headrooms.reserve(cell.workers.size());
    for (auto &[id, worker] : cell.workers) {
        if (isUsable(worker, now) && worker.life.clock != 0) {
            headrooms.emplace_hint(headrooms.end(), id,
                                   worker_headroom {&worker, freeCapacity(worker)});
        }
    }
    return headrooms;
}

bool areWorkersReconciled(const scheduler &cell)
{
    return std::all_of(cell.workers.begin(), cell.workers.end(),
                       [](const auto &entry) { return entry.second.life.reconciled; });
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
        const bool hasMore = updateOpenOccurrences(cell, *job, now);
        if (job->restored && !reconciled) {
            ++it;
            continue;
        }
        for (auto &[number, occurrence] : job->occurrences) {
            for (int step = 0; step < static_cast<int>(job->spec.steps.size()); ++step) {
                if (occurrence.completed || !isStepReady(*job, occurrence, step)) {
                    continue;
                }
                if (auto waiting = makeWaitingStep(*job, number, step, now)) {
                    setClashes(cell, *waiting);
                    found.push_back(std::move(*waiting));
                }
            }
        }
        it = found.size() == before && !hasMore ? cell.runnableJobs.erase(it) : std::next(it);
    }
    orderGangs(cell, found, now);
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
    task.startedAt = now;
    task.confirmedAt = distantPast;
    task.strayStartAt = distantPast;
    task.progressAt = now;
    task.percent = 0;
    task.token = fencingToken(cell, worker);
    task.resumed = !task.checkpoint.empty();
    waiting.job->ordered = true;
    recordStart(cell, worker, id, isSuspected(step), now);
    addRun(worker, id, stepSpec(waiting));
    noteRunAdded(cell, worker, id, waiting.job->spec, now, out);
    addTeamRun(cell, *waiting.job, waiting.step);
    headroom.free = headroom.free - reservedDemand(stepSpec(waiting));
    noteStartAfterAnswer(cell.counters.adviceUse, waiting.job->spec.queue, step);
    ++cell.counters.starts;
    const auto advice = step.advice.find(worker.entry.id);
    out.starts.push_back({id, attempt, worker.entry.id, waiting.job->spec.payload,
                          advice == step.advice.end() ? "" : advice->second.ticket, task.checkpoint,
                          grantLease(cell, worker, now), task.token, worker.life.number});
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

/// Returns the number of tasks started.
std::size_t startIndependent(scheduler &cell, const waiting_step &waiting,
                             const placement_plan &plan, headroom_map &headrooms, timestamp now,
                             orders &out)
{
    const step_state &step = stepState(waiting);
    std::size_t started = 0;
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
            ++started;
        }
    }
    return started;
}

/// Withholds the planned capacity from later steps until the gang's tickets arrive. Returns the
/// processor time withheld, in thousandths of a processor, without reservations.
std::int64_t holdPlan(const waiting_step &waiting, const placement_plan &plan,
                      headroom_map &headrooms, timestamp now)
{
    const resources demand = reservedDemand(stepSpec(waiting));
    for (const std::string &id : plan.workers) {
        headrooms.at(id).free = headrooms.at(id).free - demand;
    }
    return holdsReservation(stepState(waiting), now)
        ? 0
        : demand.cpuMilli * static_cast<std::int64_t>(plan.workers.size());
}

/// Queues a call for advice about a step that has no open one; its workers are chosen when it is
/// sent. Does nothing while many calls are queued, so that the most urgent steps go first.
void askForAdvice(scheduler &cell, const waiting_step &waiting, timestamp now, orders &out)
{
    step_state &step = stepState(waiting);
    advice_order order = makeAdviceOrder(waiting, {});
    const std::size_t limit = order.longCall ? maxQueuedLongCalls : maxQueuedShortCalls;
    std::size_t &queued = order.longCall ? cell.queuedLongCalls : cell.queuedShortCalls;
    if (step.advicePending || now < step.adviceNotBefore || queued >= limit) {
        return;
    }
    ++queued;
    step.advicePending = true;
    step.adviceQueued = true;
    out.advice.push_back(std::move(order));
}

/// Queues a call about the workers for which capacity is held for the gang.
void askAboutHeldWorkers(scheduler &cell, const waiting_step &waiting,
                         std::vector<std::string> workers, orders &out)
{
    advice_order order = makeAdviceOrder(waiting, std::move(workers));
    order.holdsCapacity = true;
    ++(order.longCall ? cell.queuedLongCalls : cell.queuedShortCalls);
    stepState(waiting).advicePending = true;
    stepState(waiting).adviceQueued = true;
    out.advice.push_back(std::move(order));
}

/// Handles a gang that does not fit: reserves capacity by preempting other runs, or else withholds
/// free capacity of some workers from later steps. Returns the processor time withheld, in
/// thousandths of a processor, without reservations.
std::int64_t deferGang(scheduler &cell, const waiting_step &waiting, headroom_map &headrooms,
                       timestamp now, orders &out)
{
    step_state &step = stepState(waiting);
    std::vector<std::string> chosen = preemptForGang(cell, waiting, headrooms, now, out);
    if (!holdsReservation(step, now)) {
        return withholdForGang(waiting, waiting.tasks.size(), headrooms);
    }
    for (const auto &[id, reservation] : step.reservations) {
        const auto headroom = headrooms.find(id);
        if (headroom != headrooms.end()) {
            headroom->second.free = headroom->second.free - reservation;
        }
    }
    if (!chosen.empty() && waiting.job->policy.needsAdvice && !step.advicePending) {
        askAboutHeldWorkers(cell, waiting, std::move(chosen), out);
    }
    return 0;
}

/// Returns true if the step may have a valid ticket, or its queue needs none.
bool mayHaveTicket(const waiting_step &waiting, timestamp now)
{
    return !waiting.job->policy.needsAdvice
        || stepState(waiting).ticketsValidUntil > now + ticketMargin;
}

/// Orders the advice that the planned gang needs.
void askForGang(scheduler &cell, const waiting_step &waiting, const placement_plan &plan,
                const headroom_map &headrooms, timestamp now, orders &out)
{
    if (plan.unplaced > 0 && !holdsReservation(stepState(waiting), now)) {
        askForAdvice(cell, waiting, now, out);
        return;
    }
    std::vector<std::string> workers = selectWorkersToAsk(cell, waiting, plan, headrooms, now);
    if (!workers.empty()) {
        askAboutHeldWorkers(cell, waiting, std::move(workers), out);
    }
}

/// Returns what keeps the planned gang from starting.
gang_obstacle findObstacle(const waiting_step &waiting, const placement_plan &plan, timestamp now)
{
    if (!waiting.job->stored) {
        return gang_obstacle::not_stored;
    }
    if (plan.unplaced > 0) {
        return holdsReservation(stepState(waiting), now) ? gang_obstacle::preempted_runs_not_ended
                                                         : gang_obstacle::not_enough_room;
    }
    return plan.ticketsValid ? gang_obstacle::none : gang_obstacle::tickets_expired;
}

/// Gives up what a gang holds that no worker could take, so that other steps can use it.
void dropHolds(step_state &step, timestamp now)
{
    step.obstacle = gang_obstacle::exceeds_workers;
    step.holdsCapacity = false;
    step.reservations.clear();
    step.reservedUntil = distantPast;
    step.planNotBefore = now + placeableCheckPause;
}

/// Starts the gang, or holds capacity for it. `budget` is the processor time that gangs may still
/// hold in this round; a gang keeps what it holds until its tickets arrive. Once the budget is
/// spent, later gangs wait without holding anything, as capacity held for many gangs at once is
/// idle. Returns whether the gang was planned.
bool placeGang(scheduler &cell, const waiting_step &waiting, headroom_map &headrooms,
               std::int64_t &budget, timestamp now, orders &out)
{
    step_state &step = stepState(waiting);
    const bool isUnadvised = waiting.job->policy.needsAdvice && step.advice.empty();
    if (isUnadvised && step.advicePending) {
        step.obstacle = gang_obstacle::advice_missing;
        return false;
    }
    const bool mayHold =
        holdsReservation(step, now) || (step.advicePending && step.holdsCapacity) || budget > 0;
    const bool wasUnplaceable = step.obstacle == gang_obstacle::exceeds_workers;
    if (!mayHold && !isUnadvised && !wasUnplaceable) {
        step.obstacle = gang_obstacle::held_capacity_limit;
        return false;
    }
    restoreOwnReservations(waiting, headrooms, now);
    if (!isPlaceable(waiting, headrooms)) {
        dropHolds(step, now);
        return false;
    }
    if (!mayHold && !isUnadvised) {
        step.obstacle = gang_obstacle::held_capacity_limit;
        return false;
    }
    if (isUnadvised) {
        step.obstacle = gang_obstacle::advice_missing;
        askForAdvice(cell, waiting, now, out);
        return false;
    }
    const placement_plan plan = planStep(waiting, headrooms, now);
    if (waiting.job->policy.needsAdvice) {
        askForGang(cell, waiting, plan, headrooms, now, out);
    }
    step.obstacle = findObstacle(waiting, plan, now);
    if (!waiting.job->stored) {
        return true;
    }
    if (plan.unplaced == 0 && plan.ticketsValid) {
        startGang(cell, waiting, plan, headrooms, now, out);
        countSeparatedTasks(cell, waiting, plan);
        step.reservedUntil = distantPast;
        step.holdsCapacity = false;
        return true;
    }
    step.holdsCapacity = true;
    budget -= plan.unplaced == 0 ? holdPlan(waiting, plan, headrooms, now)
                                 : deferGang(cell, waiting, headrooms, now, out);
    return true;
}

/// Starts the tasks for which there is capacity and a ticket. Returns whether the step was planned.
bool placeIndependent(scheduler &cell, const waiting_step &waiting, headroom_map &headrooms,
                      timestamp now, orders &out)
{
    std::size_t started = 0;
    const bool planned = waiting.job->stored && mayHaveTicket(waiting, now);
    if (planned) {
        placement_plan plan = planStep(waiting, headrooms, now);
        if (isSuspected(stepState(waiting))) {
            limitTrials(cell, *waiting.job, stepState(waiting), plan.workers, now);
        }
        started = startIndependent(cell, waiting, plan, headrooms, now, out);
        if (started > 0) {
            countSeparatedTasks(cell, waiting, plan);
        }
    }
    if (waiting.job->policy.needsAdvice && started < waiting.tasks.size()) {
        askForAdvice(cell, waiting, now, out);
    }
    return planned;
}

/// Whether no worker has the free capacity for one task of the step. Always false for gangs, as
/// they may reserve capacity or preempt other runs.
bool isUnplaceable(const waiting_step &waiting, const headroom_limits &limits)
{
    const step_spec &spec = stepSpec(waiting);
    const auto largest = limits.find(waiting.job->policy.service);
    return !spec.gang && (largest == limits.end() || !fits(reservedDemand(spec), largest->second));
}

/// Returns the processor time that waiting gangs may hold, by service.
std::map<std::string, std::int64_t> makeGangBudgets(const scheduler &cell)
{
    std::map<std::string, std::int64_t> budgets;
    for (const auto &[id, worker] : cell.workers) {
        if (hasAnswered(worker)) {
            budgets[worker.entry.service] += worker.entry.capacity.cpuMilli / heldShareDivisor;
        }
    }
    return budgets;
}

void recordHeadroom(const headroom_map &headrooms, resources worker_state::*field)
{
    for (const auto &[id, headroom] : headrooms) {
        headroom.worker->*field = headroom.free;
    }
}

} // namespace

void placeWaiting(scheduler &cell, timestamp now, orders &out)
{
    if (!cell.needsPlacement || cell.runnableJobs.empty()) {
        return;
    }
    cell.needsPlacement = false;
    std::vector<waiting_step> waiting = collectWaitingSteps(cell, now);
    if (waiting.empty()) {
        return;
    }
    beginCappedRound(cell, waiting, now);
    headroom_map headrooms = collectHeadroom(cell, now);
    std::map<std::string, std::int64_t> gangBudgets = makeGangBudgets(cell);
    deductReservations(waiting, headrooms, now);
    const headroom_limits limits = maxHeadroomByService(headrooms);
    orderByShares(cell, waiting, [&](const waiting_step &step) {
        return !isUnplaceable(step, limits) && mayHaveTicket(step, now)
            && !stepState(step).waitsForTeamCap;
    });
    bool urgentDone = false;
    int plans = 0;
    for (waiting_step &step : waiting) {
        if (!urgentDone && !isUrgent(step)) {
            recordHeadroom(headrooms, &worker_state::headroomOfUrgent);
            urgentDone = true;
        }
        if (isUnplaceable(step, limits) || now < stepState(step).planNotBefore
            || !areCrashesStored(cell, *step.job, stepState(step))) {
            continue;
        }
        if (plans == maxPlansPerRound) {
            cell.needsPlacement = true;
            break;
        }
        if (!limitToCap(cell, step, headrooms)) {
            continue;
        }
        const std::size_t startsBefore = out.starts.size();
        std::int64_t &gangBudget = gangBudgets[step.job->policy.service];
        const bool planned = stepSpec(step).gang
            ? placeGang(cell, step, headrooms, gangBudget, now, out)
            : placeIndependent(cell, step, headrooms, now, out);
        plans += planned ? 1 : 0;
        if (out.starts.size() == startsBefore) {
            holdCapForGang(cell, step, now);
        }
        skipOtherParts(cell, step, out.starts.size() - startsBefore, now);
        if (planned && cell.isRoundLimited && out.starts.size() == startsBefore
            && !stepSpec(step).gang) {
            stepState(step).planNotBefore = now + fruitlessPlanPause;
        }
    }
    if (!urgentDone) {
        recordHeadroom(headrooms, &worker_state::headroomOfUrgent);
    }
    recordHeadroom(headrooms, &worker_state::headroomOfOthers);
    cell.isRoundLimited = plans == maxPlansPerRound;
    cell.counters.plannedSteps += static_cast<std::uint64_t>(plans);
}

} // namespace bramleygrade::cell
