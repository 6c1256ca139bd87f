#pragma once

#include <map>
#include <string>
#include <vector>

#include "bramleygrade/values.h"

/// \file
/// In-memory worker that runs tasks under leases and records when each task ran. It accepts every
/// start that is in time, also beyond its resources, so that overcommitment by the scheduler is
/// recorded.

namespace bramleygrade {

struct fake_task
{
    task_order order;
    task_phase phase = task_phase::running;
    timestamp startedAt = 0;
    timestamp endedAt = 0;
    timestamp leaseUntil = 0;
};

struct worker_fake
{
    instance info;
    /// Keys have the form `job/task/incarnation`.
    std::map<std::string, fake_task> tasks;
    /// Tasks that were removed on request of their owner, kept for the final checks.
    std::vector<fake_task> forgottenTasks;
    bool failsTasks = false;
    bool isLeaving = false;
    /// Increases with every change of the tasks.
    std::uint64_t version = 1;
    /// Number of starts that exceeded the worker's resources.
    int overcommits = 0;
    /// Actual resource use of a task, in percent of its declared size.
    int usedPercent = 100;
};

std::string taskKey(const task_order &order);

/// Ends tasks that have finished or whose lease has expired by `now`.
void advanceTime(worker_fake &worker, timestamp now);

/// Returns false if the order is refused because its `start_by` has passed or `failsTasks` is set.
/// A repeated order has no effect.
bool startTaskOn(worker_fake &worker, const task_order &order, timestamp now);
void stopTaskOn(worker_fake &worker, const task_order &order, timestamp now);
void checkpointTaskOn(worker_fake &worker, const task_order &order, timestamp now);
void renewLeases(worker_fake &worker, timestamp leaseUntil, timestamp now);
void forgetTaskOn(worker_fake &worker, const task_order &order, timestamp now);

/// Omits the tasks if `knownVersion` is the current version.
worker_report makeReport(const worker_fake &worker, int activeRequests, std::uint64_t knownVersion);

} // namespace bramleygrade
