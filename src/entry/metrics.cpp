#include "entry/metrics.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace bramleygrade::entry {

namespace {

constexpr char prefix[] = "bramleygrade_";

std::string familyOf(const std::string &name)
{
    return name.substr(0, name.find('{'));
}

/// Adds a label to a name that may have labels already.
std::string withLabel(const std::string &name, const std::string &suffix, const std::string &label)
{
    const std::size_t brace = name.find('{');
    if (brace == std::string::npos) {
        return name + suffix + "{" + label + "}";
    }
    return name.substr(0, brace) + suffix + "{" + label + "," + name.substr(brace + 1);
}

std::string withSuffix(const std::string &name, const std::string &suffix)
{
    const std::size_t brace = std::min(name.find('{'), name.size());
    return name.substr(0, brace) + suffix + name.substr(brace);
}

struct family_help
{
    const char *family;
    const char *help;
};

/// Families in the order of their exposition.
const family_help families[] = {
    {"is_scheduler", "1 if this entry is the scheduler."},
    {"epoch", "Highest epoch seen; each takeover raises it."},
    {"takeovers_total", "Times this entry became the scheduler."},
    {"config_version", "Version of the configuration in force."},
    {"config_newest_version", "Highest version of the configuration that this entry has heard of."},
    {"config_confirmed_ms_ago", "Time since the keys in force were known to be the newest."},
    {"config_transfers_total", "Transfers of the configuration, by source and outcome."},
    {"config_transfer_bytes_total", "Bytes of the configuration received, by source and outcome."},
    {"busy_seconds_total", "Time the event loop was busy, by duty."},
    {"event_loop_delay_ms", "Lateness of the event loop's timer, max of 1 to 2 s."},
    {"jobs_open", "Jobs with tasks to start."},
    {"open_work_bytes", "Estimated memory of the open jobs; submissions are refused at a limit."},
    {"jobs_pending", "Stored jobs of which no worker has begun a task."},
    {"jobs_waiting", "Jobs with tasks waiting for over 2 s, by reason of the newest report."},
    {"workers", "Workers known."},
    {"worker_entries_ignored_total",
     "Rows of the registry read that name no worker to use, such as one of a service without a "
     "queue."},
    {"workers_unreconciled", "Workers that have not reported since the takeover."},
    {"restored_jobs_held", "Restored jobs held back until all workers are reconciled."},
    {"advice_queue", "Advice calls not sent yet."},
    {"changes_rejected_total", "Changes that the store rejects by themselves; their jobs fail."},
    {"changes_too_large_total", "Changes that no write takes, or that leave something out."},
    {"checkpoints_not_stored_total", "Checkpoints left out of rows of progress, at each write."},
    {"checkpoints_ignored_total", "Checkpoints of workers that were too long to be kept."},
    {"unsaved_changes", "Job changes not stored yet."},
    {"calls_waiting", "Callers' calls without an answer."},
    {"cpu_milli_promised", "Processor reserved for runs, 1/1000 core."},
    {"cpu_milli_capacity", "Processor capacity of the workers, 1/1000 core."},
    {"worker_speeds_known", "Workers whose speed is known, by service."},
    {"worker_speeds_spread_milli",
     "Standard deviation of the logarithm of the workers' run times, 1/1000, by service."},
    {"worker_speeds_used", "1 if decisions use the workers' speeds, by service."},
    {"workers_overcommitted", "Workers whose capacity shrank below the demand of their runs."},
    {"team_cpu_milli_used", "Full demand of a team's runs, 1/1000 core; 24 teams and other."},
    {"team_cpu_milli_cap", "Cap of a team, 1/1000 core; 0: none."},
    {"team_mem_mb_used", "Full demand of a team's runs, MB; 24 teams and other."},
    {"team_mem_mb_cap", "Cap of a team, MB; 0: none."},
    {"team_jobs_accepted", "Jobs accepted in this epoch, by team."},
    {"team_jobs_beyond_share", "Accepted jobs beyond the team's share, by team."},
    {"team_jobs_refused", "Jobs refused for cap, share or expected wait, by team."},
    {"task_starts_total", "Start orders of this epoch."},
    {"task_starts_refused_total", "Start orders refused by workers."},
    {"orders_unanswered_total", "Orders to workers without an answer."},
    {"workers_crashed_total", "Workers that another incarnation has replaced."},
    {"tasks_given_up_total", "Tasks given up as workers crashed at their starts."},
    {"task_ends_total", "Reported ends of runs, by outcome."},
    {"caller_answers_total", "Answers to callers, by kind."},
    {"caller_calls_hedged_total", "State and pending calls sent again for lack of an answer."},
    {"caller_lookups_total", "State calls answered from the rows for lack of another answer."},
    {"jobs_ended_total",
     "Jobs that ended in this epoch, by tasks of their widest step and outcome."},
    {"jobs_accepted_total", "Jobs accepted in this epoch, by tasks of their widest step."},
    {"jobs_total", "Jobs of this epoch, by state."},
    {"events_total", "Handlers called by the event loop, by duty."},
    {"body_bytes_total", "Bytes of HTTP bodies, by duty and direction."},
    {"log_lines_dropped", "Log lines dropped over the rate of the settings."},
    {"log_lines_suppressed", "Log lines over the limit of their event."},
    {"log_lines_written", "Log lines written."},
    {"scheduler_seen_ms_ago", "Time since the scheduler was last seen, -1: never."},
    {"members", "Entries known."},
    {"peer_message_bytes_total", "Bytes of messages between entries, by message and direction."},
    {"stepped_down_total", "Times this entry lost leadership."},
    {"handovers_asked", "Requests to other entries to take over."},
    {"advice_calls_total", "Calls of the advisory service in this epoch."},
    {"advice_answers_total",
     "Answers of the advisory service in this epoch, by queue and whether a start followed before "
     "the step asked again."},
    {"advice_answers_ms_total", "Time of the advisory service for these answers."},
    {"advice_failed_total", "Advice calls that failed."},
    {"looks_total", "Polls of workers."},
    {"workers_lapsed_total", "Workers whose runs were given up."},
    {"runs_stalled_total", "Runs stopped for lack of progress."},
    {"runs_preempted_total", "Runs stopped for a gang."},
    {"interference_pairs", "Pairs of images that are kept apart."},
    {"interference_slowdown_percent", "Slowdown of an image beside another."},
    {"interference_noticed_total", "Pairs of images noticed."},
    {"interference_forgotten_total", "Pairs of images forgotten."},
    {"tasks_separated_total", "Tasks placed away from a clashing image."},
    {"jobs_in_memory", "Jobs in memory, ended ones included."},
    {"connections_opened", "Outgoing connections opened."},
    {"connections_closed_total", "Incoming connections closed for newer ones, by port."},
    {"requests_dropped_total",
     "Requests not read to their end, or answers not read by the client, for lack of memory; by "
     "port."},
    {"received_bytes", "Memory of the messages that are being read or answered."},
    {"answers_beyond_limits", "Calls that ended because their answers exceeded a limit."},
    {"event_loop_delay_seconds", "Lateness of the event loop's timer."},
    {"decision_seconds", "Duration of a decision."},
    {"start_seconds", "Time to a worker's answer to a start order."},
    {"advice_seconds", "Time to the answer to an advice call."},
    {"caller_seconds", "Time to the answer to a caller."},
};

void exposeHeader(std::ostringstream &out, const std::string &family, const char *type)
{
    for (const family_help &known : families) {
        if (family == known.family) {
            out << "# HELP " << prefix << family << ' ' << known.help << '\n';
        }
    }
    out << "# TYPE " << prefix << family << ' ' << type << '\n';
}

/// Calls `expose` for each value of the family, with a header before the first one.
template <typename Values, typename Expose>
void exposeFamily(std::ostringstream &out, const Values &values, const std::string &family,
                  const char *type, Expose expose)
{
    bool isFirst = true;
    for (auto it = values.lower_bound(family);
         it != values.end() && it->first.compare(0, family.size(), family) == 0; ++it) {
        if (familyOf(it->first) != family) {
            continue;
        }
        if (isFirst) {
            exposeHeader(out, family, type);
        }
        isFirst = false;
        expose(it->first, it->second);
    }
}

/// Adds the families of `values` that have no help text.
template <typename Values>
void addUnlisted(std::vector<std::string> &names, const Values &values)
{
    for (const auto &[name, value] : values) {
        const std::string family = familyOf(name);
        if (!hasHelp(family) && (names.empty() || names.back() != family)) {
            names.push_back(family);
        }
    }
}

void exposeHistogram(std::ostringstream &out, const std::string &name,
                     const latency_histogram &histogram)
{
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < histogram.counts.size(); ++bucket) {
        cumulative += histogram.counts[bucket];
        std::ostringstream bound;
        if (bucket < latencyBoundsMs.size()) {
            bound << latencyBoundsMs[bucket] / 1000.0;
        } else {
            bound << "+Inf";
        }
        out << prefix << withLabel(name, "_bucket", "le=\"" + bound.str() + "\"") << ' '
            << cumulative << '\n';
    }
    out << prefix << withSuffix(name, "_sum") << ' ' << histogram.sumMs / 1000.0 << '\n';
    out << prefix << withSuffix(name, "_count") << ' ' << histogram.total << '\n';
}

} // namespace

void observeLatency(entry_metrics &metrics, const std::string &name, microseconds latency)
{
    latency_histogram &histogram = metrics.latencies[name];
    const double ms = static_cast<double>(latency) / static_cast<double>(millisecond);
    const auto bound = std::lower_bound(latencyBoundsMs.begin(), latencyBoundsMs.end(), ms);
    ++histogram.counts[static_cast<std::size_t>(bound - latencyBoundsMs.begin())];
    ++histogram.total;
    histogram.sumMs += ms;
}

std::string exposeMetrics(const entry_metrics &metrics)
{
    std::vector<std::string> names;
    for (const family_help &known : families) {
        names.emplace_back(known.family);
    }
    addUnlisted(names, metrics.counters);
    addUnlisted(names, metrics.timeCounters);
    addUnlisted(names, metrics.gauges);
    addUnlisted(names, metrics.latencies);
    std::ostringstream out;
    const auto exposeValue = [&out](const std::string &name, auto value) {
        out << prefix << name << ' ' << value << '\n';
    };
    for (const std::string &family : names) {
        exposeFamily(out, metrics.counters, family, "counter", exposeValue);
        exposeFamily(out, metrics.timeCounters, family, "counter",
                     [&](const std::string &name, microseconds value) {
                         exposeValue(name, static_cast<double>(value) / second);
                     });
        exposeFamily(out, metrics.gauges, family, "gauge", exposeValue);
    }
    for (const std::string &family : names) {
        exposeFamily(out, metrics.latencies, family, "histogram",
                     [&](const std::string &name, const latency_histogram &histogram) {
                         exposeHistogram(out, name, histogram);
                     });
    }
    return out.str();
}

bool hasHelp(const std::string &family)
{
    return std::any_of(std::begin(families), std::end(families),
                       [&](const family_help &known) { return family == known.family; });
}

} // namespace bramleygrade::entry
