#include "core/usage_estimate.h"

#include <algorithm>

namespace bramleygrade {

namespace {

/// Margin above the estimated usage, in percent of it.
constexpr std::int64_t marginPercent = 20;
/// Bounds of the committed resources, in percent of the declared resources.
constexpr std::int64_t minPercent = 25;
constexpr std::int64_t maxPercent = 400;
/// Number of reports before an estimate is used.
constexpr int minReports = 8;

} // namespace

void updateUsageEstimate(usage_estimate &usage, const job_specification &job,
                         const task_report &report)
{
    if (report.used_cpu_millis <= 0 || report.used_memory_mb <= 0) {
        return;
    }
    constexpr std::int64_t decayDivisor = 8;
    const auto updateEstimate = [](std::int64_t &estimate, std::int64_t observed,
                                   std::int64_t divisor) {
        // Rises at once and decays slowly: an estimate that is too low harms the task, one that is
        // too high only the packing.
        estimate = observed > estimate ? observed : estimate - (estimate - observed) / divisor;
    };
    updateEstimate(usage.cpuPercent,
                   report.used_cpu_millis * 100 / std::max<std::int64_t>(job.cpu_millis, 1),
                   decayDivisor);
    updateEstimate(usage.memoryPercent,
                   report.used_memory_mb * 100 / std::max<std::int64_t>(job.memory_mb, 1),
                   decayDivisor);
    ++usage.reportCount;
}

resources estimateResources(const job_registry &registry, const job_specification &job,
                            int failures)
{
    const auto usage = registry.usage.find(job.service);
    const bool isEstimateUsable =
        usage != registry.usage.end() && usage->second.reportCount >= minReports && failures == 0;
    if (!isEstimateUsable) {
        return {job.cpu_millis, job.memory_mb, job.accelerators};
    }
    const auto scale = [](std::int64_t declared, std::int64_t percent) {
        const std::int64_t committedPercent =
            std::clamp(percent + percent * marginPercent / 100, minPercent, maxPercent);
        return std::max<std::int64_t>(declared * committedPercent / 100, 1);
    };
    return {scale(job.cpu_millis, usage->second.cpuPercent),
            scale(job.memory_mb, usage->second.memoryPercent), job.accelerators};
}

} // namespace bramleygrade
