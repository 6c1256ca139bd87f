#pragma once

#include <map>
#include <string>
#include <vector>

#include "bramleygrade/values.h"

/// \file
/// A worker in memory: runs tasks under leases and keeps a ledger of what ran when. It takes every
/// start that is in time, also beyond its resources, so that a broken promise shows in the ledger.

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
    /// Key is `job/task/incarnation`.
    std::map<std::string, fake_task> tasks;
    /// Tasks that were forgotten by their owner; they stay for the verdict.
    std::vector<fake_task> forgottenTasks;
    bool failsTasks = false;
    bool isLeaving = false;
    /// Rises with every change of the tasks.
    std::uint64_t version = 1;
    /// Starts that took the worker beyond its resources.
    int overcommits = 0;
    /// Share of the declared size that a task really uses, in percent.
    int usedPercent = 100;
};

std::string taskKey(const task_order &order);

/// Ends tasks that are finished or whose lease has lapsed.
void advanceTime(worker_fake &worker, timestamp now);

/// False where the order is refused: too late, or the worker fails everything.
bool startTaskOn(worker_fake &worker, const task_order &order, timestamp now);
void stopTaskOn(worker_fake &worker, const task_order &order, timestamp now);
void checkpointTaskOn(worker_fake &worker, const task_order &order, timestamp now);
void renewLeases(worker_fake &worker, timestamp leaseUntil, timestamp now);
void forgetTaskOn(worker_fake &worker, const task_order &order, timestamp now);

/// Leaves the tasks out where the caller knows this version.
worker_report makeReport(const worker_fake &worker, int activeRequests, std::uint64_t knownVersion);

} // namespace bramleygrade
