#include "testing/worker_fake.h"

#include <algorithm>

namespace bramleygrade {

namespace {

void endTask(worker_fake &worker, fake_task &task, task_phase phase, timestamp at)
{
    if (task.phase == task_phase::running) {
        ++worker.version;
        task.phase = phase;
        task.endedAt = at;
    }
}

bool isOvercommitted(const worker_fake &worker)
{
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;
    for (const auto &[key, task] : worker.tasks) {
        if (task.phase == task_phase::running) {
            cpu += task.order.cpu_millis;
            memory += task.order.memory_mb;
            accelerators += task.order.accelerators;
        }
    }
    return cpu > worker.info.cpu_millis || memory > worker.info.memory_mb
        || accelerators > worker.info.accelerators;
}

} // namespace

std::string taskKey(const task_order &order)
{
    return order.job + "/" + std::to_string(order.task) + "/" + std::to_string(order.incarnation);
}

void advanceTime(worker_fake &worker, timestamp now)
{
    for (auto &[key, task] : worker.tasks) {
        const timestamp finish = task.order.run_time_ms > 0
            ? task.startedAt + task.order.run_time_ms * millisecond
            : distantFuture;
        if (finish <= std::min(now, task.leaseUntil)) {
            endTask(worker, task, task_phase::finished, finish);
        } else if (task.leaseUntil <= now) {
            endTask(worker, task, task_phase::stopped, task.leaseUntil);
        }
    }
}

bool startTaskOn(worker_fake &worker, const task_order &order, timestamp now)
{
    advanceTime(worker, now);
    const std::string key = taskKey(order);
    if (now >= order.start_by || worker.failsTasks) {
        return false;
    }
    if (worker.tasks.count(key) > 0) {
        return true; // Repeated order.
    }
    fake_task task;
    task.order = order;
    task.startedAt = now;
    task.leaseUntil = order.lease_until;
    worker.tasks.emplace(key, std::move(task));
    ++worker.version;
    worker.overcommits += isOvercommitted(worker) ? 1 : 0;
    return true;
}

void stopTaskOn(worker_fake &worker, const task_order &order, timestamp now)
{
    advanceTime(worker, now);
    const auto found = worker.tasks.find(taskKey(order));
    if (found != worker.tasks.end()) {
        endTask(worker, found->second, task_phase::stopped, now);
    }
}

void checkpointTaskOn(worker_fake &worker, const task_order &order, timestamp now)
{
    advanceTime(worker, now);
    const auto found = worker.tasks.find(taskKey(order));
    if (found != worker.tasks.end()) {
        endTask(worker, found->second, task_phase::checkpointed, now);
    }
}

void renewLeases(worker_fake &worker, timestamp leaseUntil, timestamp now)
{
    advanceTime(worker, now);
    for (auto &[key, task] : worker.tasks) {
        if (task.phase == task_phase::running) {
            task.leaseUntil = std::max(task.leaseUntil, leaseUntil);
        }
    }
}

void forgetTaskOn(worker_fake &worker, const task_order &order, timestamp now)
{
    advanceTime(worker, now);
    const auto found = worker.tasks.find(taskKey(order));
    if (found != worker.tasks.end() && found->second.phase != task_phase::running) {
        worker.forgottenTasks.push_back(found->second);
        worker.tasks.erase(found);
        ++worker.version;
    }
}

worker_report makeReport(const worker_fake &worker, int activeRequests, std::uint64_t knownVersion)
{
    worker_report report;
    report.active_requests = activeRequests;
    report.is_leaving = worker.isLeaving;
    report.version = worker.version;
    report.is_unchanged = knownVersion == worker.version;
    if (report.is_unchanged) {
        return report;
    }
    for (const auto &[key, task] : worker.tasks) {
        auto reported = std::make_unique<worker_task>();
        reported->job = task.order.job;
        reported->task = task.order.task;
        reported->incarnation = task.order.incarnation;
        reported->phase = task.phase;
        reported->cpu_millis = task.order.cpu_millis;
        reported->memory_mb = task.order.memory_mb;
        reported->accelerators = task.order.accelerators;
        reported->used_cpu_millis = task.order.cpu_millis * worker.usedPercent / 100;
        reported->used_memory_mb = task.order.memory_mb * worker.usedPercent / 100;
        reported->checkpointable = task.order.checkpointable;
        reported->service = task.order.service;
        report.tasks.push_back(std::move(reported));
    }
    return report;
}

} // namespace bramleygrade
