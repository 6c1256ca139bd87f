#include "entry/observation.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "entry/entry.h"

namespace bramleygrade::entry {

namespace {

/// Delay of the regular timer from which the event loop counts as late: an entry that is later
/// misses the answers to its probes (`probeTimeout` in membership.cpp).
constexpr microseconds lateDelay = 200 * millisecond;
/// A late loop has recovered after this long without a delay of half of `lateDelay`.
constexpr microseconds recoveryTime = 1 * second;
constexpr microseconds windowLength = 1 * second;
constexpr microseconds loadReportInterval = 2 * second;
constexpr microseconds waitReportInterval = 1 * second;

std::string toMs(microseconds value)
{
    return std::to_string(value / millisecond);
}

void rollWindow(entry_state &entry, timestamp now)
{
    entry_observation &observed = entry.observed;
    if (observed.windowStart.takenAt == distantPast) {
        observed.previousStart = {now, entry.meter.usage};
        observed.windowStart = observed.previousStart;
    } else if (now >= observed.windowStart.takenAt + windowLength) {
        observed.previousStart = observed.windowStart;
        observed.windowStart = {now, entry.meter.usage};
    }
}

void logDelayChange(entry_state &entry, loop_delay_change change, timestamp now)
{
    const loop_delay &delay = entry.observed.delay;
    const leader_state *leading = entry.leaderState.get();
    const auto size = [](std::size_t value) { return std::to_string(value); };
    logEvent(entry, "event_loop_late",
             {{"state", change == loop_delay_change::became_late ? "late" : "recovered"},
              {"delay_ms", toMs(delay.newest)},
              {"worst_ms", toMs(delay.worst)},
              {"late_for_ms", toMs(now - delay.lateSince)},
              {"busy", recentShares(entry)},
              {"scheduler", leading != nullptr ? "yes" : "no"},
              {"calls_waiting", size(entry.forwardedCalls.size())},
              {"jobs_open", leading == nullptr ? "" : size(leading->cell.runnableJobs.size())},
              {"unsaved_changes", leading == nullptr ? "" : size(leading->cell.unstored.size())},
              {"advice_queue", leading == nullptr ? "" : size(countQueuedAdvice(*leading))}});
}

/// Returns the services with known speeds, for example "booking:used:0.34".
std::string formatSpeeds(const cell::speed_table &speeds)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2);
    for (const auto &[name, service] : speeds.services) {
        text << (text.tellp() > 0 ? " " : "") << name << (service.used ? ":used:" : ":unused:")
             << service.spread;
    }
    return text.str();
}

void reportLoad(entry_state &entry, timestamp now)
{
    entry_observation &observed = entry.observed;
    if (now < observed.nextLoadReportAt) {
        return;
    }
    observed.nextLoadReportAt = now + loadReportInterval;
    const leader_state &leading = *entry.leaderState;
    const std::uint64_t starts = leading.cell.counters.starts;
    const std::uint64_t newStarts =
        starts < observed.startsReported ? starts : starts - observed.startsReported;
    observed.startsReported = starts;
    const latency_histogram &decisions = entry.metrics.latencies["decision_seconds"];
    const std::uint64_t newDecisions = decisions.total - observed.decisionsReported;
    const double decisionMs = decisions.sumMs - observed.decisionMsReported;
    observed.decisionsReported = decisions.total;
    observed.decisionMsReported = decisions.sumMs;
    logEvent(entry, "scheduler_load",
             {{"epoch", std::to_string(entry.epoch)},
              {"busy", recentShares(entry)},
              {"loop_delay_ms", toMs(recentDelay(observed.delay))},
              {"decisions", std::to_string(newDecisions)},
              {"decisions_ms", std::to_string(static_cast<std::int64_t>(decisionMs))},
              {"starts", std::to_string(newStarts)},
              {"jobs_open", std::to_string(leading.cell.runnableJobs.size())},
              {"jobs_waiting", std::to_string(observed.waits.size())},
              {"worker_speeds", formatSpeeds(leading.cell.speeds)},
              {"advice_queue", std::to_string(countQueuedAdvice(leading))},
              {"unsaved_changes", std::to_string(leading.cell.unstored.size())},
              {"workers_unreconciled", std::to_string(countUnreconciledWorkers(leading.cell))},
              {"calls_waiting", std::to_string(entry.forwardedCalls.size())}});
}

/// Logs once in each epoch that all workers are reconciled, so that restored tasks may start.
void reportReconciliation(entry_state &entry, timestamp now)
{
    const leader_state &leading = *entry.leaderState;
    if (entry.observed.reconciledEpoch == entry.epoch || leading.registry.empty()
        || countUnreconciledWorkers(leading.cell) > 0) {
        return;
    }
    entry.observed.reconciledEpoch = entry.epoch;
    std::size_t runs = 0;
    for (const auto &[id, worker] : leading.cell.workers) {
        runs += worker.life.runs.size();
    }
    const auto restored =
        std::count_if(leading.cell.jobs.begin(), leading.cell.jobs.end(), [](const auto &job) {
            return job.second.restored && !job.second.finalPhase;
        });
    logEvent(entry, "workers_reconciled",
             {{"epoch", std::to_string(entry.epoch)},
              {"workers", std::to_string(leading.cell.workers.size())},
              {"lapsed", std::to_string(leading.cell.counters.lostWorkers)},
              {"runs", std::to_string(runs)},
              {"restored_jobs", std::to_string(restored)},
              {"since_takeover_ms", toMs(now - leading.cell.tookOverAt)}});
}

void reportWaits(entry_state &entry, timestamp now)
{
    entry_observation &observed = entry.observed;
    if (now < observed.nextWaitReportAt) {
        return;
    }
    observed.nextWaitReportAt = now + waitReportInterval;
    if (observed.waitsEpoch != entry.epoch) {
        observed.waits.clear();
        observed.waitsEpoch = entry.epoch;
    }
    const cell::scheduler &cell = entry.leaderState->cell;
    for (const std::string &id : cell::reportWaitingJobs(observed.waits, cell, {}, now)) {
        const cell::waiting_job &waiting = observed.waits.at(id);
        const cell::job_state &job = cell.jobs.at(id);
        logEvent(entry, "job_waiting",
                 {{"job", id},
                  {"step",
                   std::to_string(waiting.newest.occurrence) + "."
                       + std::to_string(waiting.newest.step)},
                  {"tasks", std::to_string(waiting.newest.tasks)},
                  {"why", cell::waitReasonName(waiting.newest.reason)},
                  {"waiting_ms", toMs(now - waiting.since)},
                  {"objective_in_ms", toMs(job.objectiveAt - now)},
                  {"queued", cell.runnableJobs.count(id) > 0 ? "yes" : "no"},
                  {"team", job.spec.team}});
    }
}

template <typename... Arguments>
void measurePort(net::busy_meter &meter, net::duty duty, std::function<void(Arguments...)> &port)
{
    if (port) {
        port = [&meter, duty, inner = std::move(port)](Arguments... arguments) {
            const net::duty_scope scope(&meter, duty);
            inner(std::forward<Arguments>(arguments)...);
        };
    }
}

} // namespace

loop_delay_change recordDelay(loop_delay &state, microseconds delay, timestamp now)
{
    state.newest = delay;
    if (now >= state.windowEndsAt) {
        const bool isNextWindow = now < state.windowEndsAt + windowLength;
        state.previousMax = isNextWindow ? state.windowMax : 0;
        state.windowMax = 0;
        state.windowEndsAt = now + windowLength;
    }
    state.windowMax = std::max(state.windowMax, delay);
    if (!state.isLate) {
        if (delay < lateDelay) {
            return loop_delay_change::none;
        }
        state.isLate = true;
        state.lateSince = now - delay;
        state.worst = delay;
        state.recoversAt = now + recoveryTime;
        return loop_delay_change::became_late;
    }
    state.worst = std::max(state.worst, delay);
    if (delay >= lateDelay / 2) {
        state.recoversAt = now + recoveryTime;
    } else if (now >= state.recoversAt) {
        state.isLate = false;
        return loop_delay_change::recovered;
    }
    return loop_delay_change::none;
}

microseconds recentDelay(const loop_delay &state)
{
    return std::max(state.previousMax, state.windowMax);
}

std::string formatShares(const net::duty_usages &from, const net::duty_usages &to,
                         microseconds elapsed)
{
    if (elapsed <= 0) {
        return "";
    }
    std::vector<std::pair<microseconds, const char *>> parts;
    microseconds idle = elapsed;
    for (std::size_t index = 0; index < net::dutyCount; ++index) {
        const microseconds busy = to[index].busy - from[index].busy;
        parts.emplace_back(busy, net::dutyName(static_cast<net::duty>(index)));
        idle -= busy;
    }
    std::stable_sort(parts.begin(), parts.end(),
                     [](const auto &a, const auto &b) { return a.first > b.first; });
    parts.emplace_back(idle, "idle");
    std::string text;
    for (const auto &[time, name] : parts) {
        const std::int64_t percent = (100 * time + elapsed / 2) / elapsed;
        if (percent > 0) {
            text.append(text.empty() ? "" : " ").append(name).append(" ");
            text.append(std::to_string(percent)).append("%");
        }
    }
    return text;
}

void observeTick(entry_state &entry, timestamp now)
{
    entry_observation &observed = entry.observed;
    rollWindow(entry, now);
    if (observed.tickDueAt != distantPast) {
        const microseconds delay = std::max<microseconds>(now - observed.tickDueAt, 0);
        observeLatency(entry.metrics, "event_loop_delay_seconds", delay);
        const loop_delay_change change = recordDelay(observed.delay, delay, now);
        if (change != loop_delay_change::none) {
            logDelayChange(entry, change, now);
        }
    }
    if (entry.leaderState && entry.role == entry_role::scheduler) {
        reportReconciliation(entry, now);
        reportWaits(entry, now);
        reportLoad(entry, now);
    }
}

void measurePorts(entry_state &entry)
{
    net::busy_meter &meter = entry.meter;
    measurePort(meter, net::duty::store, entry.ports.store.write);
    measurePort(meter, net::duty::store, entry.ports.store.read);
    measurePort(meter, net::duty::store, entry.ports.store.watch);
    measurePort(meter, net::duty::worker_call, entry.ports.workers.start);
    measurePort(meter, net::duty::worker_call, entry.ports.workers.stop);
    measurePort(meter, net::duty::worker_call, entry.ports.workers.poll);
    measurePort(meter, net::duty::advice, entry.ports.advice);
}

net::duty dutyOfPeerPath(const std::string &path)
{
    if (path == "/call") {
        return net::duty::caller;
    }
    return path == "/advice" ? net::duty::advice : net::duty::peer_message;
}

std::string recentShares(const entry_state &entry)
{
    const usage_snapshot &from = entry.observed.previousStart;
    return from.takenAt == distantPast
        ? ""
        : formatShares(from.usage, entry.meter.usage, steadyNow() - from.takenAt);
}

std::int64_t countUnreconciledWorkers(const cell::scheduler &cell)
{
    return std::count_if(cell.workers.begin(), cell.workers.end(),
                         [](const auto &worker) { return !worker.second.life.reconciled; });
}

std::int64_t countHeldJobs(const cell::scheduler &cell)
{
    if (countUnreconciledWorkers(cell) == 0) {
        return 0;
    }
    return std::count_if(cell.jobs.begin(), cell.jobs.end(), [](const auto &job) {
        return job.second.restored && !job.second.finalPhase;
    });
}

} // namespace bramleygrade::entry
