#pragma once

#include <map>
#include <set>

#include "cell/job_state.h"
#include "cell/types.h"

namespace bramleygrade::cell {

/// What the scheduler knows of one incarnation of a worker.
struct worker_state
{
    worker_entry entry;
    /// The registry holds the worker.
    bool listed = true;
    timestamp unlistedAt = distantFuture;
    /// The store holds that the worker is in use, so that a successor asks it what runs there.
    bool recorded = false;
    /// It is part of the write under way.
    bool inWrite = false;
    /// It has answered a look under this scheduler's fencing token.
    bool fenced = false;
    /// What ran there before this scheduler took over is known, or cannot run any more.
    bool reconciled = false;
    /// Raised to fence orders that got no answer.
    std::int64_t fenceCount = 0;
    /// Sum of the demands of all runs that may exist there.
    resources used;
    std::set<task_id> runs;
    /// The worker's clock at its newest answer, and our time when the look had been sent.
    std::int64_t clock = 0;
    timestamp clockReadAt = distantPast;
    /// Our time after which no lease on the worker can still hold.
    timestamp leasesExpiredAt = distantPast;
    std::int64_t lastEnd = 0;
    std::int64_t acknowledgedEnd = 0;
    /// Ends whose effect is not stored yet, with the number of the change that stores it.
    std::map<std::int64_t, std::uint64_t> unstoredEnds;
    bool pollInFlight = false;
    bool fenceInFlight = false;
    /// An order got no answer; a look with a higher token must follow.
    bool needsFence = false;
    timestamp nextPollAt = distantPast;
    int unansweredPolls = 0;
    /// The newest look found nobody listening.
    bool refused = false;
    timestamp answeredAt = distantPast;
    /// Runs of its newest report that should not be there; what they take is not known.
    int strangers = 0;
    /// Failed runs, less successful ones, decaying with time.
    double failureScore = 0;
    timestamp avoidedUntil = distantPast;
    /// Run time on this worker as a multiple of the mean of its service.
    double slowness = 1.0;
};

/// Longest lease that a worker grants, and the figures that bound its end.
struct lease_limits
{
    microseconds longest = 6 * second;
    /// Largest error of a worker's clock rate (users' protocol: 2 %), as parts of one.
    double clockRateError = 0.02;
    /// Longest time between reading a worker's clock and using the reading.
    microseconds clockReadingMargin = 100 * millisecond;
};

/// The worker's clock now, by its newest answer.
std::int64_t workerClock(const worker_state &worker, timestamp now);

/// Our time after which a lease ordered now cannot hold any more.
timestamp latestLeaseExpiry(const lease_limits &terms, timestamp orderedAt);

/// Whether new work may be placed there.
bool isUsable(const worker_state &worker, timestamp now);

resources freeCapacity(const worker_state &worker);

/// Counts a run in or out of the worker's used resources.
void addRun(worker_state &worker, const task_id &task, const resources &demand);
void removeRun(worker_state &worker, const task_id &task, const resources &demand);

/// Learns from an end: a failure lowers the trust in the worker, a success restores it.
void recordOutcome(worker_state &worker, bool succeeded, timestamp now);

/// Marks the ends that change `stored` has made durable as ready to acknowledge.
void acknowledgeStored(worker_state &worker, std::uint64_t stored);

} // namespace bramleygrade::cell
