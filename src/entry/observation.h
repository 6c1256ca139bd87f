#pragma once

#include <string>

#include "cell/placement/waiting_jobs.h"
#include "net/busy_meter.h"

/// \file
/// What an entry observes about itself, for log lines and metrics. Nothing here affects decisions.

namespace bramleygrade::entry {

struct entry_state;

/// How late the event loop calls a regular timer. A loop that is late answers heartbeats and probes
/// late too, and takes other entries for silent.
struct loop_delay
{
    microseconds newest = 0;
    /// Maxima of the current window and the one before it.
    microseconds windowMax = 0;
    microseconds previousMax = 0;
    timestamp windowEndsAt = distantPast;
    /// The loop is late since `lateSince`, with a maximum of `worst`, and recovers at `recoversAt`
    /// unless it is late again until then.
    bool isLate = false;
    timestamp lateSince = distantPast;
    timestamp recoversAt = distantFuture;
    microseconds worst = 0;
};

enum class loop_delay_change { none, became_late, recovered };

/// Adds the delay of the timer call at `now`.
loop_delay_change recordDelay(loop_delay &state, microseconds delay, timestamp now);

/// Returns the largest delay of the last one to two seconds.
microseconds recentDelay(const loop_delay &state);

/// Shares of the time from `from` to `to` that the duties used, the largest first, for example
/// "worker_call 52% decide 30% idle 18%". Leaves out duties below 1 %.
std::string formatShares(const net::duty_usages &from, const net::duty_usages &to,
                         microseconds elapsed);

/// Usage of the duties at a time.
struct usage_snapshot
{
    timestamp takenAt = distantPast;
    net::duty_usages usage {};
};

/// State of the observations of one entry.
struct entry_observation
{
    loop_delay delay;
    timestamp tickDueAt = distantPast;
    /// Snapshots at the starts of the current window and of the one before it.
    usage_snapshot windowStart;
    usage_snapshot previousStart;
    /// When the claim of the head row under way, or the newest one, was sent.
    timestamp claimedAt = distantPast;
    /// Probes of the scheduler since it was last seen.
    int probesSinceSeen = 0;
    timestamp nextLoadReportAt = distantPast;
    timestamp nextWaitReportAt = distantPast;
    /// Epoch of `waits`, and the epoch in which all workers were first reconciled.
    std::int64_t waitsEpoch = -1;
    std::int64_t reconciledEpoch = -1;
    /// Values at the newest `scheduler_load` line, which reports the differences.
    std::uint64_t startsReported = 0;
    std::uint64_t decisionsReported = 0;
    double decisionMsReported = 0;
    cell::waiting_jobs waits;
};

/// Observes one call of the regular timer, which was due at `observed.tickDueAt`.
void observeTick(entry_state &entry, timestamp now);

/// Attributes the work of the entry's ports to duties. Must be called before the ports are used.
void measurePorts(entry_state &entry);

/// Returns the duty of a message to another entry. Forwarded calls and advice calls count as such.
net::duty dutyOfPeerPath(const std::string &path);

/// Returns the shares of the last one to two seconds, as `formatShares`.
std::string recentShares(const entry_state &entry);

/// Returns the number of workers that the scheduler has not reconciled yet.
std::int64_t countUnreconciledWorkers(const cell::scheduler &cell);

/// Returns the number of restored jobs that wait for workers to be reconciled.
std::int64_t countHeldJobs(const cell::scheduler &cell);

} // namespace bramleygrade::entry
