#include <algorithm>

#include "cell/ends/crashes.h"
#include "cell/placement/placement.h"
#include "cell/placement/speed_placement.h"

namespace bramleygrade::cell {

namespace {

/// Cost of a worker with an image that clashes with the step's, in units of one worker's total CPU
/// left free. It outweighs the CPU share left free and nothing else.
constexpr double clashCost = 1.0;

std::int64_t countRuns(const step_state &step, const std::string &worker)
{
    return std::count_if(step.tasks.begin(), step.tasks.end(), [&](const task_state &task) {
        return task.phase != run_phase::none && task.worker == worker;
    });
}

/// A worker that may take `slots` tasks of the step.
struct candidate
{
    const std::string *id = nullptr;
    const worker_headroom *headroom = nullptr;
    std::int64_t slots = 0;
    double cost = 0;
    bool ticketValid = false;
    /// See `speedRank()`; 0 if the step clashes with no image.
    int speedRank = 0;
    /// Images on the worker with which the step clashes.
    image_set clashing = 0;
};

void sortByCost(std::vector<candidate> &candidates)
{
    std::sort(candidates.begin(), candidates.end(), [](const candidate &a, const candidate &b) {
        return std::tie(b.ticketValid, a.cost, *a.id) < std::tie(a.ticketValid, b.cost, *b.id);
    });
}

std::vector<candidate> findCandidates(const waiting_step &waiting, const headroom_map &headrooms,
                                      timestamp now)
{
    const step_spec &spec = stepSpec(waiting);
    const step_state &step = stepState(waiting);
    const task_state *first = &step.tasks[static_cast<std::size_t>(waiting.tasks.front())];
    const resources demand = reservedDemand(spec);
    const bool onReservedOnly = spec.gang && holdsReservation(step, now);
    const bool needsTrial = isSuspected(step) && (!spec.gang || hasRecentCrash(step, now));
    const std::string &job = waiting.job->spec.id;
    const double speedFactor = speedCostFactor(waiting, now);
    std::vector<candidate> found;
    const auto consider = [&](const std::string &id, const worker_headroom &headroom,
                              bool ticketValid) {
        if (!fits(demand, headroom.free) || !isEligible(*waiting.job, spec, *headroom.worker)
            || (onReservedOnly && step.reservations.count(id) == 0)
            || isOnTrialOfOther(*headroom.worker, job, now)
            || (needsTrial && hasRecentStartsOfOthers(*headroom.worker, job))) {
            return;
        }
        std::int64_t slots = tasksThatFit(spec, headroom.free);
        if (spec.maxPerWorker > 0) {
            slots = std::min(slots, spec.maxPerWorker - countRuns(step, id));
        }
        slots = limitScavenging(spec, headroom, slots);
        if (slots > 0) {
            const double cost =
                placementCost(spec, first, headroom) + speedCost(spec, speedFactor, headroom);
            found.push_back({&id, &headroom, slots, cost, ticketValid,
                             waiting.clashing == 0 ? 0 : speedRank(spec, speedFactor, headroom),
                             headroom.worker->images.present & waiting.clashing});
        }
    };
    const bool needsAdvice = waiting.job->policy.needsAdvice;
    static const std::map<std::string, worker_advice> noAdvice;
    if (!needsAdvice) {
        for (const auto &[id, headroom] : headrooms) {
            consider(id, headroom, true);
        }
    }
    for (const auto &[id, advice] : needsAdvice ? step.advice : noAdvice) {
        const auto headroom = advice.allowed ? headrooms.find(id) : headrooms.end();
        if (headroom != headrooms.end()) {
            consider(headroom->first, headroom->second, advice.validUntil > now + ticketMargin);
        }
    }
    sortByCost(found);
    return found;
}

/// Keeps only the candidates of the lowest-cost rack that can take all `needed` tasks; keeps all
/// candidates if no rack can.
void keepOneRack(std::vector<candidate> &candidates, std::int64_t needed)
{
    std::map<std::string, std::int64_t> slots;
    for (const candidate &option : candidates) {
        slots[option.headroom->worker->entry.rack] += option.slots;
    }
    for (const candidate &option : candidates) {
        const std::string rack = option.headroom->worker->entry.rack;
        if (slots[rack] >= needed) {
            candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                            [&](const candidate &other) {
                                                return other.headroom->worker->entry.rack != rack;
                                            }),
                             candidates.end());
            return;
        }
    }
}

/// Moves the workers to the front on which a gang ends soonest: the slowest class that it has to
/// use, as faster members would wait for it, and then the faster ones.
void preferLikeSpeeds(std::vector<candidate> &candidates, std::int64_t needed)
{
    std::vector<class_slots> available;
    available.reserve(candidates.size());
    for (const candidate &option : candidates) {
        available.push_back({speedClass(*option.headroom->worker), option.slots});
    }
    const int slowest = slowestClassNeeded(std::move(available), needed);
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](const candidate &a, const candidate &b) {
                         const int ofA = speedClass(*a.headroom->worker);
                         const int ofB = speedClass(*b.headroom->worker);
                         return std::pair(ofA > slowest, -ofA) < std::pair(ofB > slowest, -ofB);
                     });
}

/// Sorts workers with the most slots first, so that a gang runs on few workers. Removes workers
/// without a valid ticket if the others suffice; otherwise a gang would request new tickets again
/// and again. Workers without clashing images come first if they suffice.
void sortForGang(std::vector<candidate> &candidates, std::int64_t needed, bool avoidsClashes)
{
    std::int64_t withTicket = 0;
    for (const candidate &option : candidates) {
        withTicket += option.ticketValid ? option.slots : 0;
    }
    if (withTicket >= needed) {
        candidates.erase(
            std::remove_if(candidates.begin(), candidates.end(),
                           [](const candidate &option) { return !option.ticketValid; }),
            candidates.end());
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const candidate &a, const candidate &b) { return a.slots > b.slots; });
    std::int64_t withoutClash = 0;
    for (const candidate &option : candidates) {
        withoutClash += option.clashing == 0 ? option.slots : 0;
    }
    if (avoidsClashes && withoutClash >= needed) {
        std::stable_partition(candidates.begin(), candidates.end(),
                              [](const candidate &option) { return option.clashing == 0; });
    }
    preferLikeSpeeds(candidates, needed);
}

struct assignment
{
    placement_plan plan;
    /// Tasks on workers of each speed rank; only counted if the step clashes with any image.
    std::map<int, std::size_t> tasksBySpeed;
    /// For each task that is placed beside clashing images, those images.
    std::vector<image_set> clashes;
};

/// Assigns the tasks to the candidates, in their order. With `speedLimits`, clashing images are
/// avoided, and each speed rank gets at most that number of tasks.
assignment assignTasks(const waiting_step &waiting, std::vector<candidate> candidates,
                       const std::map<int, std::size_t> *speedLimits = nullptr)
{
    const step_spec &spec = stepSpec(waiting);
    const auto needed = static_cast<std::int64_t>(waiting.tasks.size());
    if (spec.gang) {
        sortForGang(candidates, needed, speedLimits != nullptr);
    }
    if (spec.sameRack) {
        keepOneRack(candidates, needed);
    }
    assignment result;
    placement_plan &plan = result.plan;
    const auto isExhausted = [&](const candidate &option) {
        if (option.slots == 0 || speedLimits == nullptr) {
            return option.slots == 0;
        }
        const auto limit = speedLimits->find(option.speedRank);
        return limit == speedLimits->end()
            || result.tasksBySpeed[option.speedRank] >= limit->second;
    };
    auto it = candidates.begin();
    while (plan.workers.size() < waiting.tasks.size()) {
        it = std::find_if_not(it, candidates.end(), isExhausted);
        if (it == candidates.end()) {
            break;
        }
        --it->slots;
        if (waiting.clashing != 0) {
            ++result.tasksBySpeed[it->speedRank];
        }
        plan.workers.push_back(*it->id);
        plan.ticketsValid = plan.ticketsValid && it->ticketValid;
        if (it->clashing != 0) {
            result.clashes.push_back(it->clashing);
        }
    }
    plan.unplaced = waiting.tasks.size() - plan.workers.size();
    return result;
}

/// Splits the slots of each worker into one and the rest if the step clashes with itself. Gangs
/// stay on few workers nevertheless.
std::vector<candidate> splitSlots(const waiting_step &waiting,
                                  const std::vector<candidate> &candidates)
{
    if ((waiting.clashing & waiting.ownImage) == 0 || stepSpec(waiting).gang) {
        return candidates;
    }
    std::vector<candidate> split;
    for (const candidate &option : candidates) {
        split.push_back(option);
        if (option.slots > 1 && option.clashing == 0) {
            split.back().slots = 1;
            split.push_back(option);
            --split.back().slots;
            split.back().clashing = waiting.ownImage;
        }
    }
    return split;
}

/// Plans the step beside as few clashing images as its workers allow. All candidates have room, so
/// that only their order changes, and each speed rank gets as many tasks as without clashes.
placement_plan planAwayFromClashes(const waiting_step &waiting, std::vector<candidate> candidates)
{
    candidates = splitSlots(waiting, candidates);
    assignment usual = assignTasks(waiting, candidates);
    for (candidate &option : candidates) {
        option.cost += option.clashing != 0 ? clashCost : 0;
    }
    sortByCost(candidates);
    assignment away = assignTasks(waiting, std::move(candidates), &usual.tasksBySpeed);
    if (away.clashes.size() >= usual.clashes.size() || away.plan.unplaced > usual.plan.unplaced
        || (usual.plan.ticketsValid && !away.plan.ticketsValid)) {
        return std::move(usual.plan);
    }
    usual.clashes.resize(usual.clashes.size() - away.clashes.size());
    away.plan.avoided = std::move(usual.clashes);
    return std::move(away.plan);
}

} // namespace

placement_plan planStep(const waiting_step &waiting, const headroom_map &headrooms, timestamp now)
{
    std::vector<candidate> candidates = findCandidates(waiting, headrooms, now);
    return waiting.clashing == 0 ? assignTasks(waiting, std::move(candidates)).plan
                                 : planAwayFromClashes(waiting, std::move(candidates));
}

} // namespace bramleygrade::cell
