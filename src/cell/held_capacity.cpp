#include "cell/held_capacity.h"

#include <algorithm>
#include <vector>

namespace bramleygrade::cell {

namespace {

/// Waiting gangs may hold the processors of a service's workers over this divisor, without the
/// capacity that was freed for them by preemption.
constexpr std::int64_t gangShareDivisor = 8;
/// The processors of a service's workers over this divisor are left to urgent steps.
constexpr std::int64_t urgentShareDivisor = 64;

processor_budgets shareOfProcessors(const scheduler &cell, std::int64_t divisor)
{
    processor_budgets budgets;
    for (const auto &[id, worker] : cell.workers) {
        budgets[worker.entry.service] += worker.entry.capacity.cpuMilli / divisor;
    }
    return budgets;
}

bool hasUrgentQueue(const cell_config &config, const std::string &service)
{
    return std::any_of(config.queues.begin(), config.queues.end(), [&](const auto &queue) {
        return queue.service == service && queue.priority == 0;
    });
}

} // namespace

processor_budgets makeGangBudgets(const scheduler &cell)
{
    return shareOfProcessors(cell, gangShareDivisor);
}

void withholdForUrgent(const scheduler &cell, headroom_map &headrooms)
{
    processor_budgets missing = shareOfProcessors(cell, urgentShareDivisor);
    std::vector<worker_headroom *> byRoom;
    for (auto &[id, headroom] : headrooms) {
        if (headroom.free.cpuMilli > 0) {
            byRoom.push_back(&headroom);
        }
    }
    std::stable_sort(byRoom.begin(), byRoom.end(),
                     [](const worker_headroom *a, const worker_headroom *b) {
                         return a->free.cpuMilli > b->free.cpuMilli;
                     });
    for (auto &[service, amount] : missing) {
        amount = hasUrgentQueue(cell.config, service) ? amount : 0;
    }
    for (worker_headroom *headroom : byRoom) {
        std::int64_t &amount = missing[headroom->worker->entry.service];
        const std::int64_t withheld = std::min(amount, headroom->free.cpuMilli);
        amount -= withheld;
        headroom->free.cpuMilli -= withheld;
    }
}

} // namespace bramleygrade::cell
