#include "cell/placement/gang_order.h"

#include <algorithm>
#include <map>

#include "cell/placement/preemption_gain.h"

namespace bramleygrade::cell {

namespace {

/// A gang that holds all processors of its service for a second goes behind gangs submitted up to
/// this long after it. A usual gang of the deployment holds them for 0.05 s, the largest for 2 s.
constexpr double waitPerServiceSecond = 100;
/// Wait after which gangs that are late take their turn, one of each service at a time. More at a
/// time would make others late in turn: with all of them, gangs earned a quarter less.
constexpr microseconds longestWaitBySize = 30 * second;
/// The same where gangs are not in order of size. The wait counts against nothing there but steps
/// on time, which lose the capacity that a late gang holds.
constexpr microseconds longestWait = 60 * second;

microseconds longestWaitOf(const scheduler &cell, const std::string &service)
{
    const auto speeds = cell.speeds.services.find(service);
    const bool isBySize = speeds != cell.speeds.services.end() && speeds->second.used;
    return isBySize ? longestWaitBySize : longestWait;
}

std::int64_t cpuOfService(const scheduler &cell, const std::string &service)
{
    std::int64_t sum = 0;
    for (const auto &[id, worker] : cell.workers) {
        if (worker.entry.service == service && hasAnswered(worker)) {
            sum += worker.entry.capacity.cpuMilli;
        }
    }
    return sum;
}

/// Returns the time for which the gang takes all processors of the service.
double serviceTime(const waiting_step &waiting, std::int64_t cpuMilli)
{
    const auto width = static_cast<double>(waiting.tasks.size())
        * static_cast<double>(reservedDemand(stepSpec(waiting)).cpuMilli);
    const auto expected =
        static_cast<double>(waiting.job->expectedToEnd[static_cast<std::size_t>(waiting.step)]);
    return width * expected / static_cast<double>(std::max<std::int64_t>(cpuMilli, 1));
}

/// Puts the gangs of services whose learned speeds are used in order of size.
void orderBySize(const scheduler &cell, std::vector<waiting_step> &waiting, timestamp now)
{
    std::map<std::string, std::int64_t> cpuMilli;
    for (const auto &[name, service] : cell.speeds.services) {
        if (service.used) {
            cpuMilli[name] = cpuOfService(cell, name);
        }
    }
    if (cpuMilli.empty()) {
        return;
    }
    for (waiting_step &gang : waiting) {
        const auto service = cpuMilli.find(gang.job->policy.service);
        if (!stepSpec(gang).gang || service == cpuMilli.end()) {
            continue;
        }
        gang.orderAt = waitsSince(gang)
            + static_cast<microseconds>(waitPerServiceSecond * serviceTime(gang, service->second));
        gang.late =
            now + gang.job->expectedToEnd[static_cast<std::size_t>(gang.step)] > gang.objectiveAt;
    }
}

} // namespace

void orderGangs(const scheduler &cell, std::vector<waiting_step> &waiting, timestamp now)
{
    orderBySize(cell, waiting, now);
    std::map<std::string, waiting_step *> longest;
    for (waiting_step &gang : waiting) {
        const timestamp since = waitsSince(gang);
        if (!gang.late || !stepSpec(gang).gang
            || stepState(gang).obstacle == gang_obstacle::exceeds_workers
            || now <= since + longestWaitOf(cell, gang.job->policy.service)) {
            continue;
        }
        waiting_step *&chosen = longest[gang.job->policy.service];
        chosen = chosen == nullptr || since < waitsSince(*chosen) ? &gang : chosen;
    }
    for (const auto &[service, gang] : longest) {
        gang->late = false;
    }
}

} // namespace bramleygrade::cell
