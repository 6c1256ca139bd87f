#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cell/scheduler.h"

namespace bramleygrade::testing {

/// Descriptions of the rule violations found in a history.
using violation_list = std::vector<std::string>;

/// Actual behaviour of a task; it may differ from what its team declares.
struct task_behaviour
{
    microseconds duration = second;
    /// Number of runs that fail before one succeeds.
    int failingRuns = 0;
    /// The worker crashes shortly after the start.
    bool crashesWorker = false;
};

/// A run on a simulated worker.
struct simulated_run
{
    int attempt = 0;
    timestamp startedAt = 0;
    timestamp endsAt = 0;
    cell::end_kind how = cell::end_kind::done;
    cell::resources demand;
};

/// A capacity that a worker had until lately; the scheduler may still rely on it.
struct former_capacity
{
    cell::resources amount;
    timestamp countsUntil = 0;
};

/// A worker in virtual time. It refuses fencing tokens lower than the highest it has seen, ends all
/// runs when its lease expires, and reports ended runs until they are acknowledged.
struct simulated_worker
{
    /// `entry.capacity` is the capacity that the registry shows.
    cell::worker_entry entry;
    /// The capacity in force, if it differs from what the registry shows.
    std::optional<cell::resources> capacity;
    std::vector<former_capacity> formerCapacities;
    /// Refuses starts beyond its capacity.
    bool guardsCapacity = false;
    bool up = true;
    /// Start time that the worker tells of itself; the registry shows it in `entry.born`, perhaps
    /// later.
    std::int64_t born = 0;
    /// Time at which the worker's clock was 0. Times of the worker are kept as times of the
    /// history.
    timestamp clockZero = 0;
    /// The registry goes on showing a worker that is down until this time.
    timestamp listedUntil = 0;
    std::int64_t token = 0;
    timestamp leaseUntil = 0;
    std::map<cell::task_id, simulated_run> runs;
    std::vector<cell::reported_end> ended;
    std::int64_t lastEndSequence = 0;
    /// Highest sequence number acknowledged in any poll, even before the worker has such an end.
    std::int64_t acknowledged = 0;
    /// Highest attempt of each task that has ended or was ordered to stop on this worker; attempts
    /// up to it are refused.
    std::map<cell::task_id, int> closedAttempt;
};

/// Time after which a stored version of the configuration is in force everywhere.
constexpr microseconds configAdoptionTime = 3 * second;

/// Caps of the teams, by name, in a version of the configuration.
struct cap_version
{
    /// Time at which the store acknowledged the version.
    timestamp storedAt = distantPast;
    std::map<std::string, cell::resources> caps;
};

/// What all workers did under all schedulers of a history. Accepted starts are checked against it;
/// rule violations are added to `violations`.
struct execution_record
{
    /// Workers on which each task has a run.
    std::map<cell::task_id, std::set<std::string>> runningOn;
    /// Tasks whose successful end has been acknowledged.
    std::set<cell::task_id> acknowledgedDone;
    /// Tasks with a run that ended successfully, acknowledged or not.
    std::set<cell::task_id> doneTasks;
    /// Failed attempts of each task that have been acknowledged.
    std::map<cell::task_id, std::set<int>> acknowledgedFailures;
    std::map<std::string, timestamp> cancelledAt;
    std::map<cell::task_id, task_behaviour> behaviour;
    /// Number of runs started of each task.
    std::map<cell::task_id, int> runCount;
    /// Jobs of which a worker has begun a task.
    std::set<std::string> begunJobs;
    std::map<std::string, cell::job_spec> jobs;
    std::map<std::string, int> maxAttempts;
    /// Jobs whose tasks start only with a ticket of the advisory service.
    std::set<std::string> jobsWithAdvice;
    /// When each ticket expires, by ticket.
    std::map<std::string, timestamp> tickets;
    /// Workers that have crashed with a run of each task.
    std::map<cell::task_id, int> crashes;
    /// Starts of each task that crashes workers, after three have crashed with it.
    std::map<cell::task_id, int> startsAfterCrashes;
    /// Full demand of the runs on all workers, by team.
    std::map<std::string, cell::resources> usedByTeam;
    /// All versions of the configuration, oldest first; empty: there are no teams.
    std::vector<cap_version> capVersions;
    std::uint64_t cappedStarts = 0;
    std::uint64_t startsNearCap = 0;
    std::uint64_t starts = 0;
    std::uint64_t startsRefusedForCapacity = 0;
    violation_list violations;
};

/// Ends the runs that have finished by `now`, and all runs if the worker's lease has expired by
/// then.
void advanceWorker(simulated_worker &worker, execution_record &record, timestamp now);

/// Returns the worker's capacity in force.
const cell::resources &capacityOf(const simulated_worker &worker);

/// Carries out a start order that was sent at `sentAt`; repeating the order of a running attempt is
/// accepted without effect. Adds a violation to the record if the start breaks a scheduling rule.
cell::order_outcome startRun(simulated_worker &worker, execution_record &record,
                             const cell::start_order &order, timestamp now,
                             timestamp sentAt = distantFuture);
/// Carries out a stop order; the end of the run follows in a report.
cell::order_outcome stopRun(simulated_worker &worker, execution_record &record,
                            const cell::stop_order &order, timestamp now);
/// Renews the lease, drops acknowledged ends and fills in `report`.
cell::order_outcome pollWorker(simulated_worker &worker, execution_record &record,
                               const cell::poll_order &order, timestamp now,
                               cell::worker_report &report);
/// Takes the worker down; its runs and unacknowledged ends are lost.
void crashWorker(simulated_worker &worker, execution_record &record);
/// Starts the crashed worker again under its id at `now`. It knows nothing of before; its clock and
/// its sequence numbers begin anew.
void restartWorker(simulated_worker &worker, std::int64_t born, timestamp now);

} // namespace bramleygrade::testing
