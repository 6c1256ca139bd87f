#include <algorithm>

#include "cell/placement.h"

namespace bramleygrade::cell {

namespace {

/// Slots asked about as a multiple of the slots needed, as the share of workers that will be
/// allowed is only estimated.
constexpr double askedSlotsFactor = 1.5;
/// Maximum number of workers in one call (worker protocol).
constexpr std::size_t maxWorkersPerCall = 100;
/// Calls expected to take longer are long calls; some clients are kept for the short ones.
constexpr microseconds longCallThreshold = 100 * millisecond;
/// Pause before a failed call is retried.
constexpr microseconds adviceRetryDelay = 60 * millisecond;
/// Deducted from a ticket's validity, as the answer takes time to arrive.
constexpr microseconds answerTransitMargin = 40 * millisecond;
/// Added to the priority of late jobs; larger than the priority of any queue.
constexpr int latePriorityOffset = 1'000;
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

/// Returns the workers never asked about for the step, with their negated free slots, those with
/// the most slots first.
std::vector<std::pair<std::int64_t, std::string>> findUnaskedWorkers(const waiting_step &waiting,
                                                                     const headroom_map &headrooms)
{
    const step_spec &spec = stepSpec(waiting);
    const step_state &step = stepState(waiting);
    std::vector<std::pair<std::int64_t, std::string>> found;
    const resources demand = reservedDemand(spec);
    for (const auto &[id, headroom] : headrooms) {
        if ((!spec.gang && !fits(demand, headroom.free))
            || !isEligible(*waiting.job, spec, *headroom.worker) || step.advice.count(id) > 0
            || !fits(spec.demand, headroom.worker->entry.capacity)) {
            continue;
        }
        std::int64_t slots = tasksThatFit(spec, headroom.free);
        if (spec.maxPerWorker > 0) {
            slots = std::min<std::int64_t>(slots, spec.maxPerWorker);
        }
        if (slots > 0 || spec.gang) {
            found.emplace_back(-slots, id);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
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
    const auto queueCounts = cell.adviceCounts.find(waiting.job->spec.queue);
    const double allowedShare = queueCounts == cell.adviceCounts.end()
        ? 0.5
        : queueCounts->second.allowed / queueCounts->second.asked;
    double needed = static_cast<double>(plan.unplaced) * askedSlotsFactor;
    for (const auto &[negativeSlots, id] : findUnaskedWorkers(waiting, headrooms)) {
        if (needed <= 0 || toAsk.size() >= maxWorkersPerCall) {
            break;
        }
        toAsk.push_back(id);
        needed -= static_cast<double>(-negativeSlots) * allowedShare;
    }
    return toAsk;
}

void onAdvice(scheduler &cell, const advice_order &order,
              const std::vector<std::pair<std::string, std::string>> &allowed, microseconds valid,
              timestamp now)
{
    job_state *job = findJob(cell, order.step.job);
    if (job == nullptr || findTask(*job, order.step) == nullptr) {
        return;
    }
    step_state &step = ensureOccurrence(*job, order.step.occurrence)
                           .steps[static_cast<std::size_t>(order.step.step)];
    step.advicePending = false;
    for (const std::string &id : order.workers) {
        step.advice[id].allowed = false;
    }
    for (const auto &[id, ticket] : allowed) {
        step.advice[id] = {true, ticket, now + valid - answerTransitMargin};
    }
    advice_counts &counts = cell.adviceCounts[job->spec.queue];
    counts.asked = counts.asked * shareDecay + static_cast<double>(order.workers.size());
    counts.allowed = counts.allowed * shareDecay + static_cast<double>(allowed.size());
    markRunnable(cell, *job);
}

void onAdviceFailed(scheduler &cell, const advice_order &order, timestamp now)
{
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
    order.priority = waiting.priority + (waiting.late ? latePriorityOffset : 0);
    order.late = waiting.late;
    order.queue = waiting.job->spec.queue;
    order.longCall = order.expected > longCallThreshold;
    order.workers = std::move(workers);
    return order;
}

} // namespace bramleygrade::cell
