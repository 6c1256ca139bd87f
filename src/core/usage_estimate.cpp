#include "core/usage_estimate.h"

#include <algorithm>

namespace bramleygrade {

namespace {

/// Given beyond what tasks were seen to take.
constexpr std::int64_t marginPercent = 20;
constexpr std::int64_t leastPercent = 25;
constexpr std::int64_t mostPercent = 400;
/// Reports before an estimate is trusted.
constexpr int trustedReports = 8;

} // namespace

void updateUsageEstimate(usage_estimate &usage, const job_specification &job,
                         const task_report &report)
{
    if (report.used_cpu_millis <= 0 || report.used_memory_mb <= 0) {
        return;
    }
    constexpr std::int64_t divisor = 8;
    const auto move = [](std::int64_t &estimate, std::int64_t seen, std::int64_t steps) {
        // Rises at once and falls slowly: too little harms the task, too much only the packing.
        estimate = seen > estimate ? seen : estimate - (estimate - seen) / steps;
    };
    move(usage.cpuPercent, report.used_cpu_millis * 100 / std::max<std::int64_t>(job.cpu_millis, 1),
         divisor);
    move(usage.memoryPercent,
         report.used_memory_mb * 100 / std::max<std::int64_t>(job.memory_mb, 1), divisor);
    ++usage.reports;
}

resources estimateResources(const job_registry &book, const job_specification &job, int failures)
{
    const auto usage = book.usage.find(job.service);
    const bool isTrusted =
        usage != book.usage.end() && usage->second.reports >= trustedReports && failures == 0;
    if (!isTrusted) {
        return {job.cpu_millis, job.memory_mb, job.accelerators};
    }
    const auto scale = [](std::int64_t declared, std::int64_t percent) {
        const std::int64_t given =
            std::clamp(percent + percent * marginPercent / 100, leastPercent, mostPercent);
        return std::max<std::int64_t>(declared * given / 100, 1);
    };
    return {scale(job.cpu_millis, usage->second.cpuPercent),
            scale(job.memory_mb, usage->second.memoryPercent), job.accelerators};
}

} // namespace bramleygrade
