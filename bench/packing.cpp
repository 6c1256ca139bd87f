#include "bench/packing.h"

#include <algorithm>
#include <random>

#include "testing/cell_fake.h"

namespace bramleygrade {

namespace {

constexpr int workerCount = 48;
constexpr std::int64_t workerCpu = 16'000;
constexpr std::int64_t workerMemory = 32'000;

struct resource_amounts
{
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
};

/// Generates tasks that need a sixteenth to a half of a worker, some dominated by one resource,
/// until their CPU demand exceeds the capacity of all workers by about a third.
std::vector<resource_amounts> drawTasks(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<resource_amounts> tasks;
    std::int64_t cpu = 0;
    while (cpu < workerCount * workerCpu * 4 / 3) {
        resource_amounts task;
        task.cpu = 1000 + static_cast<std::int64_t>(random() % 7000);
        task.memory = 2000 + static_cast<std::int64_t>(random() % 14'000);
        cpu += task.cpu;
        tasks.push_back(task);
    }
    return tasks;
}

packing_row summarise(const std::string &load, const std::string &policy, std::int64_t cpu,
                      std::int64_t memory, int tasks)
{
    const auto percent = [](std::int64_t part, std::int64_t whole) {
        return 100.0 * static_cast<double>(part) / static_cast<double>(whole);
    };
    return {load, policy, percent(cpu, workerCount * workerCpu),
            percent(memory, workerCount * workerMemory), tasks};
}

packing_row placeGreedily(const std::string &load, const std::vector<resource_amounts> &tasks,
                          bool isBestFit)
{
    std::vector<resource_amounts> freeResources(workerCount, {workerCpu, workerMemory});
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    int placed = 0;
    for (const resource_amounts &task : tasks) {
        resource_amounts *chosen = nullptr;
        for (resource_amounts &worker : freeResources) {
            const bool fits = task.cpu <= worker.cpu && task.memory <= worker.memory;
            const auto freeScore = [](const resource_amounts &left) {
                return std::max(left.cpu * 2, left.memory);
            };
            if (fits
                && (chosen == nullptr || (isBestFit && freeScore(worker) < freeScore(*chosen)))) {
                chosen = &worker;
            }
        }
        if (chosen == nullptr) {
            continue;
        }
        chosen->cpu -= task.cpu;
        chosen->memory -= task.memory;
        cpu += task.cpu;
        memory += task.memory;
        ++placed;
    }
    return summarise(load, isBestFit ? "best fit" : "first fit", cpu, memory, placed);
}

void applyDocument(cell_fake &cell)
{
    service_document document;
    document.service = "booking";
    document.team = "sittplats";
    document.policy = placement_policy::best_packing;
    document.quota_cpu_millis = 100'000'000;
    document.quota_memory_mb = 100'000'000;
    applyDocumentForAllDomains(cell, std::move(document));
}

packing_row runScheduler(const std::string &load, const std::vector<resource_amounts> &tasks,
                         std::uint64_t seed)
{
    cell_options options;
    options.seed = seed;
    options.entries = 7;
    options.racks = workerCount / 8;
    options.workersPerRack = 8;
    cell_fake cell(options);
    for (cell_worker &worker : cell.workers()) {
        worker.tasks.info.cpu_millis = workerCpu;
        worker.tasks.info.memory_mb = workerMemory;
    }
    for (int index = 0; index < options.entries; ++index) {
        cell.startEntry(index);
    }
    cell.at(historyStart + 8 * second, [&cell] { applyDocument(cell); });
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        cell.at(historyStart + 25 * second + static_cast<timestamp>(index) * 20 * millisecond,
                [&cell, index, task = tasks[index]] {
                    operator_request request;
                    request.handle = 100 + index;
                    request.action = operator_action::submit;
                    request.job = std::make_unique<job_specification>();
                    request.job->id = "job-" + std::to_string(index);
                    request.job->service = "booking";
                    request.job->cpu_millis = task.cpu;
                    request.job->memory_mb = task.memory;
                    cell.deliver(static_cast<int>(index % 7), request);
                });
    }
    cell.run(historyStart + 60 * second);
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    int placed = 0;
    for (const cell_worker &worker : cell.workers()) {
        for (const auto &[key, task] : worker.tasks.tasks) {
            if (task.phase == task_phase::running) {
                cpu += task.order.cpu_millis;
                memory += task.order.memory_mb;
                ++placed;
            }
        }
    }
    return summarise(load, "ours", cpu, memory, placed);
}

} // namespace

std::vector<packing_row> measurePacking()
{
    std::vector<packing_row> rows;
    for (const std::uint64_t seed : {1, 2, 3}) {
        const std::vector<resource_amounts> tasks = drawTasks(seed);
        const std::string load = "mixed, seed " + std::to_string(seed);
        rows.push_back(runScheduler(load, tasks, seed));
        rows.push_back(placeGreedily(load, tasks, false));
        rows.push_back(placeGreedily(load, tasks, true));
    }
    return rows;
}

} // namespace bramleygrade
