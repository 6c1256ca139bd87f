#pragma once

#include <functional>
#include <memory>
#include <random>

#include "testing/cell/simulated_worker.h"

namespace bramleygrade::testing {

/// How often what goes wrong in a history; all shares are of one.
struct history_faults
{
    double lostAnswers = 0;
    /// Orders without an answer that are carried out seconds later.
    double lateOrders = 0;
    /// Mean time between events of each kind; 0: never.
    microseconds schedulerDeathEvery = 0;
    microseconds schedulerPauseEvery = 0;
    microseconds workerCrashEvery = 0;
    microseconds workerCutEvery = 0;
    microseconds storeOutageEvery = 0;
    double failingTasks = 0.1;
    double cancelledJobs = 0.05;
    /// Steps whose tasks run together or not at all.
    double gangs = 0.3;
    double checkpointing = 0.5;
    /// Share of the workers' entries that the registry loses in an outage of the store.
    double lapsingEntries = 0.5;
};

/// The rows that outlive a scheduler.
struct store_double
{
    std::int64_t epoch = 0;
    std::map<std::string, std::string> jobs;
    std::map<std::string, std::string> progress;
    std::map<std::string, cell::job_phase> ended;
    /// Rows that stand in place of the jobs' own.
    std::map<std::string, std::string> endedInPlace;
    /// Workers in use.
    std::string workers = "{}";
    bool up = true;
};

struct history_counts
{
    std::uint64_t jobs = 0;
    std::uint64_t completed = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t crashes = 0;
    std::uint64_t starts = 0;
};

/// Schedulers one after another, sometimes two at once, over workers and a store in virtual time.
///
///     cell_history history(seed, faults);
///     history.run(60 * second);
///     BOOST_TEST(history.faults().empty());
///
/// The ledger sees what the workers did; the faults stop before the end, so that every accepted
/// job must end.
class cell_history
{
public:
    cell_history(std::uint64_t seed, const history_faults &faults, int workers = 8);
    ~cell_history();

    /// Trouble for `length`, then calm until all jobs have ended or a minute has passed.
    void run(microseconds length);

    const fault_list &faults() const;
    history_counts counts() const;

    struct state;

private:
    std::unique_ptr<state> m_state;
};

} // namespace bramleygrade::testing
