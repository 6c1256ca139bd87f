#include <algorithm>
#include <limits>
#include <set>

#include "cell/interference/scheduler_interference.h"
#include "cell/placement/placement.h"
#include "cell/placement/speed_placement.h"
#include "cell/teams/capped_placement.h"

namespace bramleygrade::cell {

namespace {

/// Slots asked about as a multiple of the slots needed, as the share of workers that will be
/// allowed is only estimated.
constexpr double askedSlotsFactor = 1.5;
/// Maximum number of workers in one call (worker protocol).
constexpr std::size_t maxWorkersPerCall = 100;
/// Number of workers in a usual call, as job objectives assume.
constexpr int usualWorkersPerCall = 30;
/// Calls that usually take longer are long calls; some clients are kept for the short ones.
constexpr microseconds longCallThreshold = 100 * millisecond;
/// Pause before a failed call is retried.
constexpr microseconds adviceRetryDelay = 60 * millisecond;
/// A call that finds less room than tasks wait also asks about workers without room, until the time
/// for its workers is this share of its fixed time.
constexpr double timeForFullWorkers = 0.3;
/// Workers without room in such a call for each task that has no room.
constexpr std::size_t fullWorkersPerTask = 4;
/// Deducted from a ticket's validity, as the answer takes time to arrive.
constexpr microseconds answerTransitMargin = 40 * millisecond;
/// Pause before a step asks again after a call that had no worker left to ask about.
constexpr microseconds emptyCallPause = 50 * millisecond;
/// Added to the priority of late jobs; larger than the priority of any queue.
constexpr int latePriorityOffset = 1'000;
/// The same for jobs beyond their team's share, late or not.
constexpr int beyondSharePriorityOffset = 2 * latePriorityOffset;
/// Factor applied to the counts of asked and allowed workers before each answer is added.
constexpr double shareDecay = 0.97;

/// Returns those of `workers` without a ticket or with one that expires before a new answer could
/// arrive.
std::vector<std::string> findExpiredTickets(const waiting_step &waiting,
                                            const std::vector<std::string> &workers, timestamp now)
{
    const step_state &step = stepState(waiting);
    const advice_timing &timing = waiting.job->policy.advice;
    const timestamp answeredAt = now + timing.base
        + timing.perWorker * static_cast<microseconds>(workers.size()) + 2 * ticketMargin;
    std::vector<std::string> expired;
    for (const std::string &id : workers) {
        const auto adviceIt = step.advice.find(id);
        if ((adviceIt == step.advice.end() || adviceIt->second.validUntil <= answeredAt)
            && std::find(expired.begin(), expired.end(), id) == expired.end()) {
            expired.push_back(id);
        }
    }
    return expired;
}

std::vector<std::string> reservedWorkers(const step_state &step)
{
    std::vector<std::string> workers;
    for (const auto &[id, reservation] : step.reservations) {
        workers.push_back(id);
    }
    return workers;
}

/// A worker that the step may ask about.
struct unasked_worker
{
    bool isFull = false;
    /// Rank by speed, lower is better; 0 while speeds are not used.
    double rank = 0;
    std::int64_t slots = 0;
    /// The worker has images that the step should not run beside.
    bool clashes = false;
    std::string id;

    friend bool operator<(const unasked_worker &a, const unasked_worker &b)
    {
        return std::tie(a.isFull, a.rank, b.slots, a.clashes, a.id)
            < std::tie(b.isFull, b.rank, a.slots, b.clashes, b.id);
    }
};

/// Returns the workers never asked about for the step, those with a free slot first, then by how
/// well their speed suits the step, then those with the most slots, and of equal ones those without
/// clashing images.
std::vector<unasked_worker> findUnaskedWorkers(const waiting_step &waiting,
                                               const headroom_map &headrooms, timestamp now)
{
    const double speedFactor = speedCostFactor(waiting, now);
    const step_spec &spec = stepSpec(waiting);
    const step_state &step = stepState(waiting);
    std::vector<unasked_worker> found;
    const resources demand = reservedDemand(spec);
    for (const auto &[id, headroom] : headrooms) {
        if ((!spec.gang && !fits(demand, headroom.free))
            || !isEligible(*waiting.job, spec, *headroom.worker) || step.advice.count(id) > 0
            || !fits(demand, headroom.worker->entry.capacity)) {
            continue;
        }
        std::int64_t slots = tasksThatFit(spec, headroom.free);
        if (spec.maxPerWorker > 0) {
            slots = std::min<std::int64_t>(slots, spec.maxPerWorker);
        }
        if (slots > 0 || spec.gang) {
            const bool clashes = (headroom.worker->images.present & waiting.clashing) != 0;
            found.push_back(
                {slots <= 0, speedFactor * speedClass(*headroom.worker), slots, clashes, id});
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

double allowedShare(const scheduler &cell, const std::string &queue)
{
    const auto counts = cell.adviceCounts.find(queue);
    return counts == cell.adviceCounts.end() ? 0.5 : counts->second.allowed / counts->second.asked;
}

/// Adds workers without room to a call that has found too little for `missing` tasks, so that these
/// can start as soon as runs end there; otherwise a wide step asks again and again about a few
/// workers. Those known to be allowed come first, then those with the most processors left.
void addFullWorkers(std::vector<std::string> &toAsk, const waiting_step &waiting,
                    std::size_t missing, const headroom_map &headrooms, timestamp now)
{
    const advice_timing &timing = waiting.job->policy.advice;
    const auto affordable = static_cast<std::size_t>(
        timeForFullWorkers * static_cast<double>(timing.base)
        / static_cast<double>(std::max<microseconds>(timing.perWorker, 1)));
    const std::size_t limit =
        std::min({affordable, maxWorkersPerCall, toAsk.size() + missing * fullWorkersPerTask});
    if (toAsk.empty() || toAsk.size() >= limit) {
        return;
    }
    const step_spec &spec = stepSpec(waiting);
    const step_state &step = stepState(waiting);
    const resources demand = reservedDemand(spec);
    const std::set<std::string> asked(toAsk.begin(), toAsk.end());
    const timestamp answeredAt = now + timing.base + 2 * ticketMargin;
    std::vector<std::tuple<bool, std::int64_t, const std::string *>> found;
    for (const auto &[id, headroom] : headrooms) {
        const auto known = step.advice.find(id);
        const bool isKnown = known != step.advice.end();
        const bool isOfUse =
            !isKnown || (known->second.allowed && known->second.validUntil <= answeredAt);
        if (isOfUse && isEligible(*waiting.job, spec, *headroom.worker)
            && fits(demand, headroom.worker->entry.capacity) && asked.count(id) == 0) {
            found.emplace_back(!isKnown, -headroom.free.cpuMilli, &id);
        }
    }
    const std::size_t added = std::min(limit - toAsk.size(), found.size());
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(added),
                      found.end(), [](const auto &a, const auto &b) {
                          return std::tie(std::get<0>(a), std::get<1>(a), *std::get<2>(a))
                              < std::tie(std::get<0>(b), std::get<1>(b), *std::get<2>(b));
                      });
    for (std::size_t index = 0; index < added; ++index) {
        toAsk.push_back(*std::get<2>(found[index]));
    }
}

std::vector<std::string> chooseWorkersToAsk(const scheduler &cell, const waiting_step &waiting,
                                            const placement_plan &plan,
                                            const headroom_map &headrooms, timestamp now)
{
    const step_state &step = stepState(waiting);
    if (stepSpec(waiting).gang && holdsReservation(step, now)) {
        return plan.unplaced == 0 && plan.ticketsValid
            ? std::vector<std::string> {}
            : findExpiredTickets(waiting, reservedWorkers(step), now);
    }
    std::vector<std::string> toAsk;
    const bool isFullyPlaced = !stepSpec(waiting).gang || plan.unplaced == 0;
    if (isFullyPlaced && !plan.ticketsValid) {
        toAsk = findExpiredTickets(waiting, plan.workers, now);
    }
    if (plan.unplaced == 0) {
        return toAsk;
    }
    // A gang asks about as many workers as possible: more allowed workers let it start sooner, and
    // a call's fixed time outweighs that of its workers.
    const double share = allowedShare(cell, waiting.job->spec.queue);
    double needed = stepSpec(waiting).gang ? std::numeric_limits<double>::max()
                                           : static_cast<double>(plan.unplaced) * askedSlotsFactor;
    for (const unasked_worker &worker : findUnaskedWorkers(waiting, headrooms, now)) {
        if (needed <= 0 || toAsk.size() >= maxWorkersPerCall) {
            break;
        }
        toAsk.push_back(worker.id);
        needed -= static_cast<double>(worker.slots) * share;
    }
    if (needed > 0 && !stepSpec(waiting).gang) {
        const auto missing = static_cast<std::size_t>(needed / askedSlotsFactor);
        addFullWorkers(toAsk, waiting, missing, headrooms, now);
    }
    return toAsk;
}

/// Returns what the newest placement round left on each worker, less the demand expected of open
/// calls, so that concurrent calls ask about different workers.
headroom_map collectUnclaimedHeadroom(scheduler &cell, bool urgent, timestamp now)
{
    headroom_map headrooms;
    headrooms.reserve(cell.workers.size());
    for (auto &[id, worker] : cell.workers) {
        if (!isUsable(worker, now) || worker.life.clock == 0) {
            continue;
        }
        const resources &left = urgent ? worker.headroomOfUrgent : worker.headroomOfOthers;
        const resources free = freeCapacity(worker);
        const resources usable {std::min(left.cpuMilli, free.cpuMilli),
                                std::min(left.memoryMb, free.memoryMb),
                                std::min(left.accelerators, free.accelerators)};
        headrooms.emplace_hint(headrooms.end(), id,
                               worker_headroom {&worker, usable - worker.expectedDemand});
    }
    return headrooms;
}

/// Adds the demand that the step is expected to place to the workers of the call.
void claimExpectedDemand(scheduler &cell, const waiting_step &waiting,
                         const headroom_map &headrooms, advice_order &order)
{
    const step_spec &spec = stepSpec(waiting);
    const step_state &step = stepState(waiting);
    const double share = allowedShare(cell, order.queue);
    std::vector<double> slots;
    double slotSum = 0;
    for (const std::string &id : order.workers) {
        slots.push_back(static_cast<double>(tasksThatFit(spec, headrooms.at(id).free))
                        * (step.advice.count(id) > 0 ? 1.0 : share));
        slotSum += slots.back();
    }
    const double usedShare =
        std::min(1.0, static_cast<double>(waiting.tasks.size()) / std::max(slotSum, 1.0));
    const resources demand = reservedDemand(spec);
    for (std::size_t index = 0; index < order.workers.size(); ++index) {
        const auto expected = [count = slots[index] * usedShare](std::int64_t amount) {
            return static_cast<std::int64_t>(static_cast<double>(amount) * count);
        };
        order.expectedDemands.push_back(
            {expected(demand.cpuMilli), expected(demand.memoryMb), expected(demand.accelerators)});
        resources &claimed = cell.workers.at(order.workers[index]).expectedDemand;
        claimed = claimed + order.expectedDemands.back();
    }
}

void releaseExpectedDemand(scheduler &cell, const advice_order &order)
{
    for (std::size_t index = 0; index < order.expectedDemands.size(); ++index) {
        const auto worker = cell.workers.find(order.workers[index]);
        if (worker != cell.workers.end()) {
            worker->second.expectedDemand =
                worker->second.expectedDemand - order.expectedDemands[index];
        }
    }
}

} // namespace

std::vector<std::string> selectWorkersToAsk(const scheduler &cell, const waiting_step &waiting,
                                            const placement_plan &plan,
                                            const headroom_map &headrooms, timestamp now)
{
    const step_state &step = stepState(waiting);
    if (!waiting.job->policy.needsAdvice || step.advicePending || now < step.adviceNotBefore) {
        return {};
    }
    return chooseWorkersToAsk(cell, waiting, plan, headrooms, now);
}

bool prepareAdvice(scheduler &cell, advice_order &order, timestamp now)
{
    std::size_t &queued = order.longCall ? cell.queuedLongCalls : cell.queuedShortCalls;
    queued -= std::min<std::size_t>(queued, 1);
    job_state *job = findJob(cell, order.step.job);
    if (job == nullptr || job->finalPhase || findTask(*job, order.step) == nullptr) {
        return false;
    }
    step_state &step =
        job->occurrences.at(order.step.occurrence).steps[static_cast<std::size_t>(order.step.step)];
    step.adviceQueued = false;
    auto waiting = makeWaitingStep(*job, order.step.occurrence, order.step.step, now);
    if (waiting && cell.teams.active) {
        waiting->beyondShare = job->spec.beyondShare;
    }
    if (!waiting || !fitsCap(cell, *waiting)) {
        step.advicePending = false;
        return false;
    }
    setClashes(cell, *waiting);
    if (!order.holdsCapacity) {
        const headroom_map headrooms = collectUnclaimedHeadroom(cell, isUrgent(*waiting), now);
        const placement_plan plan = planStep(*waiting, headrooms, now);
        std::vector<std::string> workers = chooseWorkersToAsk(cell, *waiting, plan, headrooms, now);
        if (workers.empty()) {
            step.advicePending = false;
            step.adviceNotBefore = now + emptyCallPause;
            return false;
        }
        const bool longCall = order.longCall;
        order = makeAdviceOrder(*waiting, std::move(workers));
        order.longCall = longCall; // the client was chosen for this kind of call
        if (!stepSpec(*waiting).gang) {
            claimExpectedDemand(cell, *waiting, headrooms, order);
        }
    }
    ++cell.counters.adviceCalls;
    return true;
}

void onAdvice(scheduler &cell, const advice_order &order,
              const std::vector<std::pair<std::string, std::string>> &allowed, microseconds valid,
              timestamp now)
{
    releaseExpectedDemand(cell, order);
    job_state *job = findJob(cell, order.step.job);
    if (job == nullptr || findTask(*job, order.step) == nullptr) {
        return;
    }
    step_state &step = ensureOccurrence(*job, order.step.occurrence)
                           .steps[static_cast<std::size_t>(order.step.step)];
    step.advicePending = false;
    noteAnswer(cell.counters.adviceUse, job->spec.queue, step, order.expected);
    for (const std::string &id : order.workers) {
        step.advice[id].allowed = false;
    }
    for (const auto &[id, ticket] : allowed) {
        step.advice[id] = {true, ticket, now + valid - answerTransitMargin};
        step.ticketsValidUntil =
            std::max(step.ticketsValidUntil, now + valid - answerTransitMargin);
    }
    advice_counts &counts = cell.adviceCounts[job->spec.queue];
    counts.asked = counts.asked * shareDecay + static_cast<double>(order.workers.size());
    counts.allowed = counts.allowed * shareDecay + static_cast<double>(allowed.size());
    markRunnable(cell, *job);
}

void onAdviceFailed(scheduler &cell, const advice_order &order, timestamp now)
{
    releaseExpectedDemand(cell, order);
    job_state *job = findJob(cell, order.step.job);
    if (job == nullptr || findTask(*job, order.step) == nullptr) {
        return;
    }
    step_state &step = ensureOccurrence(*job, order.step.occurrence)
                           .steps[static_cast<std::size_t>(order.step.step)];
    step.advicePending = false;
    step.adviceNotBefore = now + adviceRetryDelay;
    markRunnable(cell, *job);
}

advice_order makeAdviceOrder(const waiting_step &waiting, std::vector<std::string> workers)
{
    const advice_timing &timing = waiting.job->policy.advice;
    workers.resize(std::min(workers.size(), maxWorkersPerCall));
    advice_order order;
    order.step = {waiting.job->spec.id, waiting.occurrence, waiting.step, 0};
    order.expected = timing.base + timing.perWorker * static_cast<microseconds>(workers.size());
    order.priority = waiting.priority + (waiting.late ? latePriorityOffset : 0)
        + (waiting.beyondShare ? beyondSharePriorityOffset : 0);
    order.queuePriority = waiting.priority;
    order.beyondShare = waiting.beyondShare;
    order.waitsSince = waitsSince(waiting);
    order.late = waiting.late;
    order.queue = waiting.job->spec.queue;
    order.longCall = timing.base + usualWorkersPerCall * timing.perWorker > longCallThreshold;
    order.workers = std::move(workers);
    return order;
}

} // namespace bramleygrade::cell
