#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "cell/jobs/job_state.h"

/// \file
/// Counts jobs by the number of tasks of their widest step, for metrics. Nothing here affects
/// decisions.

namespace bramleygrade::cell {

/// Ended jobs of one range of sizes.
struct ended_jobs
{
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;

    friend bool operator==(const ended_jobs &a, const ended_jobs &b)
    {
        return a.onTime == b.onTime && a.late == b.late && a.failed == b.failed;
    }
};

/// The number of tasks at which each range of sizes begins, and the name of the range in metrics.
struct size_range
{
    int from = 1;
    const char *name = "";
};

constexpr std::array<size_range, 5> sizeRanges = {
    {{1, "1"}, {2, "2-7"}, {8, "8-31"}, {32, "32-127"}, {128, "128-"}}};

/// Ended jobs by the index of their range in `sizeRanges`.
using ended_by_size = std::array<ended_jobs, sizeRanges.size()>;

/// Number of jobs by the index of their range in `sizeRanges`.
using jobs_by_size = std::array<std::uint64_t, sizeRanges.size()>;

/// Returns the number of tasks of the job's widest step.
int widestStep(const job_spec &spec);

/// Returns the index in `sizeRanges` of the range that holds `tasks`.
std::size_t sizeRangeOf(int tasks);

/// Counts a job that ended in `phase` at `now`; cancelled jobs are left out.
void countEnded(ended_by_size &counts, const job_state &job, job_phase phase, timestamp now);

} // namespace bramleygrade::cell
