#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cell/scheduler.h"

namespace bramleygrade::testing {

/// A truncated log-normal distribution; `spread` is the coefficient of variation.
struct load_distribution
{
    double mean = 1;
    double spread = 0;
    double maximum = 1;
};

/// Jobs of one queue: their arrival rate, worth and shape. Shares are fractions from 0 to 1.
struct load_class
{
    cell::queue_policy policy;
    double jobsPerSecond = 1;
    /// Jobs that are submitted before the load begins.
    int initialJobs = 0;
    /// Worth of a job of mean size that completes by its objective, and of a late one.
    double worth = 1;
    double lateWorth = 0.2;
    load_distribution runSeconds;
    load_distribution steps;
    load_distribution tasks;
    load_distribution cpuMilli;
    load_distribution memoryMb;
    /// Variation of run time between the tasks of a step.
    double unevenness = 0;
    /// Largest relative error of the declared run time.
    double estimateError = 0;
    double gangShare = 0;
    double checkpointingShare = 0;
    /// Share of the steps that limit the tasks per worker.
    double spreadShare = 0;
    /// Share of the runs that fail; of a gang, the share of the gang's runs.
    double failingShare = 0;
    /// Share of the workers that the advisory service allows for a step.
    double allowedShare = 1;
    /// Share of the tasks, or of the gangs, that take `straggling` times as long.
    double stragglingShare = 0;
    double straggling = 1;
    /// Team of the jobs; empty: none. Classes of one team have the same policy.
    cell::team_policy team;
};

/// Raises the arrival rate of one class for some time.
struct load_burst
{
    std::size_t classIndex = 0;
    microseconds startsAfter = 0;
    microseconds length = 0;
    double factor = 1;
};

/// Tasks of one class take `factor` times as long while a task of the other is on the worker. Gangs
/// are not slowed.
struct load_clash
{
    std::size_t slowedClass = 0;
    std::size_t otherClass = 0;
    double factor = 1;
};

struct load_settings
{
    int workers = 1;
    int workersPerRack = 1;
    cell::resources capacity;
    /// Speeds of the workers, in turn.
    std::vector<double> speeds = {1.0};
    /// Kinds of the workers, in turn; empty: workers have no kind. The registry shows the kind as a
    /// label.
    std::vector<std::string> kinds;
    /// A stopped run that checkpoints saves all its work; otherwise the work since its last
    /// checkpoint is lost.
    bool savesWhenStopped = true;
    /// As `scheduler_settings::workerSpeeds`.
    bool workerSpeeds = true;
    /// Entries that call the advisory service; the service answers the calls of each in turn.
    int entries = 1;
    std::vector<load_class> classes;
    std::vector<load_burst> bursts;
    microseconds length = 0;
    microseconds checkpointInterval = second;
    microseconds restoreTime = 0;
    microseconds stopTimeout = 0;
    microseconds gangTimeout = 4 * second;
    std::vector<load_clash> clashes;
    bool separateClashingTasks = true;
    /// The configuration has the teams of the classes; otherwise it has none.
    bool hasTeams = false;
};

/// What one job has earned.
struct load_job_outcome
{
    std::size_t classIndex = 0;
    /// Processor time of all tasks on workers of mean speed, core-seconds.
    double coreSeconds = 0;
    bool completedOnTime = false;
    bool completedLate = false;
    /// Time for which gangs of the job waited for each obstacle, s. `queuedForAdvice`: of it, while
    /// a call for advice was queued.
    std::map<cell::gang_obstacle, double> gangWaits;
    double queuedForAdvice = 0;
    double worthOwed = 0;
    double worthEarned = 0;
};

/// What the jobs of one class have earned. The worth of a job grows with its work.
struct load_class_outcome
{
    int jobs = 0;
    int completedOnTime = 0;
    int completedLate = 0;
    double worthOwed = 0;
    double worthEarned = 0;
    /// Core-seconds of work that was stopped or broken off and not saved.
    double wastedCoreSeconds = 0;
    /// Core-seconds that preemption costs the stopped runs: work that was not saved, the time from
    /// the order to the end, and the time to restore the checkpoint.
    double preemptedCoreSeconds = 0;
    /// Times from a gang's submission to the beginning of its work, for steps that depend on none.
    std::vector<double> gangWaitSeconds;
    int refused = 0;
    int beyondShare = 0;
};

/// Time within which a second preemption of a task's run counts as repeated.
constexpr microseconds repeatedPreemption = 5 * second;

struct load_outcome
{
    std::vector<load_class_outcome> classes;
    /// All jobs, in the order of their submission.
    std::vector<load_job_outcome> jobs;
    cell::scheduler_counters counters;
    /// Runs that were preempted more than once within `repeatedPreemption`.
    int repeatedPreemptions = 0;
    /// Hash over all starts, stops, polls and advice calls with their times; equal for two runs
    /// that have decided alike.
    std::uint64_t ordersHash = 14'695'981'039'346'656'037ULL;
    /// Speeds of the workers were used at the end.
    bool speedsUsed = false;
    double refusedTickets = 0;
    /// Mean share of the workers' processors with a run or a reservation.
    double meanUsedShare = 0;
    /// Share of the time of runs of `load_clash::slowedClass` beside tasks that slow them.
    double slowedShare = 0;
    std::uint64_t separatedTasks = 0;
    /// `interference_noticed` and `interference_forgotten`, with their details.
    std::vector<std::string> interferenceEvents;
    /// Highest evidence for a pair at the end, as `errorsAboveThreshold`.
    double mostEvident = 0;
};

/// Offers a load of jobs to the cell scheduler in virtual time, with workers, a store and an
/// advisory service that take time but do not fail, and returns what was earned. Jobs have
/// `drainTime` after the load to end.
///
/// A gang works from the moment when all its members are present; one end of a member counts for
/// all. The advisory service allows a fixed random subset of the workers for each step.
load_outcome simulateLoad(const load_settings &settings, std::uint64_t seed);

} // namespace bramleygrade::testing
