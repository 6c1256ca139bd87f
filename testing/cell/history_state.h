#pragma once

#include "testing/cell/cell_driver.h"
#include "testing/cell/cell_history.h"

namespace bramleygrade::testing {

/// Returns the policy of the queue with this priority.
cell::queue_policy makePolicy(int priority, bool needsAdvice = false);

/// One scheduler process in virtual time.
struct simulated_scheduler
{
    cell::scheduler cell;
    bool alive = true;
    timestamp pausedUntil = 0;
    /// Time of the newest proof that there was no successor.
    timestamp confirmedAt = distantPast;
    /// Time at which the last entry that confirms this scheduler hears of its successor.
    timestamp confirmedUntil = distantFuture;
    bool writeInFlight = false;
    /// Start of the life to which a connection is open, by worker.
    std::map<std::string, timestamp> connectedLives;
};

using scheduler_pointer = std::shared_ptr<simulated_scheduler>;

struct timed_event
{
    std::uint64_t order = 0;
    std::function<void()> run;
};

struct cell_history::state
{
    std::mt19937_64 random;
    history_faults injectedFaults;
    timestamp now = 100 * second;
    std::uint64_t eventCount = 0;
    std::multimap<timestamp, timed_event> events;
    std::map<std::string, simulated_worker> workers;
    std::set<std::string> partitionedWorkers;
    /// Workers that are cut off from all schedulers from this epoch on.
    std::map<std::string, std::int64_t> workersCutOffFrom;
    std::set<std::string> unregisteredWorkers;
    /// Workers that have started again, whose former entries the registry goes on showing.
    std::set<std::string> hiddenWorkers;
    /// Workers that carry out orders and whose answers are lost.
    std::set<std::string> mutedWorkers;
    execution_record record;
    simulated_store store;
    std::vector<scheduler_pointer> schedulers;
    std::set<std::string> accepted;
    bool faultsStopped = false;
    timestamp lastTakeoverAt = 0;
    /// Jobs that are left waiting, and since when.
    std::map<std::string, timestamp> waitingSince;
    int workerCount = 0;
    int jobCount = 0;
    history_counts counts;

    /// Schedules `run` for the time `when`, or for now if `when` has passed.
    void scheduleAt(timestamp when, std::function<void()> run);
    /// Returns true with this probability.
    bool drawBool(double probability);
    /// Draws from a uniform distribution that includes both bounds.
    microseconds drawBetween(microseconds minimum, microseconds maximum);
    /// Draws the run time of a task outside gangs.
    microseconds drawDuration(bool mayBeLong);
    /// Schedules `run` at random intervals until the faults stop; `meanInterval` 0: never.
    void scheduleRecurring(microseconds meanInterval, const std::function<void()> &run);

    void addWorker();
    /// Changes the capacity of a random worker; the registry shows it with the worker's next
    /// heartbeat.
    void changeRandomCapacity();
    void changeCapacity(const std::string &worker, const cell::resources &capacity);
    /// Writes the worker's registry entry, as soon as the store is up.
    void reportCapacity(const std::string &worker);
    /// Gives all workers their full capacity.
    void restoreCapacities();
    /// Crashes the worker if it is up; another one starts at its address some seconds later, or the
    /// worker itself under its id.
    void replaceWorker(const std::string &id);
    /// Crashes the worker if it is up, and starts it again under its id later.
    void crashAndRestart(const std::string &id);
    /// Returns true if an order to the worker, which is down and may start again, stays on its way.
    bool isConnectionRetried(const std::string &id);
    /// Starts the worker again under its id; the registry shows it later.
    void startAgain(const std::string &id);
    /// Calls `restartAndCutOff` for a third of the workers, while the newest scheduler is paused if
    /// nothing is to show the new lives.
    void cutOffRestartedWorkers();
    /// Crashes the worker if it is up, starts it again under its id within a second and cuts it off
    /// soon after. The registry shows the new life at once, or not before the cut is over.
    void restartAndCutOff(const std::string &id);
    /// Returns the start time that the worker tells at its next start: later than the last one,
    /// earlier as its clock was set back, or none.
    std::int64_t drawStartTime(const simulated_worker &worker);
    /// Returns the worker that answers at the address of the worker of this id.
    simulated_worker &findAnswering(const std::string &id);
    /// Carries out a start order sent at `sentAt`; the worker crashes if the task makes it.
    cell::order_outcome startTask(const cell::start_order &order, timestamp sentAt);
    /// Checks that failed jobs have a task that failed often enough or crashed two workers.
    void checkFailedJobs();
    /// Returns the list of workers that the scheduler receives from the registry. Workers that it
    /// does not know yet are included only while the store is up and holds the scheduler's epoch.
    std::vector<cell::worker_entry> readRegistry(const cell::scheduler &cell) const;
    /// Starts a scheduler with the next epoch and the stored state.
    void takeOver();
    void tick(const scheduler_pointer &scheduler);
    /// Whether the scheduler's leadership was confirmed less than `confirmationTimeout` ago. The
    /// newest scheduler is confirmed by the other entries; an earlier one is confirmed for a short
    /// time after its successor took over, and is not told of it.
    bool isConfirmed(const scheduler_pointer &scheduler);
    void sendOrders(const scheduler_pointer &scheduler, const cell::orders &orders);
    void sendStart(const scheduler_pointer &scheduler, const cell::start_order &order);
    void sendStop(const scheduler_pointer &scheduler, const cell::stop_order &order);
    void sendPoll(const scheduler_pointer &scheduler, const cell::poll_order &order);
    /// Delivers a poll that was sent at `sentAt` and whose worker holds it no longer.
    void sendPollNow(const scheduler_pointer &scheduler, const cell::poll_order &order,
                     timestamp sentAt);
    void writeChanges(const scheduler_pointer &scheduler);
    /// Returns the configuration with this index of `record.capVersions`; without teams if there is
    /// none.
    cell::cell_config makeConfig(std::size_t version) const;
    /// Stores a version of the configuration with these shares of the usual caps, and schedules its
    /// adoption.
    void storeConfig(double shareOfFirst, double shareOfSecond);
    /// Schedules the adoption of the newest version of the configuration.
    void adoptConfig(const scheduler_pointer &scheduler);
    /// Checks the running totals of the teams against those computed from all tasks.
    void checkTotals(const cell::scheduler &cell);
    /// Checks that the jobs of which no worker has begun a task are told to callers as pending.
    void checkPendingJobs(const cell::scheduler &cell);
    /// Draws the team of a job; none if the job would never fit the team's cap.
    std::string drawTeam(const cell::job_spec &spec);
    /// Submits a random job to the newest live scheduler.
    void submitJob();
    void scheduleFaults();
    /// Cuts one worker off from the newest scheduler, with probability `successorPartitionShare`.
    /// Its predecessor still reaches the worker.
    void cutOffWorker();
    /// Returns true if orders of this epoch reach the worker.
    bool isReachable(const std::string &worker, std::int64_t epoch) const;
    /// Answers a call of the advisory service.
    void sendAdvice(const scheduler_pointer &scheduler, const cell::advice_order &queued);
    /// Returns true if the advisory service allows the worker for the step.
    bool isAllowed(const cell::task_id &step, const std::string &worker) const;
    /// Returns the free capacity of the workers allowed for the task, in tasks of its step.
    std::int64_t countFreeSlots(const cell::task_id &task) const;
    /// Returns true if under half of the workers' processors are in use.
    bool isHalfIdle() const;
    /// Returns true if nothing of the job runs although a task's turn has come and there is
    /// capacity for it twice over.
    bool isLeftWaiting(const std::string &job) const;
    /// Adds a violation for each accepted job that is left waiting for `maxWaiting`, from
    /// `settleTime` after the last takeover on.
    void checkWaitingJobs();
    /// Checks that every accepted job has ended and that completed jobs have run all their tasks.
    void checkFinalState();
};

} // namespace bramleygrade::testing
