#include "cell/placement.h"

#include <algorithm>
#include <numeric>

namespace bramleygrade::cell {

namespace {

/// Cost of a worker outside the rack that holds the data, in shares of a worker left over.
constexpr double remoteCost = 4.0;
constexpr double failedHereCost = 8.0;
constexpr double distrustCost = 1.0;
constexpr double slownessCost = 1.0;

std::int64_t runsOfStep(const step_state &step, const std::string &worker)
{
    return std::count_if(step.tasks.begin(), step.tasks.end(), [&](const task_state &task) {
        return task.phase != run_phase::none && task.worker == worker;
    });
}

bool isAllowed(const waiting_step &waiting, const step_state &step, const std::string &worker)
{
    if (!waiting.job->policy.needsAdvice) {
        return true;
    }
    const auto entry = step.advice.find(worker);
    return entry != step.advice.end() && entry->second.allowed;
}

bool hasTicket(const waiting_step &waiting, const step_state &step, const std::string &worker,
               timestamp now)
{
    if (!waiting.job->policy.needsAdvice) {
        return true;
    }
    const auto entry = step.advice.find(worker);
    return entry != step.advice.end() && entry->second.allowed
        && entry->second.validUntil > now + ticketMargin;
}

/// One worker that may take tasks of the step, with the number it may take.
struct candidate
{
    const std::string *id = nullptr;
    const worker_headroom *room = nullptr;
    std::int64_t places = 0;
    double cost = 0;
    bool ticket = false;
};

std::vector<candidate> candidatesOf(const waiting_step &waiting, const headroom_map &rooms,
                                    timestamp now)
{
    const step_spec &spec = stepSpec(waiting);
    const step_state &step = stepState(waiting);
    const task_state *first = &step.tasks[static_cast<std::size_t>(waiting.tasks.front())];
    const resources demand = reservedDemand(spec);
    std::vector<candidate> found;
    for (const auto &[id, room] : rooms) {
        if (!fits(demand, room.free) || !isEligible(*waiting.job, spec, *room.worker)
            || !isAllowed(waiting, step, id)) {
            continue;
        }
        std::int64_t places = tasksThatFit(spec, room.free);
        if (spec.maxPerWorker > 0) {
            places = std::min(places, spec.maxPerWorker - runsOfStep(step, id));
        }
        if (places > 0) {
            found.push_back({&id, &room, places, placementCost(spec, first, room),
                             hasTicket(waiting, step, id, now)});
        }
    }
    std::sort(found.begin(), found.end(), [](const candidate &a, const candidate &b) {
        return std::tie(b.ticket, a.cost, *a.id) < std::tie(a.ticket, b.cost, *b.id);
    });
    return found;
}

/// Leaves only the rack that can take all tasks at the lowest cost, if there is one.
void keepOneRack(std::vector<candidate> &candidates, std::int64_t needed)
{
    std::map<std::string, std::int64_t> places;
    for (const candidate &entry : candidates) {
        places[entry.room->worker->entry.rack] += entry.places;
    }
    for (const candidate &entry : candidates) {
        const std::string rack = entry.room->worker->entry.rack;
        if (places[rack] >= needed) {
            candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                            [&](const candidate &other) {
                                                return other.room->worker->entry.rack != rack;
                                            }),
                             candidates.end());
            return;
        }
    }
}

/// Gangs go to few workers: those with the most places first. Where the workers with a valid
/// ticket suffice, the others are left out, so that a gang does not ask for ever new tickets.
void sortForGang(std::vector<candidate> &candidates, std::int64_t needed)
{
    std::int64_t withTicket = 0;
    for (const candidate &entry : candidates) {
        withTicket += entry.ticket ? entry.places : 0;
    }
    if (withTicket >= needed) {
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                        [](const candidate &entry) { return !entry.ticket; }),
                         candidates.end());
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const candidate &a, const candidate &b) { return a.places > b.places; });
}

} // namespace

headroom_limits maxHeadroomByService(const headroom_map &rooms)
{
    headroom_limits limits;
    for (const auto &[id, room] : rooms) {
        resources &most = limits[room.worker->entry.service];
        most.cpuMilli = std::max(most.cpuMilli, room.free.cpuMilli);
        most.memoryMb = std::max(most.memoryMb, room.free.memoryMb);
        most.accelerators = std::max(most.accelerators, room.free.accelerators);
    }
    return limits;
}

bool isEligible(const job_state &job, const step_spec &step, const worker_state &worker)
{
    const auto &labels = worker.entry.labels;
    return worker.entry.service == job.policy.service
        && (step.requiredLabel.empty()
            || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end());
}

std::int64_t tasksThatFit(const step_spec &step, const resources &room)
{
    const resources demand = reservedDemand(step);
    std::int64_t places = step.count;
    const auto limit = [&](std::int64_t need, std::int64_t have) {
        if (need > 0) {
            places = std::min(places, std::max<std::int64_t>(have, 0) / need);
        }
    };
    limit(demand.cpuMilli, room.cpuMilli);
    limit(demand.memoryMb, room.memoryMb);
    limit(demand.accelerators, room.accelerators);
    return places;
}

double placementCost(const step_spec &step, const task_state *task, const worker_headroom &room)
{
    const worker_state &worker = *room.worker;
    const auto whole =
        static_cast<double>(std::max<std::int64_t>(worker.entry.capacity.cpuMilli, 1));
    double cost = static_cast<double>(room.free.cpuMilli - step.demand.cpuMilli) / whole;
    cost += distrustCost * worker.failureScore + slownessCost * (worker.slowness - 1.0);
    if (!step.preferredRack.empty() && step.preferredRack != worker.entry.rack) {
        cost += remoteCost;
    }
    if (task != nullptr && task->failedOn.count(worker.entry.id) > 0) {
        cost += failedHereCost;
    }
    return cost;
}

placement_plan planStep(const waiting_step &waiting, const headroom_map &rooms, timestamp now)
{
    const step_spec &spec = stepSpec(waiting);
    std::vector<candidate> candidates = candidatesOf(waiting, rooms, now);
    if (spec.gang) {
        sortForGang(candidates, static_cast<std::int64_t>(waiting.tasks.size()));
    }
    if (spec.sameRack) {
        keepOneRack(candidates, static_cast<std::int64_t>(waiting.tasks.size()));
    }
    placement_plan plan;
    auto place = candidates.begin();
    for (std::size_t index = 0; index < waiting.tasks.size(); ++index) {
        while (place != candidates.end() && place->places == 0) {
            ++place;
        }
        if (place == candidates.end()) {
            break;
        }
        --place->places;
        plan.workers.push_back(*place->id);
        plan.ticketsValid = plan.ticketsValid && place->ticket;
    }
    plan.unplaced = waiting.tasks.size() - plan.workers.size();
    return plan;
}

void reserveForGang(const waiting_step &waiting, std::size_t missing, headroom_map &rooms)
{
    const step_spec &spec = stepSpec(waiting);
    const step_state &step = stepState(waiting);
    std::vector<worker_headroom *> partial;
    for (auto &[id, room] : rooms) {
        if (isEligible(*waiting.job, spec, *room.worker) && isAllowed(waiting, step, id)
            && room.free.cpuMilli > 0 && fits(spec.demand, room.worker->entry.capacity)) {
            partial.push_back(&room);
        }
    }
    std::sort(partial.begin(), partial.end(),
              [](const worker_headroom *a, const worker_headroom *b) {
                  return a->free.cpuMilli > b->free.cpuMilli;
              });
    for (worker_headroom *room : partial) {
        if (missing == 0) {
            return;
        }
        --missing;
        // What is negative is claimed already and must stay so.
        const resources demand = reservedDemand(spec);
        room->free.cpuMilli = std::min(
            room->free.cpuMilli, std::max<std::int64_t>(0, room->free.cpuMilli - demand.cpuMilli));
        room->free.memoryMb = std::min(
            room->free.memoryMb, std::max<std::int64_t>(0, room->free.memoryMb - demand.memoryMb));
    }
}

} // namespace bramleygrade::cell
