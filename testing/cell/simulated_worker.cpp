#include "testing/cell/simulated_worker.h"

#include <algorithm>

namespace bramleygrade::testing {

namespace {

using cell::end_kind;
using cell::order_outcome;

/// Longest lease that a worker grants.
constexpr microseconds longestLease = 6 * second;
/// Time that a stop takes.
constexpr microseconds stopTime = 400 * millisecond;

std::string nameOf(const cell::task_id &id)
{
    return id.job + "." + std::to_string(id.occurrence) + "." + std::to_string(id.step) + "."
        + std::to_string(id.index);
}

void report(run_ledger &ledger, const std::string &rule, const cell::task_id &task, timestamp now)
{
    ledger.faults.push_back(rule + " " + nameOf(task) + " at " + std::to_string(now / millisecond)
                            + " ms");
}

/// One end as done of a member of a gang stands for all of them.
void noteDone(run_ledger &ledger, const cell::task_id &task)
{
    const cell::step_spec &step =
        ledger.jobs.at(task.job).steps[static_cast<std::size_t>(task.step)];
    ledger.doneEnded.insert(task);
    for (int index = 0; step.gang && index < step.count; ++index) {
        ledger.doneEnded.insert({task.job, task.occurrence, task.step, index});
    }
}

void endRun(worker_double &worker, run_ledger &ledger, const cell::task_id &task, end_kind how)
{
    const auto found = worker.runs.find(task);
    worker.ended.push_back({++worker.lastEnd, task, found->second.attempt, how, ""});
    worker.closed[task] = std::max(worker.closed[task], found->second.attempt);
    if (how == end_kind::done) {
        noteDone(ledger, task);
    }
    worker.runs.erase(found);
    ledger.runningOn[task].erase(worker.entry.id);
}

const cell::step_spec &specOf(const run_ledger &ledger, const cell::task_id &task)
{
    return ledger.jobs.at(task.job).steps[static_cast<std::size_t>(task.step)];
}

void checkStart(const worker_double &worker, run_ledger &ledger, const cell::start_order &order,
                timestamp now)
{
    const cell::task_id &task = order.task;
    if (ledger.jobs.count(task.job) == 0) {
        report(ledger, "started what nobody submitted", task, now);
        return;
    }
    cell::resources used = specOf(ledger, task).demand;
    for (const auto &[id, run] : worker.runs) {
        used = used + run.demand;
    }
    if (!cell::fits(used, worker.entry.capacity)) {
        report(ledger, "over capacity on " + worker.entry.id + ":", task, now);
    }
    if (!ledger.runningOn[task].empty()) {
        report(ledger, "two runs at the same time:", task, now);
    }
    if (ledger.doneAcknowledged.count(task) > 0) {
        report(ledger, "started after an acknowledged end as done:", task, now);
    }
    const auto failures = ledger.failuresAcknowledged.find(task);
    if (failures != ledger.failuresAcknowledged.end()
        && static_cast<int>(failures->second.size()) >= ledger.maxAttempts.at(task.job)) {
        report(ledger, "started after all attempts had failed:", task, now);
    }
    for (const int before : specOf(ledger, task).after) {
        const int count = ledger.jobs.at(task.job).steps[static_cast<std::size_t>(before)].count;
        for (int index = 0; index < count; ++index) {
            if (ledger.doneEnded.count({task.job, task.occurrence, before, index}) == 0) {
                report(ledger, "started before an earlier step was done:", task, now);
                return;
            }
        }
    }
}

void acknowledge(worker_double &worker, run_ledger &ledger, std::int64_t until)
{
    while (!worker.ended.empty() && worker.ended.front().sequence <= until) {
        const cell::reported_end &end = worker.ended.front();
        if (end.how == end_kind::done) {
            ledger.doneAcknowledged.insert(end.task);
        } else if (end.how == end_kind::failed) {
            ledger.failuresAcknowledged[end.task].insert(end.attempt);
        }
        worker.ended.erase(worker.ended.begin());
    }
    worker.acknowledged = std::max(worker.acknowledged, until);
}

bool isFenced(worker_double &worker, std::int64_t token)
{
    if (token < worker.token) {
        return true;
    }
    worker.token = token;
    return false;
}

} // namespace

void advance(worker_double &worker, run_ledger &ledger, timestamp now)
{
    std::vector<std::pair<timestamp, cell::task_id>> over;
    for (const auto &[task, run] : worker.runs) {
        over.emplace_back(std::min(run.endsAt, worker.leaseUntil), task);
    }
    std::sort(over.begin(), over.end());
    for (const auto &[when, task] : over) {
        if (when > now) {
            return;
        }
        const bool lapsed = worker.runs.at(task).endsAt > worker.leaseUntil;
        endRun(worker, ledger, task, lapsed ? end_kind::lease_lapsed : worker.runs.at(task).how);
    }
}

order_outcome startRun(worker_double &worker, run_ledger &ledger, const cell::start_order &order,
                       timestamp now)
{
    if (!worker.up) {
        return order_outcome::unanswered;
    }
    if (order.worker != worker.entry.id) {
        return order_outcome::refused_incarnation;
    }
    advance(worker, ledger, now);
    if (isFenced(worker, order.fencingToken)) {
        return order_outcome::refused_fence;
    }
    if (order.leaseUntil <= now) {
        return order_outcome::refused_expired;
    }
    const auto running = worker.runs.find(order.task);
    if (running != worker.runs.end() && running->second.attempt == order.attempt) {
        return order_outcome::accepted;
    }
    const auto closed = worker.closed.find(order.task);
    if (running != worker.runs.end()
        || (closed != worker.closed.end() && order.attempt <= closed->second)) {
        return order_outcome::refused_stale;
    }
    checkStart(worker, ledger, order, now);
    ++ledger.starts;
    const task_truth &truth = ledger.truth[order.task];
    const bool fails = ledger.runsSoFar[order.task]++ < truth.failingRuns;
    worker.leaseUntil = std::max(worker.leaseUntil, std::min(order.leaseUntil, now + longestLease));
    worker.runs[order.task] = {order.attempt, now, now + truth.work,
                               fails ? end_kind::failed : end_kind::done,
                               specOf(ledger, order.task).demand};
    ledger.runningOn[order.task].insert(worker.entry.id);
    return order_outcome::accepted;
}

order_outcome stopRun(worker_double &worker, run_ledger &ledger, const cell::stop_order &order,
                      timestamp now)
{
    if (!worker.up) {
        return order_outcome::unanswered;
    }
    if (order.worker != worker.entry.id) {
        return order_outcome::refused_incarnation;
    }
    advance(worker, ledger, now);
    if (isFenced(worker, order.fencingToken)) {
        return order_outcome::refused_fence;
    }
    worker.closed[order.task] = std::max(worker.closed[order.task], order.attempt);
    const auto running = worker.runs.find(order.task);
    if (running != worker.runs.end() && running->second.attempt <= order.attempt
        && running->second.endsAt > now + stopTime) {
        running->second.endsAt = now + stopTime;
        running->second.how = end_kind::stopped;
    }
    return order_outcome::accepted;
}

order_outcome lookAt(worker_double &worker, run_ledger &ledger, const cell::poll_order &order,
                     timestamp now, cell::worker_report &answer)
{
    if (!worker.up) {
        return order_outcome::unanswered;
    }
    if (order.worker != worker.entry.id) {
        return order_outcome::refused_incarnation;
    }
    advance(worker, ledger, now);
    if (isFenced(worker, order.fencingToken)) {
        return order_outcome::refused_fence;
    }
    worker.leaseUntil = std::max(worker.leaseUntil, std::min(order.leaseUntil, now + longestLease));
    acknowledge(worker, ledger, order.acknowledgedEnd);
    answer.workerClock = now;
    for (const auto &[task, run] : worker.runs) {
        answer.running.push_back({task, run.attempt, "", 50});
    }
    answer.ended = worker.ended;
    return order_outcome::accepted;
}

void crash(worker_double &worker, run_ledger &ledger)
{
    for (const auto &[task, run] : worker.runs) {
        ledger.runningOn[task].erase(worker.entry.id);
    }
    worker.runs.clear();
    worker.ended.clear();
    worker.up = false;
}

} // namespace bramleygrade::testing
