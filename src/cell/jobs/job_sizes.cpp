#include "cell/jobs/job_sizes.h"

#include <algorithm>

namespace bramleygrade::cell {

int widestStep(const job_spec &spec)
{
    int widest = 0;
    for (const step_spec &step : spec.steps) {
        widest = std::max(widest, step.count);
    }
    return widest;
}

std::size_t sizeRangeOf(int tasks)
{
    std::size_t range = 0;
    while (range + 1 < sizeRanges.size() && tasks >= sizeRanges[range + 1].from) {
        ++range;
    }
    return range;
}

void countEnded(ended_by_size &counts, const job_state &job, job_phase phase, timestamp now)
{
    if (phase == job_phase::cancelled) {
        return;
    }
    ended_jobs &ended = counts[sizeRangeOf(widestStep(job.spec))];
    if (phase == job_phase::failed) {
        ++ended.failed;
    } else {
        ++(now <= job.objectiveAt ? ended.onTime : ended.late);
    }
}

} // namespace bramleygrade::cell
