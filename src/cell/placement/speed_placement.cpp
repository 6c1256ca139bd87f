#include "cell/placement/speed_placement.h"

#include <algorithm>
#include <cmath>

namespace bramleygrade::cell {

namespace {

/// Weights of a worker's speed against the share of its processors left free. Between the slow and
/// the fast workers of a mixed service (a factor of two) the first outweighs any other worker's fit
/// and a recent failure, but not the rack of the input data; the second outweighs the fit only.
constexpr double fastFactor = 4.0;
constexpr double slowFactor = -1.0;
/// A step can run on slow workers if the time to its objective is this multiple of its expected
/// time to the end of the job. Run times there are up to twice the mean, and the slowest task of a
/// step takes several times as long as the others; at 2.5, batch jobs earned 0.03 to 0.07 less.
constexpr double slackForSlowWorkers = 5;
/// The waiting tasks of a step are its last ones if they are at most this share of it.
constexpr int lastTasksDivisor = 4;
constexpr double classWidth = 0.25;
/// Weight of the share of a scavenging task's processors that is free now. Best fit counts what
/// stays free as a cost of at most 1, which this outweighs.
constexpr double leftOverFactor = 3.0;
/// Weight of the run times seen of scavenging tasks; it outweighs what is free now, as their own
/// use is not part of that.
constexpr double scavengedFactor = 2.0;

} // namespace

double speedCostFactor(const waiting_step &waiting, timestamp now)
{
    const step_spec &spec = stepSpec(waiting);
    const step_state &step = stepState(waiting);
    if (spec.longRunning) {
        return slowFactor;
    }
    const bool isLast = waiting.tasks.size() * lastTasksDivisor <= step.tasks.size();
    const bool isRetried = std::any_of(waiting.tasks.begin(), waiting.tasks.end(), [&](int index) {
        const task_state &task = step.tasks[static_cast<std::size_t>(index)];
        return task.endedAttempt > 0 || !task.failedAttempts.empty();
    });
    if (isUrgent(waiting) || isLast || isRetried || spec.gang) {
        return fastFactor;
    }
    const auto expected =
        static_cast<double>(waiting.job->expectedToEnd[static_cast<std::size_t>(waiting.step)]);
    const auto left = static_cast<double>(waiting.objectiveAt - now);
    // A step that is late already gains little from what it would take from others.
    return waiting.late || left > slackForSlowWorkers * expected ? slowFactor : fastFactor;
}

double speedCost(const step_spec &step, double factor, const worker_headroom &headroom)
{
    const worker_state &worker = *headroom.worker;
    if (!worker.logRunTime) {
        return 0.0;
    }
    if (!step.scavenging) {
        return factor * *worker.logRunTime;
    }
    const auto wanted = static_cast<double>(std::max<std::int64_t>(step.demand.cpuMilli, 1));
    const double share = std::clamp(static_cast<double>(headroom.free.cpuMilli) / wanted, 0.0, 1.0);
    return scavengedFactor * worker.logScavenged - leftOverFactor * share;
}

std::int64_t limitScavenging(const step_spec &step, const worker_headroom &headroom,
                             std::int64_t slots)
{
    if (!step.scavenging || !headroom.worker->logRunTime || step.demand.cpuMilli <= 0) {
        return slots;
    }
    return std::min(slots,
                    std::max<std::int64_t>(headroom.free.cpuMilli / step.demand.cpuMilli, 1));
}

int speedClass(const worker_state &worker)
{
    return worker.logRunTime ? static_cast<int>(std::lround(*worker.logRunTime / classWidth)) : 0;
}

int speedRank(const step_spec &step, double factor, const worker_headroom &headroom)
{
    if (step.scavenging) {
        return static_cast<int>(std::lround(speedCost(step, factor, headroom) / classWidth));
    }
    return factor > 0 ? speedClass(*headroom.worker) : -speedClass(*headroom.worker);
}

int slowestClassNeeded(std::vector<class_slots> available, std::int64_t needed)
{
    std::sort(available.begin(), available.end(), [](const class_slots &a, const class_slots &b) {
        return a.speedClass < b.speedClass;
    });
    int slowest = 0;
    for (const class_slots &part : available) {
        slowest = part.speedClass;
        needed -= part.slots;
        if (needed <= 0) {
            break;
        }
    }
    return slowest;
}

} // namespace bramleygrade::cell
