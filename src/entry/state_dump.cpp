#include "entry/state_dump.h"

#include "entry/interference_view.h"
#include "entry/json_text.h"
#include "entry/team_metrics.h"

namespace bramleygrade::entry {

namespace {

std::int64_t ageMs(timestamp then)
{
    return then == distantPast ? -1 : (steadyNow() - then) / millisecond;
}

void writeWorkers(json_writer &out, const cell::scheduler &cell)
{
    out.Key("workers");
    out.StartArray();
    for (const auto &[id, worker] : cell.workers) {
        out.StartObject();
        put(out, "id", id);
        put(out, "address", worker.entry.address);
        put(out, "listed", worker.listed);
        put(out, "fenced", worker.life.fenced);
        put(out, "settled", worker.life.reconciled);
        put(out, "draining", worker.entry.draining);
        put(out, "token", cell::fencingToken(cell, worker));
        put(out, "used_cpu_milli", worker.life.used.cpuMilli);
        put(out, "cpu_milli", worker.entry.capacity.cpuMilli);
        put(out, "runs", static_cast<std::int64_t>(worker.life.runs.size()));
        put(out, "unstored_ends", static_cast<std::int64_t>(worker.life.unstoredEnds.size()));
        put(out, "answered_ms_ago", ageMs(worker.life.answeredAt));
        out.EndObject();
    }
    out.EndArray();
}

void writeJobs(json_writer &out, const cell::scheduler &cell)
{
    out.Key("jobs");
    out.StartArray();
    for (const auto &[id, job] : cell.jobs) {
        if (job.finalPhase) {
            continue;
        }
        out.StartObject();
        put(out, "id", id);
        put(out, "queue", job.spec.queue);
        put(out, "stored", job.stored);
        put(out, "inherited", job.restored);
        put(out, "ordered", job.ordered);
        put(out, "started", job.begun);
        put(out, "age_ms", ageMs(job.receivedAt));
        put(out, "objective_in_ms", -ageMs(job.objectiveAt));
        out.EndObject();
    }
    out.EndArray();
}

void refreshUsage(entry_state &entry)
{
    entry_metrics &metrics = entry.metrics;
    for (std::size_t index = 0; index < net::dutyCount; ++index) {
        const net::duty_usage &usage = entry.meter.usage[index];
        const std::string label =
            std::string("{duty=\"") + net::dutyName(static_cast<net::duty>(index)) + "\"";
        metrics.timeCounters["busy_seconds_total" + label + "}"] = usage.busy;
        metrics.counters["events_total" + label + "}"] = usage.events;
        if (usage.bytesReceived + usage.bytesSent > 0) {
            metrics.counters["body_bytes_total" + label + ",dir=\"in\"}"] = usage.bytesReceived;
            metrics.counters["body_bytes_total" + label + ",dir=\"out\"}"] = usage.bytesSent;
        }
    }
    metrics.gauges["event_loop_delay_ms"] = recentDelay(entry.observed.delay) / millisecond;
}

/// Removes the gauges of a scheduler, whose last values would look like current ones.
void removeSchedulerGauges(entry_metrics &metrics)
{
    for (const char *name :
         {"jobs_in_memory", "jobs_open", "jobs_pending", "workers", "workers_unreconciled",
          "restored_jobs_held", "advice_queue", "unsaved_changes", "cpu_milli_promised",
          "cpu_milli_capacity", "workers_overcommitted", "interference_pairs"}) {
        metrics.gauges.erase(name);
    }
}

/// Removes the gauges whose names start with `family`, as labels of earlier values may be gone.
void removeFamily(entry_metrics &metrics, const std::string &family)
{
    auto it = metrics.gauges.lower_bound(family);
    while (it != metrics.gauges.end() && it->first.compare(0, family.size(), family) == 0) {
        it = metrics.gauges.erase(it);
    }
}

void refreshSpeedGauges(entry_state &entry)
{
    auto &gauges = entry.metrics.gauges;
    for (const auto &[name, service] : entry.leaderState->cell.speeds.services) {
        const std::string label = "{service=\"" + name + "\"}";
        gauges["worker_speeds_known" + label] = service.knownWorkers;
        gauges["worker_speeds_spread_milli" + label] =
            static_cast<std::int64_t>(service.spread * 1'000);
        gauges["worker_speeds_used" + label] = service.used ? 1 : 0;
    }
}

void refreshQueueGauges(entry_state &entry)
{
    auto &gauges = entry.metrics.gauges;
    const leader_state &leaderState = *entry.leaderState;
    gauges["workers_unreconciled"] = countUnreconciledWorkers(leaderState.cell);
    gauges["restored_jobs_held"] = countHeldJobs(leaderState.cell);
    gauges["advice_queue"] = static_cast<std::int64_t>(countQueuedAdvice(leaderState));
    gauges["unsaved_changes"] = static_cast<std::int64_t>(leaderState.cell.unstored.size());
    for (const auto &[id, waiting] : entry.observed.waits) {
        if (waiting.newest.tasks > 0) {
            ++gauges[std::string("jobs_waiting{why=\"")
                     + cell::waitReasonName(waiting.newest.reason) + "\"}"];
        }
    }
}

void refreshCapacityGauges(std::map<std::string, std::int64_t> &gauges, const cell::scheduler &cell)
{
    std::int64_t used = 0;
    std::int64_t all = 0;
    for (const auto &[id, worker] : cell.workers) {
        used += worker.life.used.cpuMilli;
        all += cell::hasAnswered(worker) ? worker.entry.capacity.cpuMilli : 0;
    }
    gauges["open_work_bytes"] = static_cast<std::int64_t>(cell.reservedBytes + cell.furtherBytes);
    gauges["cpu_milli_promised"] = used;
    gauges["cpu_milli_capacity"] = all;
    gauges["workers_overcommitted"] = cell::countOvercommittedWorkers(cell);
}

void refreshAdviceUse(entry_state &entry)
{
    auto &counters = entry.metrics.counters;
    const auto add = [&](const std::string &queue, const char *outcome,
                         const cell::answered_calls &answered) {
        const std::string label = "{queue=\"" + queue + "\",followed_by=\"" + outcome + "\"}";
        counters["advice_answers_total" + label] = answered.calls;
        counters["advice_answers_ms_total" + label] =
            static_cast<std::uint64_t>(answered.time / millisecond);
    };
    for (const auto &[queue, use] : entry.leaderState->cell.counters.adviceUse) {
        add(queue, "start", use.withStart);
        add(queue, "call", use.withoutStart);
    }
}

void refreshJobsBySize(entry_state &entry)
{
    const cell::ended_by_size &endedBySize = entry.leaderState->cell.counters.endedBySize;
    auto &counters = entry.metrics.counters;
    for (std::size_t range = 0; range < endedBySize.size(); ++range) {
        const std::string label =
            std::string("{tasks=\"") + cell::sizeRanges[range].name + "\",outcome=\"";
        const cell::ended_jobs &ended = endedBySize[range];
        counters[std::string("jobs_accepted_total{tasks=\"") + cell::sizeRanges[range].name
                 + "\"}"] = entry.leaderState->cell.counters.acceptedBySize[range];
        counters["jobs_ended_total" + label + "on_time\"}"] = ended.onTime;
        counters["jobs_ended_total" + label + "late\"}"] = ended.late;
        counters["jobs_ended_total" + label + "failed\"}"] = ended.failed;
    }
}

void refreshLabelledCounters(entry_state &entry)
{
    refreshJobsBySize(entry);
    refreshAdviceUse(entry);
}

} // namespace

std::string dumpState(const entry_state &entry)
{
    return writeObject([&](json_writer &out) {
        put(out, "instance", entry.settings.name);
        put(out, "incarnation", entry.incarnation);
        put(out, "role", static_cast<int>(entry.role));
        put(out, "epoch", entry.epoch);
        put(out, "scheduler", entry.scheduler.name);
        put(out, "heard_ms_ago", ageMs(entry.schedulerSeenAt));
        put(out, "config", entry.config.version);
        put(out, "config_read_ms_ago", ageMs(entry.configReadAt));
        if (entry.config.requiresKeys) {
            put(out, "config_confirmed_ms_ago", ageMs(entry.confirmation.confirmedAt));
        }
        put(out, "store_reachable", entry.storeReachable);
        put(out, "calls_waiting", static_cast<std::int64_t>(entry.forwardedCalls.size()));
        out.Key("members");
        out.StartObject();
        for (const auto &[name, address] : entry.members) {
            put(out, name.c_str(), address);
        }
        out.EndObject();
        if (entry.leaderState) {
            put(out, "unsaved_jobs",
                static_cast<std::int64_t>(entry.leaderState->cell.unstored.size()));
            put(out, "open_jobs",
                static_cast<std::int64_t>(entry.leaderState->cell.runnableJobs.size()));
            writeWorkers(out, entry.leaderState->cell);
            writeJobs(out, entry.leaderState->cell);
            writeInterference(out, entry.leaderState->cell.interference);
        }
    });
}

void refreshGauges(entry_state &entry)
{
    auto &gauges = entry.metrics.gauges;
    refreshUsage(entry);
    removeFamily(entry.metrics, "jobs_waiting");
    removeFamily(entry.metrics, "interference_slowdown_percent");
    removeFamily(entry.metrics, "worker_speeds");
    gauges["scheduler_seen_ms_ago"] = entry.leaderState ? 0 : ageMs(entry.schedulerSeenAt);
    gauges["epoch"] = entry.epoch;
    gauges["is_scheduler"] = entry.leaderState ? 1 : 0;
    gauges["config_version"] = entry.config.version;
    gauges["config_newest_version"] =
        std::max(entry.config.version, entry.confirmation.newestVersion);
    if (entry.config.requiresKeys) {
        gauges["config_confirmed_ms_ago"] = ageMs(entry.confirmation.confirmedAt);
    }
    gauges["calls_waiting"] = static_cast<std::int64_t>(entry.forwardedCalls.size());
    gauges["members"] = static_cast<std::int64_t>(entry.members.size());
    gauges["answers_beyond_limits"] = static_cast<std::int64_t>(entry.client.answersBeyondLimits());
    gauges["connections_opened"] = static_cast<std::int64_t>(entry.client.connectionsOpened());
    gauges["received_bytes"] = static_cast<std::int64_t>(entry.receiving.used);
    gauges["log_lines_written"] = static_cast<std::int64_t>(entry.log.written);
    gauges["log_lines_dropped"] = static_cast<std::int64_t>(entry.log.dropped);
    gauges["log_lines_suppressed"] = static_cast<std::int64_t>(entry.log.suppressed);
    refreshTeamMetrics(entry.metrics, entry.leaderState ? &entry.leaderState->cell.teams : nullptr);
    if (!entry.leaderState) {
        removeSchedulerGauges(entry.metrics);
        return;
    }
    refreshQueueGauges(entry);
    refreshSpeedGauges(entry);
    const cell::scheduler &cell = entry.leaderState->cell;
    gauges["jobs_in_memory"] = static_cast<std::int64_t>(cell.jobs.size());
    gauges["jobs_open"] = static_cast<std::int64_t>(cell.runnableJobs.size());
    gauges["jobs_pending"] = 0;
    for (const auto &[queue, count] : cell::countPendingByQueue(cell)) {
        gauges["jobs_pending"] += count;
    }
    gauges["workers"] = static_cast<std::int64_t>(cell.workers.size());
    refreshCapacityGauges(gauges, cell);
    refreshInterferenceMetrics(entry.metrics, cell.interference);
    const cell::scheduler_counters &counts = cell.counters;
    auto &counters = entry.metrics.counters;
    counters["checkpoints_ignored_total"] = counts.ignoredCheckpoints;
    counters["task_starts_total"] = counts.starts;
    counters["task_starts_refused_total"] = counts.refusedStarts;
    counters["orders_unanswered_total"] = counts.unansweredOrders;
    counters["task_ends_total{how=\"done\"}"] = counts.endsDone;
    counters["task_ends_total{how=\"failed\"}"] = counts.endsFailed;
    counters["task_ends_total{how=\"other\"}"] = counts.endsOther;
    refreshLabelledCounters(entry);
    counters["advice_calls_total"] = counts.adviceCalls;
    counters["workers_lapsed_total"] = counts.lostWorkers;
    counters["workers_crashed_total"] = counts.crashedWorkers;
    counters["tasks_given_up_total"] = counts.tasksGivenUp;
    counters["runs_stalled_total"] = counts.stalledRuns;
    counters["runs_preempted_total"] = counts.preemptedRuns;
    counters["jobs_total{state=\"accepted\"}"] = counts.jobsAccepted;
    counters["jobs_total{state=\"completed\"}"] = counts.jobsCompleted;
    counters["jobs_total{state=\"failed\"}"] = counts.jobsFailed;
    counters["jobs_total{state=\"cancelled\"}"] = counts.jobsCancelled;
}

} // namespace bramleygrade::entry
