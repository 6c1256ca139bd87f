#include "testing/cell/simulated_worker.h"

#include <algorithm>

namespace bramleygrade::testing {

namespace {

using cell::end_kind;
using cell::order_outcome;

/// Longest lease that a worker grants.
constexpr microseconds maxLease = 6 * second;
/// Ends that one report holds at most.
constexpr std::size_t maxEndsPerReport = 500;
/// Time from a stop order to the end of the run.
constexpr microseconds stopDuration = 400 * millisecond;

std::string formatTaskId(const cell::task_id &id)
{
    return id.job + "." + std::to_string(id.occurrence) + "." + std::to_string(id.step) + "."
        + std::to_string(id.index);
}

void addViolation(execution_record &record, const std::string &rule, const cell::task_id &task,
                  timestamp now)
{
    record.violations.push_back(rule + " " + formatTaskId(task) + " at "
                                + std::to_string(now / millisecond) + " ms");
}

/// Records a successful end; that of one member of a gang counts for the whole gang.
void recordDone(execution_record &record, const cell::task_id &task)
{
    const cell::step_spec &step =
        record.jobs.at(task.job).steps[static_cast<std::size_t>(task.step)];
    record.doneTasks.insert(task);
    for (int index = 0; step.gang && index < step.count; ++index) {
        record.doneTasks.insert({task.job, task.occurrence, task.step, index});
    }
}

void recordAcknowledged(execution_record &record, const cell::reported_end &end)
{
    if (end.how == end_kind::done) {
        record.acknowledgedDone.insert(end.task);
    } else if (end.how == end_kind::failed) {
        record.acknowledgedFailures[end.task].insert(end.attempt);
    }
}

const cell::step_spec &findStep(const execution_record &record, const cell::task_id &task)
{
    return record.jobs.at(task.job).steps[static_cast<std::size_t>(task.step)];
}

/// Adds `sign` times the demand of the task to what its team uses.
void addTeamUsage(execution_record &record, const cell::task_id &task, std::int64_t sign)
{
    const auto job = record.jobs.find(task.job);
    if (job == record.jobs.end() || job->second.team.empty()) {
        return;
    }
    const cell::resources demand = findStep(record, task).demand;
    cell::resources &used = record.usedByTeam[job->second.team];
    used = used
        + cell::resources {sign * demand.cpuMilli, sign * demand.memoryMb,
                           sign * demand.accelerators};
}

void endRun(simulated_worker &worker, execution_record &record, const cell::task_id &task,
            end_kind how)
{
    const auto found = worker.runs.find(task);
    const cell::reported_end end {++worker.lastEndSequence, task, found->second.attempt, how, ""};
    if (end.sequence <= worker.acknowledged) {
        recordAcknowledged(record, end);
    } else {
        worker.ended.push_back(end);
    }
    worker.closedAttempt[task] = std::max(worker.closedAttempt[task], found->second.attempt);
    if (how == end_kind::done) {
        recordDone(record, task);
    }
    worker.runs.erase(found);
    record.runningOn[task].erase(worker.entry.id);
    addTeamUsage(record, task, -1);
}

int percentDone(const simulated_run &run, timestamp now)
{
    return static_cast<int>(100 * (now - run.startedAt) / (run.endsAt - run.startedAt));
}

/// Returns the largest amounts that an order sent at `sentAt` may rely on.
cell::resources countedCapacity(const simulated_worker &worker, timestamp sentAt)
{
    cell::resources counted = capacityOf(worker);
    for (const former_capacity &former : worker.formerCapacities) {
        if (sentAt <= former.countsUntil) {
            counted.cpuMilli = std::max(counted.cpuMilli, former.amount.cpuMilli);
            counted.memoryMb = std::max(counted.memoryMb, former.amount.memoryMb);
            counted.accelerators = std::max(counted.accelerators, former.amount.accelerators);
        }
    }
    return counted;
}

/// Returns the demand of the worker's runs, including those that are being stopped, and of the
/// task.
cell::resources demandWith(const simulated_worker &worker, const cell::step_spec &step)
{
    cell::resources used = cell::reservedDemand(step);
    for (const auto &[id, run] : worker.runs) {
        used = used + run.demand;
    }
    return used;
}

void checkStart(const simulated_worker &worker, execution_record &record,
                const cell::start_order &order, timestamp now, timestamp sentAt)
{
    const cell::task_id &task = order.task;
    if (record.jobs.count(task.job) == 0) {
        addViolation(record, "start of a task whose job was never submitted:", task, now);
        return;
    }
    if (!cell::fits(demandWith(worker, findStep(record, task)), countedCapacity(worker, sentAt))) {
        addViolation(record, "start exceeds the capacity of " + worker.entry.id + ":", task, now);
    }
    if (!record.runningOn[task].empty()) {
        addViolation(record, "start while another run of the task is active:", task, now);
    }
    if (record.acknowledgedDone.count(task) > 0) {
        addViolation(record, "start after the successful end of the task was acknowledged:", task,
                     now);
    }
    const auto failures = record.acknowledgedFailures.find(task);
    if (failures != record.acknowledgedFailures.end()
        && static_cast<int>(failures->second.size()) >= record.maxAttempts.at(task.job)) {
        addViolation(record, "start after all attempts of the task failed:", task, now);
    }
    if (record.behaviour[task].crashesWorker && record.crashes[task] >= 3
        && ++record.startsAfterCrashes[task] >= 3) {
        addViolation(record, "third start after three workers crashed:", task, now);
    }
    for (const int preceding : findStep(record, task).after) {
        const int count = record.jobs.at(task.job).steps[static_cast<std::size_t>(preceding)].count;
        for (int index = 0; index < count; ++index) {
            if (record.doneTasks.count({task.job, task.occurrence, preceding, index}) == 0) {
                addViolation(record, "start before all tasks of a preceding step were done:", task,
                             now);
                return;
            }
        }
    }
}

/// Returns the highest caps among the versions that may be in force for an order sent at `sentAt`;
/// 0: no limit.
cell::resources highestCap(const execution_record &record, const std::string &team,
                           timestamp sentAt)
{
    cell::resources highest;
    for (std::size_t index = 0; index < record.capVersions.size(); ++index) {
        const cap_version &version = record.capVersions[index];
        const bool isLast = index + 1 == record.capVersions.size();
        const bool mayBeInForce = version.storedAt <= sentAt
            && (isLast || record.capVersions[index + 1].storedAt + configAdoptionTime >= sentAt);
        const auto cap = version.caps.find(team);
        if (mayBeInForce && cap != version.caps.end()) {
            highest.cpuMilli = std::max(highest.cpuMilli, cap->second.cpuMilli);
            highest.memoryMb = std::max(highest.memoryMb, cap->second.memoryMb);
        }
    }
    return highest;
}

/// Checks that the start, which is counted already, takes its team past 1.1 times its cap by at
/// most one task.
void checkCap(execution_record &record, const cell::start_order &order, timestamp now,
              timestamp sentAt)
{
    const std::string &team = record.jobs.at(order.task.job).team;
    const cell::resources cap = highestCap(record, team, sentAt);
    if (cap == cell::resources {}) {
        return;
    }
    const cell::resources demand = findStep(record, order.task).demand;
    const cell::resources used = record.usedByTeam[team];
    const auto isExceeded = [](std::int64_t amount, std::int64_t task, std::int64_t limit) {
        return limit > 0 && 10 * (amount - task) > 11 * limit;
    };
    ++record.cappedStarts;
    record.startsNearCap += 5 * used.cpuMilli > 4 * cap.cpuMilli ? 1 : 0;
    if (isExceeded(used.cpuMilli, demand.cpuMilli, cap.cpuMilli)
        || isExceeded(used.memoryMb, demand.memoryMb, cap.memoryMb)) {
        addViolation(record,
                     "start takes " + team + " to cpu=" + std::to_string(used.cpuMilli)
                         + " memMb=" + std::to_string(used.memoryMb)
                         + ", past its cap cpu=" + std::to_string(cap.cpuMilli)
                         + " memMb=" + std::to_string(cap.memoryMb) + ":",
                     order.task, now);
    }
}

void acknowledge(simulated_worker &worker, execution_record &record, std::int64_t until)
{
    while (!worker.ended.empty() && worker.ended.front().sequence <= until) {
        recordAcknowledged(record, worker.ended.front());
        worker.ended.erase(worker.ended.begin());
    }
    worker.acknowledged = std::max(worker.acknowledged, until);
}

/// Extends the worker's lease to a time on its clock, up to the longest lease.
void extendLease(simulated_worker &worker, std::int64_t leaseUntil, timestamp now)
{
    worker.leaseUntil =
        std::max(worker.leaseUntil, std::min(worker.clockZero + leaseUntil, now + maxLease));
}

/// Returns true if `token` is stale; otherwise stores it as the highest token seen.
bool isFenced(simulated_worker &worker, std::int64_t token)
{
    if (token < worker.token) {
        return true;
    }
    worker.token = token;
    return false;
}

} // namespace

const cell::resources &capacityOf(const simulated_worker &worker)
{
    return worker.capacity ? *worker.capacity : worker.entry.capacity;
}

void advanceWorker(simulated_worker &worker, execution_record &record, timestamp now)
{
    const auto isDue = [&](const auto &entry) {
        return std::min(entry.second.endsAt, worker.leaseUntil) <= now;
    };
    if (std::none_of(worker.runs.begin(), worker.runs.end(), isDue)) {
        return;
    }
    std::vector<std::pair<timestamp, cell::task_id>> dueRuns;
    for (const auto &[task, run] : worker.runs) {
        dueRuns.emplace_back(std::min(run.endsAt, worker.leaseUntil), task);
    }
    std::sort(dueRuns.begin(), dueRuns.end());
    for (const auto &[when, task] : dueRuns) {
        if (when > now) {
            return;
        }
        const bool isLeaseExpired = worker.runs.at(task).endsAt > worker.leaseUntil;
        endRun(worker, record, task,
               isLeaseExpired ? end_kind::lease_lapsed : worker.runs.at(task).how);
    }
}

order_outcome startRun(simulated_worker &worker, execution_record &record,
                       const cell::start_order &order, timestamp now, timestamp sentAt)
{
    if (!worker.up) {
        return order_outcome::unanswered;
    }
    if (order.worker != worker.entry.id) {
        return order_outcome::refused_incarnation;
    }
    advanceWorker(worker, record, now);
    if (isFenced(worker, order.fencingToken)) {
        return order_outcome::refused_fence;
    }
    if (worker.clockZero + order.leaseUntil <= now) {
        return order_outcome::refused_expired;
    }
    const auto running = worker.runs.find(order.task);
    if (running != worker.runs.end() && running->second.attempt == order.attempt) {
        return order_outcome::accepted;
    }
    const auto closedAttempt = worker.closedAttempt.find(order.task);
    if (running != worker.runs.end()
        || (closedAttempt != worker.closedAttempt.end()
            && order.attempt <= closedAttempt->second)) {
        return order_outcome::refused_stale;
    }
    if (record.jobsWithAdvice.count(order.task.job) > 0) {
        const auto ticket = record.tickets.find(order.ticket);
        if (ticket == record.tickets.end() || ticket->second < now) {
            return order_outcome::refused_ticket;
        }
    }
    if (worker.guardsCapacity
        && !cell::fits(demandWith(worker, findStep(record, order.task)), capacityOf(worker))) {
        ++record.startsRefusedForCapacity;
        return order_outcome::refused_capacity;
    }
    checkStart(worker, record, order, now, std::min(sentAt, now));
    ++record.starts;
    record.begunJobs.insert(order.task.job);
    const task_behaviour &behaviour = record.behaviour[order.task];
    const bool fails = record.runCount[order.task]++ < behaviour.failingRuns;
    extendLease(worker, order.leaseUntil, now);
    worker.runs[order.task] = {order.attempt, now, now + behaviour.duration,
                               fails ? end_kind::failed : end_kind::done,
                               cell::reservedDemand(findStep(record, order.task))};
    record.runningOn[order.task].insert(worker.entry.id);
    addTeamUsage(record, order.task, 1);
    checkCap(record, order, now, std::min(sentAt, now));
    return order_outcome::accepted;
}

order_outcome stopRun(simulated_worker &worker, execution_record &record,
                      const cell::stop_order &order, timestamp now)
{
    if (!worker.up) {
        return order_outcome::unanswered;
    }
    if (order.worker != worker.entry.id) {
        return order_outcome::refused_incarnation;
    }
    advanceWorker(worker, record, now);
    if (isFenced(worker, order.fencingToken)) {
        return order_outcome::refused_fence;
    }
    worker.closedAttempt[order.task] = std::max(worker.closedAttempt[order.task], order.attempt);
    const auto running = worker.runs.find(order.task);
    if (running != worker.runs.end() && running->second.attempt <= order.attempt
        && running->second.endsAt > now + stopDuration) {
        running->second.endsAt = now + stopDuration;
        running->second.how = end_kind::stopped;
    }
    return order_outcome::accepted;
}

order_outcome pollWorker(simulated_worker &worker, execution_record &record,
                         const cell::poll_order &order, timestamp now, cell::worker_report &report)
{
    if (!worker.up) {
        return order_outcome::unanswered;
    }
    if (order.worker != worker.entry.id) {
        return order_outcome::refused_incarnation;
    }
    advanceWorker(worker, record, now);
    if (isFenced(worker, order.fencingToken)) {
        return order_outcome::refused_fence;
    }
    extendLease(worker, order.leaseUntil, now);
    acknowledge(worker, record, order.acknowledgedEnd);
    report.born = worker.born;
    report.workerClock = now - worker.clockZero;
    for (const auto &[task, run] : worker.runs) {
        report.running.push_back({task, run.attempt, "", percentDone(run, now)});
    }
    const std::size_t listed = std::min(worker.ended.size(), maxEndsPerReport);
    report.ended.assign(worker.ended.begin(),
                        worker.ended.begin() + static_cast<std::ptrdiff_t>(listed));
    return order_outcome::accepted;
}

void crashWorker(simulated_worker &worker, execution_record &record)
{
    for (const auto &[task, run] : worker.runs) {
        record.runningOn[task].erase(worker.entry.id);
        addTeamUsage(record, task, -1);
        ++record.crashes[task];
    }
    worker.runs.clear();
    worker.ended.clear();
    worker.up = false;
}

void restartWorker(simulated_worker &worker, std::int64_t born, timestamp now)
{
    simulated_worker next;
    next.entry = worker.entry;
    next.guardsCapacity = worker.guardsCapacity;
    next.formerCapacities = worker.formerCapacities;
    next.formerCapacities.push_back({capacityOf(worker), now});
    next.capacity = capacityOf(worker);
    next.born = born;
    next.clockZero = now;
    worker = std::move(next);
}

} // namespace bramleygrade::testing
