#include <algorithm>

#include "cell/placement.h"

namespace bramleygrade::cell {

namespace {

/// Places asked about, as a multiple of the places needed, against a share that is misjudged.
constexpr double askedSurplus = 1.5;
/// Workers named in one call, so that long calls stay bounded (users' rules reckon with 30).
constexpr std::size_t workersPerCall = 32;
/// Calls that take longer than this go to instances that do not serve the short ones.
constexpr microseconds longCall = 100 * millisecond;
/// Pause before a failed call is made again.
constexpr microseconds adviceRetry = 60 * millisecond;
/// Margin by which a ticket is taken to end early: the way back of the answer.
constexpr microseconds ticketSafety = 40 * millisecond;
/// Added to the priority of late jobs; above any priority of a queue.
constexpr int latePriority = 1'000;
/// How fast the learned share of allowed workers forgets.
constexpr double shareMemory = 0.97;

/// Workers of the plan whose tickets are over, or will be by the time that an answer comes.
std::vector<std::string> expiredTickets(const waiting_step &waiting, const placement_plan &plan,
                                        timestamp now)
{
    const step_state &step = stepState(waiting);
    const advice_timing &terms = waiting.job->policy.advice;
    const timestamp answered = now + terms.base
        + terms.perWorker * static_cast<microseconds>(plan.workers.size()) + 2 * ticketMargin;
    std::vector<std::string> expired;
    for (const std::string &id : plan.workers) {
        const auto entry = step.advice.find(id);
        if ((entry == step.advice.end() || entry->second.validUntil <= answered)
            && std::find(expired.begin(), expired.end(), id) == expired.end()) {
            expired.push_back(id);
        }
    }
    return expired;
}

/// Workers never asked about, those with the most free places first.
std::vector<std::pair<std::int64_t, std::string>> unasked(const waiting_step &waiting,
                                                          const headroom_map &rooms)
{
    const step_spec &spec = stepSpec(waiting);
    const step_state &step = stepState(waiting);
    std::vector<std::pair<std::int64_t, std::string>> found;
    const resources demand = reservedDemand(spec);
    for (const auto &[id, room] : rooms) {
        if ((!spec.gang && !fits(demand, room.free))
            || !isEligible(*waiting.job, spec, *room.worker) || step.advice.count(id) > 0
            || !fits(spec.demand, room.worker->entry.capacity)) {
            continue;
        }
        std::int64_t places = tasksThatFit(spec, room.free);
        if (spec.maxPerWorker > 0) {
            places = std::min<std::int64_t>(places, spec.maxPerWorker);
        }
        if (places > 0 || spec.gang) {
            found.emplace_back(-places, id);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

} // namespace

std::vector<std::string> workersToAsk(const scheduler &cell, const waiting_step &waiting,
                                      const placement_plan &plan, const headroom_map &rooms,
                                      timestamp now)
{
    const step_state &step = stepState(waiting);
    if (!waiting.job->policy.needsAdvice || step.advicePending || now < step.adviceNotBefore) {
        return {};
    }
    std::vector<std::string> ask;
    const bool whole = !stepSpec(waiting).gang || plan.unplaced == 0;
    if (whole && !plan.ticketsValid) {
        ask = expiredTickets(waiting, plan, now);
    }
    if (plan.unplaced == 0) {
        return ask;
    }
    const auto learned = cell.queues.find(waiting.job->spec.queue);
    const double share =
        learned == cell.queues.end() ? 0.5 : learned->second.allowed / learned->second.asked;
    double needed = static_cast<double>(plan.unplaced) * askedSurplus;
    for (const auto &[negativePlaces, id] : unasked(waiting, rooms)) {
        if (needed <= 0 || ask.size() >= workersPerCall) {
            break;
        }
        ask.push_back(id);
        needed -= static_cast<double>(-negativePlaces) * share;
    }
    return ask;
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
        step.advice[id] = {true, ticket, now + valid - ticketSafety};
    }
    advice_counts &counts = cell.queues[job->spec.queue];
    counts.asked = counts.asked * shareMemory + static_cast<double>(order.workers.size());
    counts.allowed = counts.allowed * shareMemory + static_cast<double>(allowed.size());
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
    step.adviceNotBefore = now + adviceRetry;
    markRunnable(cell, *job);
}

advice_order makeAdviceOrder(const waiting_step &waiting, std::vector<std::string> workers)
{
    const advice_timing &terms = waiting.job->policy.advice;
    advice_order order;
    order.step = {waiting.job->spec.id, waiting.occurrence, waiting.step, 0};
    order.expected = terms.base + terms.perWorker * static_cast<microseconds>(workers.size());
    order.priority = waiting.priority + (waiting.late ? latePriority : 0);
    order.longCall = order.expected > longCall;
    order.workers = std::move(workers);
    return order;
}

} // namespace bramleygrade::cell
