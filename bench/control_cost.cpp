/// Measures the control overhead per entry, with real decision cores in virtual time: messages,
/// bytes, table operations, worker calls and processor time, and their growth with entries, workers
/// and tasks.

#include <ctime>
#include <iomanip>
#include <iostream>

#include "testing/cell_fake.h"

namespace bramleygrade {

namespace {

struct cell_size
{
    int entries;
    int workers;
    int tasks;
};

double processSeconds()
{
    timespec used {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

void applyDocument(cell_fake &cell)
{
    service_document document;
    document.service = "booking";
    document.team = "team";
    document.quota_cpu_millis = 1'000'000'000;
    document.quota_memory_mb = 1'000'000'000;
    applyDocumentForAllDomains(cell, std::move(document));
}

void submitJob(cell_fake &cell, int number, int tasks)
{
    operator_request request;
    request.handle = 100 + static_cast<std::uint64_t>(number);
    request.action = operator_action::submit;
    request.job = std::make_unique<job_specification>();
    request.job->id = "job-" + std::to_string(number);
    request.job->service = "booking";
    request.job->task_count = tasks;
    request.job->cpu_millis = 500;
    request.job->memory_mb = 500;
    cell.deliver(0, request);
}

void measure(const cell_size &size)
{
    constexpr microseconds warmUpTime = 40 * second;
    constexpr microseconds measurementTime = 20 * second;
    cell_options options;
    options.entries = size.entries;
    options.racks = size.workers / 8;
    options.workersPerRack = 8;
    options.tickInterval = 10 * millisecond;
    cell_fake cell(options);
    for (int index = 0; index < size.entries; ++index) {
        cell.startEntry(index);
    }
    cell.at(historyStart + 10 * second, [&cell] { applyDocument(cell); });
    constexpr int tasksPerJob = 50;
    for (int number = 0; number < size.tasks / tasksPerJob; ++number) {
        cell.at(historyStart + 25 * second + microseconds {number} * 50 * millisecond,
                [&cell, number] { submitJob(cell, number, tasksPerJob); });
    }
    cell.run(historyStart + warmUpTime);
    const cell_counters before = cell.counters;
    const double cpuBefore = processSeconds();
    cell.run(historyStart + warmUpTime + measurementTime);
    const double cpu = processSeconds() - cpuBefore;
    int running = 0;
    for (const cell_worker &worker : cell.workers()) {
        running += static_cast<int>(worker.tasks.tasks.size());
    }
    const double seconds = static_cast<double>(measurementTime) / static_cast<double>(second);
    const double entrySeconds = seconds * size.entries;
    const auto perEntry = [&](std::uint64_t now, std::uint64_t then) {
        return static_cast<double>(now - then) / entrySeconds;
    };
    const cell_counters &now = cell.counters;
    std::cout << std::fixed << std::setprecision(2) << std::setw(8) << size.entries << std::setw(9)
              << size.workers << std::setw(9) << running << std::setw(12)
              << perEntry(now.peerMessages, before.peerMessages) << std::setw(12)
              << perEntry(now.peerBytes, before.peerBytes) << std::setw(12)
              << perEntry(now.tableReads + now.tableWrites, before.tableReads + before.tableWrites)
              << std::setw(12) << perEntry(now.workerCalls, before.workerCalls) << std::setw(12)
              << perEntry(now.workerBytes, before.workerBytes) << std::setw(12)
              << 100 * cpu / entrySeconds << std::endl;
}

} // namespace

} // namespace bramleygrade

int main()
{
    std::cout << " entries  workers    tasks  messages/s  peer byte/s    table/s     calls/s "
                 "worker byte/s  % of core\n";
    const bramleygrade::cell_size sizes[] = {
        {7, 48, 0},  {14, 48, 0},  {7, 96, 0},   {7, 192, 0},    {7, 384, 0},
        {7, 680, 0}, {14, 680, 0}, {7, 96, 800}, {7, 192, 1600}, {7, 384, 3200},
    };
    for (const bramleygrade::cell_size &size : sizes) {
        bramleygrade::measure(size);
    }
    return 0;
}
