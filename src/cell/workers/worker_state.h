#pragma once

#include <map>
#include <optional>
#include <set>

#include "cell/interference/presence.h"
#include "cell/jobs/job_state.h"
#include "cell/types.h"
#include "cell/workers/run_times.h"

namespace bramleygrade::cell {

/// A run that may have crashed its worker.
struct suspected_run
{
    timestamp startedAt = distantPast;
    /// This scheduler has started the run, and the worker has confirmed it.
    bool confirmed = false;
};

/// What the scheduler knows of one life of a worker: of one process that ran under the worker's id.
/// Nothing of it holds for the next process under that id, so it is replaced as a whole.
struct worker_life
{
    /// Counts the lives that this scheduler has seen of the worker.
    std::uint64_t number = 0;
    /// Start time of the process, as in `worker_entry::born`.
    std::int64_t born = 0;
    /// Address at which the process is known to have run. Another process there proves that it has
    /// ended.
    std::string address;
    /// The worker has answered a poll under this scheduler's fencing token.
    bool fenced = false;
    /// Runs started before this scheduler took over, and how they ended, are known, or can no
    /// longer exist.
    bool reconciled = false;
    /// Part of the fencing token; raised to fence off orders that got no answer.
    std::int64_t fenceNumber = 0;
    /// An order got no answer; a poll with a higher fencing token must follow.
    bool needsFence = false;

    /// Sum of the reserved demands of all runs that may exist on the worker.
    resources used;
    /// The part of `used` that lasting tasks need, which end only with their jobs.
    resources usedByLasting;
    std::set<task_id> runs;
    /// Largest capacity that the worker was seen to have before it was reconciled.
    resources largestCapacity;
    /// Number of runs in the newest report that should not exist; their demand is unknown.
    int unexpectedRuns = 0;

    /// The worker's clock in its newest answer, and the local time at which it arrived.
    std::int64_t clock = 0;
    timestamp clockReadAt = distantPast;
    /// Local time after which every lease that this scheduler has granted to this life has
    /// expired, and once the worker is fenced those of earlier ones.
    timestamp leasesExpiredAt = distantPast;

    /// When a sign of another life of the worker was last seen: its registry entry, or its answer
    /// to a start or a poll. `distantPast`: there was none, or a fence has been answered since.
    /// Until then that life may carry out orders that were meant for an earlier one.
    timestamp restartSeenAt = distantPast;
    /// End of the leases that orders for an earlier life may have granted to this one; they last
    /// for the workers' limit, as the clocks differ. `distantFuture`: the previous scheduler has
    /// noted such leases. `distantPast`: none is known.
    timestamp foreignLeaseEnd = distantPast;
    /// When an order that grants a lease last got no answer.
    timestamp unansweredAt = distantPast;

    /// Highest sequence number of an end that was received.
    std::int64_t lastEnd = 0;
    /// Sequence number up to which ends may be acknowledged, as their effect is stored.
    std::int64_t acknowledgedEnd = 0;
    /// Highest sequence number that an answered poll has acknowledged.
    std::int64_t deliveredAcknowledgement = 0;
    /// Ends whose effect may not be stored yet: sequence number, and number of the change that
    /// stores the effect.
    std::map<std::int64_t, std::uint64_t> unstoredEnds;

    bool pollInFlight = false;
    bool fenceInFlight = false;
    timestamp nextPollAt = distantPast;
    int unansweredPolls = 0;
    /// The newest answered poll followed an unanswered one, so that ends in its report may be old.
    bool wasSilent = false;
    timestamp answeredAt = distantPast;
    /// When the newest answered poll was written. A connection opened until then leads to this life
    /// or is closed.
    timestamp askedAt = distantPast;

    /// The process has ended without leaving, and its crash is counted.
    bool crashed = false;
    /// Runs released while the worker was silent; it may have crashed with them.
    std::map<task_id, suspected_run> lostRuns;
    /// A call sent at this time or earlier was answered.
    timestamp aliveAt = distantPast;
    /// Newest start of each job whose tasks have not run for `startTrial` yet.
    std::map<std::string, timestamp> recentStarts;
    /// Job whose tasks may have crashed a worker. Tasks of other jobs do not start here until
    /// `trialUntil`, so that another crash can be attributed.
    std::string trialJob;
    timestamp trialStartedAt = distantPast;
    timestamp trialUntil = distantPast;

    /// Increases with failed and stalled runs and shrinks with each successful one.
    double failureScore = 0;
    /// Time until which the worker gets no new tasks, after failures or a start refused for another
    /// reason than capacity.
    timestamp avoidedUntil = distantPast;
    /// Consecutive placement rounds of which the worker refused a start for lack of capacity.
    int capacityRefusals = 0;
    /// Time until which the worker gets no new tasks after such a refusal.
    timestamp fullUntil = distantPast;
    /// Run time on this worker as a multiple of the mean for its service, and its record.
    double slowness = 1.0;
    run_time_ratio runTimes;
};

/// A worker, by its id: what the registry shows of it and its current life.
struct worker_state
{
    worker_entry entry;
    /// Time at which the registry's current address was first seen.
    timestamp addressSince = distantPast;
    /// The registry lists the worker.
    bool listed = true;
    timestamp unlistedAt = distantFuture;
    /// Row of the worker list that has the worker, and the bytes that it takes there; nothing if it
    /// has not answered, so that it cannot have runs.
    std::optional<std::size_t> listRow;
    std::size_t listedBytes = 0;
    /// Largest capacity that the worker had since it is in the list: what may run there, as far as
    /// a successor knows that does not reach it.
    resources listedCapacity;
    /// That row is stored with the worker, so that the next leader reconciles with it.
    bool recorded = false;
    /// That row is being written with the worker.
    bool inWrite = false;
    worker_life life;
    /// Demand expected of the steps whose calls for advice are open.
    resources expectedDemand;
    /// Capacity that the newest placement round left after the steps of the highest priority, and
    /// after all steps.
    resources headroomOfUrgent;
    resources headroomOfOthers;
    /// Expected run time relative to the mean of the service, as a natural logarithm; empty unless
    /// the service's speeds are used in decisions.
    std::optional<double> logRunTime;
    /// The same of scavenging tasks, as far as their run times are known; 0: they are not.
    double logScavenged = 0;
    /// Images of the runs on the worker.
    worker_images images;
};

/// Length of a lease, unless the workers' limit is shorter.
constexpr microseconds leaseLength = 5 * second;

/// Length of the leases that are granted, and the error bounds for computing their expiry.
struct lease_limits
{
    microseconds longest = leaseLength;
    /// Longest lease that a worker grants; later ends are shortened to it.
    microseconds workerLimit = 6 * second;
    /// Largest relative error of a worker's clock rate (2 % by the worker protocol).
    double clockRateError = 0.02;
    /// Longest time between a worker reading its clock and the reading being used.
    microseconds clockReadingMargin = 100 * millisecond;
    /// Longest time after which a worker carries out an order that got no answer. The worker
    /// protocol says "seconds later"; the users' test tool delays such orders by up to 12 s.
    microseconds orderDelay = 12 * second;
    /// The same for lives of which nothing is known. Tasks wait for them wherever a worker falls
    /// silent; with a longer time, lasting tasks of a worker that is lost for good would start
    /// again later than 9 s after it (LOST in the users' rules).
    microseconds unseenOrderDelay = 2 * second;
};

/// Estimates the worker's clock at `now` from its newest answer.
std::int64_t workerClock(const worker_state &worker, timestamp now);

/// Whether a reading of the clock at `readAt` or later, 0 if there is none, cannot be one of the
/// process of which `life` knows the clock: that clock must have advanced since its newest reading,
/// by the time that has passed less the clock's rate error.
bool isClockOfOtherLife(const worker_life &life, std::int64_t clock, timestamp readAt);

/// Returns the local time after which a lease granted from `grantedFrom` on has expired on the
/// worker, whatever its clock rate within the bound.
timestamp latestLeaseExpiry(const lease_limits &limits, timestamp grantedFrom);

/// Of a stray order, one that another life carries out than the one for which it was built: returns
/// the local time after which a lease has expired that a life with another clock was given
/// by an order it carried out until `carriedOutBy`: the end of the lease on the clock of the former
/// life is far in the future there, so that the worker shortens the lease to its own limit.
timestamp strayLeaseExpiry(const lease_limits &limits, timestamp carriedOutBy);

/// Whether the start times are those of two processes; not if one of them is not known.
bool areDifferentLives(std::int64_t oneBorn, std::int64_t otherBorn);

/// Whether a life that is not fenced may carry out orders that were meant for an earlier one.
inline bool mayCarryOutFormerOrders(const worker_life &life)
{
    return life.restartSeenAt != distantPast;
}

/// What a successor must count of orders that were meant for an earlier life.
inline former_order_effect formerOrderEffect(const worker_life &life)
{
    if (mayCarryOutFormerOrders(life)) {
        return former_order_effect::possible;
    }
    return life.foreignLeaseEnd == distantPast ? former_order_effect::none
                                               : former_order_effect::leases;
}

/// Whether the worker's registry entry describes another life than the current one, so that its
/// capacity and labels may not be those of the worker.
bool describesOtherLife(const worker_entry &entry, const worker_life &life);

/// Whether the worker has answered this scheduler. Until then nothing shows that there is a worker
/// behind the registry entry, and its capacity does not count.
inline bool hasAnswered(const worker_state &worker)
{
    return worker.life.answeredAt != distantPast;
}

/// Whether new tasks may be placed on the worker.
bool isUsable(const worker_state &worker, timestamp now);

/// Returns the worker's capacity less the demand of its runs.
resources freeCapacity(const worker_state &worker);

/// Adds a run of the step and its demand to the worker; does nothing if the run is present.
void addRun(worker_state &worker, const task_id &task, const step_spec &step);
/// Removes a run of the step and its demand from the worker; does nothing if the run is absent.
void removeRun(worker_state &worker, const task_id &task, const step_spec &step);

/// Updates the failure score after a run. A worker with repeated failures gets no new tasks for a
/// while; successes lower the score.
void recordOutcome(worker_state &worker, bool succeeded, timestamp now);

/// Updates the worker after a start that it refused for lack of capacity. It gets no new tasks for
/// a pause that doubles with each such round, until it accepts a start or its capacity changes.
void recordCapacityRefusal(worker_state &worker, timestamp now);

/// Replaces the worker's registry entry.
void changeEntry(worker_state &worker, const worker_entry &entry, timestamp now);

/// Whether another process that answers at the registry's address of the worker proves that the
/// worker's life has ended. An entry may show an address at which the life has never run.
bool runsAtListedAddress(const worker_state &worker);

/// Advances `acknowledgedEnd` over the ends whose effect is durable, that is stored by a change
/// up to number `stored`.
void acknowledgeStored(worker_state &worker, std::uint64_t stored);

} // namespace bramleygrade::cell
