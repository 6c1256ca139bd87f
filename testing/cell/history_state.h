#pragma once

#include "testing/cell/cell_history.h"

namespace bramleygrade::testing {

/// The policy of the queue with this priority.
cell::queue_policy makePolicy(int priority);

/// One scheduler process in virtual time.
struct scheduler_double
{
    cell::scheduler cell;
    bool alive = true;
    timestamp pausedUntil = 0;
    bool writeInFlight = false;
};

using scheduler_pointer = std::shared_ptr<scheduler_double>;

struct timed_event
{
    std::uint64_t order = 0;
    std::function<void()> run;
};

struct cell_history::state
{
    std::mt19937_64 random;
    history_faults trouble;
    timestamp now = 100 * second;
    std::uint64_t nextEvent = 0;
    std::multimap<timestamp, timed_event> events;
    std::map<std::string, worker_double> workers;
    std::set<std::string> cutOff;
    std::set<std::string> unlisted;
    run_ledger ledger;
    store_double store;
    std::vector<scheduler_pointer> schedulers;
    std::set<std::string> accepted;
    bool calm = false;
    int nextWorker = 0;
    int nextJob = 0;
    history_counts counts;

    void at(timestamp when, std::function<void()> run);
    bool chance(double share);
    microseconds between(microseconds least, microseconds most);
    void every(microseconds mean, const std::function<void()> &run);

    void addWorker();
    /// What the scheduler may learn: workers that it does not know yet only while it is confirmed.
    std::vector<cell::worker_entry> registryFor(const cell::scheduler &cell) const;
    void takeOver();
    void tick(const scheduler_pointer &scheduler);
    void carryOut(const scheduler_pointer &scheduler, const cell::orders &orders);
    void sendStart(const scheduler_pointer &scheduler, const cell::start_order &order);
    void sendStop(const scheduler_pointer &scheduler, const cell::stop_order &order);
    void sendLook(const scheduler_pointer &scheduler, const cell::poll_order &order);
    void write(const scheduler_pointer &scheduler);
    void submit();
    void startTrouble();
    void checkEnd();
};

} // namespace bramleygrade::testing
