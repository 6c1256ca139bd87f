#include "core/task_messages.h"

#include "core/task_owner.h"

namespace bramleygrade {

task_report makeTaskReport(const worker_view &worker, const task_commitment &task,
                           placement_result result)
{
    task_report report;
    report.job = task.job;
    report.task = task.task;
    report.incarnation = task.incarnation;
    report.service = task.service;
    report.shard = worker.shard;
    report.worker = worker.info.name;
    report.result = result;
    report.used_cpu_millis = task.usedCpuMillis;
    report.used_memory_mb = task.usedMemoryMb;
    report.committed_cpu_millis = task.committed.cpuMillis;
    report.committed_memory_mb = task.committed.memoryMb;
    report.accelerators = task.committed.accelerators;
    return report;
}

void reportTask(entry_state &state, const worker_view &worker, const task_commitment &task,
                placement_result result, step_context &context)
{
    task_report report = makeTaskReport(worker, task, result);
    report.load = std::make_unique<shard_load>(computeShardLoad(state, worker.shard));
    sendToOwner(state, jobHomeOf(task.service), std::move(report), context);
}

void reportTask(entry_state &state, const worker_view &worker, task_commitment &task,
                placement_result result, step_context &context)
{
    task.reportedAt = context.now;
    reportTask(state, worker, static_cast<const task_commitment &>(task), result, context);
}

} // namespace bramleygrade
