#pragma once

#include <functional>
#include <memory>
#include <random>

#include "testing/cell/simulated_worker.h"

namespace bramleygrade::testing {

/// Rates of the faults injected into a history, and the mix of its generated jobs and tasks. Shares
/// are fractions from 0 to 1.
struct history_faults
{
    /// Share of carried-out orders whose answer is lost.
    double lostAnswerShare = 0;
    /// Share of orders that are not answered but carried out seconds later.
    double delayedOrderShare = 0;
    /// Mean time between faults of each kind; 0: never.
    microseconds schedulerCrashInterval = 0;
    microseconds schedulerPauseInterval = 0;
    microseconds workerCrashInterval = 0;
    microseconds workerPartitionInterval = 0;
    /// Share of the takeovers at which a worker is cut off from the successor only, for seconds.
    double successorPartitionShare = 0;
    microseconds storeOutageInterval = 0;
    /// Workers' capacities shrink and grow again; some workers guard theirs. 0: no worker does
    /// either.
    microseconds capacityChangeInterval = 0;
    /// Share of the steps that use only idle processor time.
    double scavengingStepShare = 0;
    /// Share of tasks outside gangs whose first runs fail.
    double failingTaskShare = 0.1;
    double cancelledJobShare = 0.05;
    /// Share of jobs with a task that crashes each worker that starts it.
    double crashingJobShare = 0;
    /// Share of the crashed workers that start again under their id; the others are replaced.
    double restartUnderIdShare = 0;
    /// Mean time between waves in which a third of the workers crash and start again under their
    /// ids; 0: never.
    microseconds restartWaveInterval = 0;
    /// Mean time between waves in which a third of the workers crash, start again under their ids
    /// within a second and are cut off soon after, for seconds; 0: never.
    microseconds recutWaveInterval = 0;
    /// Nothing shows the new lives of these waves: the registry lists the former ones until the cut
    /// is over, and answers of the workers are lost for the last 200 ms before the cut, or from the
    /// restart on.
    bool recutsAreHidden = false;
    /// Delayed orders are carried out by the life of the worker that is up then; otherwise a crash
    /// of the worker ends them.
    bool delayedOrdersSurviveCrashes = false;
    /// Share of steps that are gangs: their tasks run at the same time or not at all.
    double gangStepShare = 0.3;
    double checkpointingStepShare = 0.5;
    /// Share of the tasks that run longer than a lease lasts, among those that never fail and are
    /// not in gangs.
    double longTaskShare = 0;
    /// Share of the workers whose registry entries lapse in an outage of the store.
    double lapsedEntryShare = 0.5;
    microseconds submitInterval = 250 * millisecond;
    int maxTasksPerStep = 5;
    /// Share of the workers that the advisory service allows for a step; 0: no queue needs advice.
    double allowedWorkerShare = 0;
    /// Most jobs belong to one of three teams, two of which have caps. 0: jobs have no teams.
    /// Otherwise, mean time between new versions of the configuration, which lower the caps or
    /// restore them.
    microseconds capChangeInterval = 0;
    /// Workers hold polls, and every job that could run is checked to do so once the faults have
    /// stopped.
    bool isLargeCell = false;
};

/// Stored rows, which persist when a scheduler ends; also holds the rows of one write.
struct simulated_store
{
    std::int64_t epoch = 0;
    std::map<std::string, std::string> jobs;
    std::map<std::string, std::vector<std::string>> progress;
    std::map<std::string, cell::job_phase> ended;
    /// In a write: tombstones of ended jobs, stored in `jobs` in place of the job rows.
    std::map<std::string, std::string> tombstones;
    /// Encoded rows of the list of the workers in use; in a write, those that change.
    std::map<std::size_t, std::string> workerRows;
    bool up = true;
};

/// Totals of a history.
struct history_counts
{
    std::uint64_t jobs = 0;
    std::uint64_t completed = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t workerCrashes = 0;
    /// Jobs that failed although none of their tasks crashes workers or fails often enough.
    std::uint64_t failedInnocent = 0;
    std::uint64_t starts = 0;
    std::uint64_t startsRefusedForCapacity = 0;
    /// Starts of tasks of capped teams, and those of them after which a team used over 80 % of its
    /// cap.
    std::uint64_t cappedStarts = 0;
    std::uint64_t startsNearCap = 0;
};

/// Runs the cell scheduler in virtual time against simulated workers, a simulated store and random
/// faults. Schedulers take over from one another; at times two are active at once.
///
///     cell_history history(seed, faults);
///     history.run(60 * second);
///     BOOST_TEST(history.violations().empty());
///
/// Every start that the workers accept is checked against the scheduling rules. The faults stop
/// before the end of the history, so that every accepted job must end.
class cell_history
{
public:
    cell_history(std::uint64_t seed, const history_faults &faults, int workers = 8);
    ~cell_history();

    /// Submits jobs and injects faults for `length`, then gives the jobs up to one minute without
    /// faults to end; both are virtual time. Must be called once.
    void run(microseconds length);

    /// Returns the rule violations found, in the order of detection; empty if there are none.
    const violation_list &violations() const;
    history_counts counts() const;

    struct state;

private:
    std::unique_ptr<state> m_state;
};

} // namespace bramleygrade::testing
