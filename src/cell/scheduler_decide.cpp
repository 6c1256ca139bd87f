#include <algorithm>

#include "cell/placement.h"
#include "cell/scheduler.h"

namespace bramleygrade::cell {

namespace {

/// Share of each worker's processors kept for the queue with the highest priority.
constexpr int urgentShareDivisor = 16;

void orderLook(scheduler &cell, worker_state &worker, timestamp now, bool fence, orders &out)
{
    poll_order look;
    look.worker = worker.entry.id;
    look.fencingToken = fencingToken(cell, worker);
    look.acknowledgedEnd = worker.acknowledgedEnd;
    look.fence = fence;
    // A worker whose answers are lost must lose its leases, so that they are not renewed.
    if (worker.clock != 0 && worker.unansweredPolls == 0) {
        look.leaseUntil = workerClock(worker, now) + cell.settings.lease.longest;
    }
    // The first look fences, and a look with unstored ends would be answered at once anyway.
    if (!fence && worker.fenced && worker.unansweredPolls == 0 && worker.unstoredEnds.empty()) {
        look.wait = cell.settings.pollWait;
    }
    if (look.leaseUntil != 0) {
        worker.leasesExpiredAt =
            std::max(worker.leasesExpiredAt, latestLeaseExpiry(cell.settings.lease, now));
    }
    (fence ? worker.fenceInFlight : worker.pollInFlight) = true;
    out.polls.push_back(look);
}

void lookAtWorkers(scheduler &cell, timestamp now, orders &out)
{
    for (auto place = cell.workers.begin(); place != cell.workers.end();) {
        worker_state &worker = place->second;
        const bool idle = !worker.pollInFlight && !worker.fenceInFlight;
        const bool over = worker.unansweredPolls > 0 && now > worker.leasesExpiredAt;
        const bool left = !worker.listed && worker.entry.draining && worker.refused;
        if ((over || left) && (!worker.runs.empty() || !worker.reconciled)) {
            ++cell.counters.lapsedWorkers;
            releaseAllRuns(cell, worker, now, out);
        }
        if (idle && !worker.listed && worker.runs.empty() && (worker.reconciled || worker.fenced)) {
            recordChange(cell, workerListChange, false);
            place = cell.workers.erase(place);
            continue;
        }
        if (worker.needsFence && !worker.fenceInFlight
            && (worker.unansweredPolls == 0 || now >= worker.nextPollAt)) {
            worker.fenceCount = ++cell.fences;
            orderLook(cell, worker, now, true, out);
        } else if (idle && now >= worker.nextPollAt) {
            orderLook(cell, worker, now, false, out);
        }
        ++place;
    }
}

headroom_map roomsNow(scheduler &cell, timestamp now)
{
    headroom_map rooms;
    for (auto &[id, worker] : cell.workers) {
        if (isUsable(worker, now) && worker.clock != 0) {
            rooms.emplace(id, worker_headroom {&worker, freeCapacity(worker)});
        }
    }
    return rooms;
}

bool isSettled(const scheduler &cell)
{
    return std::all_of(cell.workers.begin(), cell.workers.end(),
                       [](const auto &entry) { return entry.second.reconciled; });
}

/// Keeps the rooms that are claimed for gangs from all others.
void keepClaims(const std::vector<waiting_step> &waiting, headroom_map &rooms, timestamp now)
{
    for (const waiting_step &entry : waiting) {
        const step_state &step = stepState(entry);
        if (now >= step.reservedUntil) {
            continue;
        }
        for (const auto &[id, claim] : step.claims) {
            const auto room = rooms.find(id);
            if (room != rooms.end()) {
                room->second.free = room->second.free - claim;
            }
        }
    }
}

/// Gives the step its own claims back, to be planned with.
void openOwnClaims(const waiting_step &waiting, headroom_map &rooms, timestamp now)
{
    step_state &step = stepState(waiting);
    if (now < step.reservedUntil) {
        for (const auto &[id, claim] : step.claims) {
            const auto room = rooms.find(id);
            if (room != rooms.end()) {
                room->second.free = room->second.free + claim;
            }
        }
    }
}

/// The tasks of the step that may be started now; empty for a gang that is not whole.
std::vector<int> waitingTasks(const step_spec &spec, const step_state &step)
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
        waitingTasks(stepOf(job, index), occurrence.steps[static_cast<std::size_t>(index)]);
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

/// Creates the occurrences that are due. Returns whether more are to come.
bool openOccurrences(job_state &job, timestamp now)
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

std::vector<waiting_step> collectWaiting(scheduler &cell, timestamp now)
{
    std::vector<waiting_step> found;
    const bool reconciled = isSettled(cell);
    for (auto place = cell.runnableJobs.begin(); place != cell.runnableJobs.end();) {
        job_state *job = findJob(cell, *place);
        if (job == nullptr || job->finalPhase) {
            place = cell.runnableJobs.erase(place);
            continue;
        }
        const std::size_t before = found.size();
        bool more = openOccurrences(*job, now);
        if (job->restored && !reconciled) {
            ++place;
            continue;
        }
        for (auto &[number, occurrence] : job->occurrences) {
            for (int step = 0; step < static_cast<int>(job->spec.steps.size()); ++step) {
                if (!occurrence.completed && isStepReady(*job, occurrence, step)) {
                    collectStep(*job, number, occurrence, step, now, found);
                }
            }
        }
        place = found.size() == before && !more ? cell.runnableJobs.erase(place) : std::next(place);
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
               worker_headroom &room, timestamp now, orders &out)
{
    step_state &step = stepState(waiting);
    task_state &task = step.tasks[static_cast<std::size_t>(index)];
    worker_state &worker = *room.worker;
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
    room.free = room.free - reservedDemand(stepSpec(waiting));
    worker.leasesExpiredAt =
        std::max(worker.leasesExpiredAt, latestLeaseExpiry(cell.settings.lease, now));
    ++cell.counters.starts;
    const auto advice = step.advice.find(worker.entry.id);
    out.starts.push_back({id, attempt, worker.entry.id, waiting.job->spec.payload,
                          advice == step.advice.end() ? "" : advice->second.ticket, task.checkpoint,
                          workerClock(worker, now) + cell.settings.lease.longest, task.token});
}

void startGang(scheduler &cell, const waiting_step &waiting, const placement_plan &plan,
               headroom_map &rooms, timestamp now, orders &out)
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
    for (std::size_t index = 0; index < waiting.tasks.size(); ++index) {
        startTask(cell, waiting, waiting.tasks[index], step.gangAttempt,
                  rooms.at(plan.workers[index]), now, out);
    }
}

void startIndependent(scheduler &cell, const waiting_step &waiting, const placement_plan &plan,
                      headroom_map &rooms, timestamp now, orders &out)
{
    const step_state &step = stepState(waiting);
    for (std::size_t index = 0; index < plan.workers.size(); ++index) {
        const std::string &id = plan.workers[index];
        worker_headroom &room = rooms.at(id);
        const auto advice = step.advice.find(id);
        const bool ticket = !waiting.job->policy.needsAdvice
            || (advice != step.advice.end() && advice->second.validUntil > now + ticketMargin);
        const int task = waiting.tasks[index];
        if (ticket) {
            const int attempt =
                nextAttempt(cell, *waiting.job, step.tasks[static_cast<std::size_t>(task)]);
            startTask(cell, waiting, task, attempt, room, now, out);
        } else {
            room.free =
                room.free - reservedDemand(stepSpec(waiting)); // kept until the ticket comes
        }
    }
}

void keepUrgentShare(headroom_map &rooms)
{
    for (auto &[id, room] : rooms) {
        room.free.cpuMilli -= room.worker->entry.capacity.cpuMilli / urgentShareDivisor;
    }
}

/// A gang that does not fit: others make room for it, or it keeps what is free on some workers.
void waitWithGang(scheduler &cell, const waiting_step &waiting, headroom_map &rooms, timestamp now,
                  orders &out)
{
    step_state &step = stepState(waiting);
    const std::vector<std::string> chosen = preemptForGang(cell, waiting, rooms, now, out);
    if (now >= step.reservedUntil) {
        reserveForGang(waiting, waiting.tasks.size(), rooms);
        return;
    }
    for (const auto &[id, claim] : step.claims) {
        const auto room = rooms.find(id);
        if (room != rooms.end()) {
            room->second.free = room->second.free - claim;
        }
    }
    if (!chosen.empty() && waiting.job->policy.needsAdvice && !step.advicePending) {
        step.advicePending = true;
        ++cell.counters.adviceCalls;
        out.advice.push_back(makeAdviceOrder(waiting, chosen));
    }
}

void placeStep(scheduler &cell, const waiting_step &waiting, headroom_map &rooms, timestamp now,
               orders &out)
{
    const bool gang = stepSpec(waiting).gang;
    openOwnClaims(waiting, rooms, now);
    const placement_plan plan = planStep(waiting, rooms, now);
    std::vector<std::string> ask = workersToAsk(cell, waiting, plan, rooms, now);
    if (!ask.empty()) {
        stepState(waiting).advicePending = true;
        ++cell.counters.adviceCalls;
        out.advice.push_back(makeAdviceOrder(waiting, std::move(ask)));
    }
    if (!waiting.job->stored) {
        return;
    }
    if (!gang) {
        startIndependent(cell, waiting, plan, rooms, now, out);
    } else if (plan.unplaced == 0 && plan.ticketsValid) {
        startGang(cell, waiting, plan, rooms, now, out);
        stepState(waiting).reservedUntil = distantPast;
    } else if (plan.unplaced == 0) {
        for (const std::string &id : plan.workers) {
            rooms.at(id).free = rooms.at(id).free - reservedDemand(stepSpec(waiting));
        }
    } else {
        waitWithGang(cell, waiting, rooms, now, out);
    }
}

/// Whether no worker has room for one task of the step. Gangs are never hopeless: they may keep
/// room or have others stopped.
bool isHopeless(const waiting_step &waiting, const headroom_limits &limits)
{
    const step_spec &spec = stepSpec(waiting);
    const auto most = limits.find(waiting.job->policy.service);
    return !spec.gang && (most == limits.end() || !fits(reservedDemand(spec), most->second));
}

} // namespace

void placeWaiting(scheduler &cell, timestamp now, orders &out)
{
    if (!cell.needsPlacement || cell.runnableJobs.empty()) {
        return;
    }
    cell.needsPlacement = false;
    const std::vector<waiting_step> waiting = collectWaiting(cell, now);
    if (waiting.empty()) {
        return;
    }
    headroom_map rooms = roomsNow(cell, now);
    keepClaims(waiting, rooms, now);
    headroom_limits limits = maxHeadroomByService(rooms);
    bool urgentShareKept = false;
    for (const waiting_step &step : waiting) {
        if (!urgentShareKept && (step.late || step.priority > 0)) {
            keepUrgentShare(rooms);
            limits = maxHeadroomByService(rooms);
            urgentShareKept = true;
        }
        if (!isHopeless(step, limits)) {
            placeStep(cell, step, rooms, now, out);
        }
    }
}

void decide(scheduler &cell, timestamp now, orders &out)
{
    lookAtWorkers(cell, now, out);
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
