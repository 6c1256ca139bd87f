#pragma once

#include <string>
#include <vector>

#include "testing/cell/cell_driver.h"

namespace bramleygrade::testing {

/// A scheduler with one queue and three workers of eight processors, all polled and reconciled
/// unless `reconcile` is false.
struct cell_fixture : cell_driver
{
    explicit cell_fixture(std::int64_t epoch = 1, bool reconcile = true)
    {
        policy.name = "queue";
        policy.service = "booking";
        policy.maxAttempts = 2;
        policy.slackFactor = 2;
        policy.latencyTarget = second;
        cell::cell_config config;
        config.version = 1;
        config.queues.push_back(policy);
        cell::beginEpoch(cell, epoch, now);
        cell::changeConfig(cell, config);
        for (int index = 1; index <= 3; ++index) {
            entries.push_back(makeWorker("worker-" + std::to_string(index)));
        }
        cell::changeWorkers(cell, entries, now);
        store();
        if (reconcile) {
            reconcileAll();
        }
    }

    static cell::worker_entry makeWorker(const std::string &id)
    {
        cell::worker_entry entry;
        entry.id = id;
        entry.service = "booking";
        entry.address = id + ":80";
        entry.rack = "rack-1";
        entry.capacity = {8'000, 16'000, 0};
        return entry;
    }

    static cell::step_spec makeStep(int count, std::int64_t cpu)
    {
        cell::step_spec step;
        step.count = count;
        step.demand = {cpu, 100, 0};
        step.estimate = second;
        return step;
    }

    static cell::job_spec makeJob(const std::string &id, std::vector<cell::step_spec> steps)
    {
        cell::job_spec spec;
        spec.id = id;
        spec.queue = "queue";
        spec.steps = std::move(steps);
        return spec;
    }

    cell::poll_order makePoll(const std::string &worker)
    {
        const auto found = cell.workers.find(worker);
        return {worker, cell::fencingToken(cell, found->second), 0, 0, 0, false};
    }

    /// Delivers a report of the worker, with the current time as its clock.
    cell::orders report(const std::string &worker, const cell::worker_report &answer)
    {
        cell::orders out;
        cell::worker_report stamped = answer;
        stamped.workerClock = now;
        cell::onReport(cell, makePoll(worker), stamped, now, now, out);
        return out;
    }

    /// Delivers a report with a single ended run.
    cell::orders end(const std::string &worker, std::int64_t sequence, const cell::task_id &task,
                     int attempt, cell::end_kind how)
    {
        cell::worker_report answer;
        answer.ended.push_back({sequence, task, attempt, how, ""});
        return report(worker, answer);
    }

    /// Polls all workers; each reports that it has no runs.
    void reconcileAll()
    {
        decide();
        for (const auto &entry : entries) {
            report(entry.id, {});
        }
        store(); // workers are used once the stored list has them
        decide();
    }

    /// Submits and stores the job, and returns the orders of the next decision.
    cell::orders run(const cell::job_spec &spec)
    {
        cell::acceptJob(cell, spec, policy, now);
        store();
        return decide();
    }

    /// Delivers the worker's acceptance of the start order.
    void confirm(const cell::start_order &order)
    {
        cell::orders out;
        cell::onStartOutcome(cell, order, cell::order_outcome::accepted, now, out);
    }

    cell::queue_policy policy;
    std::vector<cell::worker_entry> entries;
};

} // namespace bramleygrade::testing
