#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bramleygrade/decision_core.h"
#include "testing/table_fake.h"
#include "testing/worker_fake.h"

/// \file
/// Real decision cores in virtual time over small fakes: a table, an instance list, workers and a
/// network that loses, repeats and delays. One thread; the same options give the same history.

namespace bramleygrade {

/// True time of the fake world when a history begins.
constexpr timestamp historyStart = 1'000'000 * second;

/// A span of true time in which something is broken.
struct fault_window
{
    timestamp from = 0;
    timestamp until = 0;
};

struct cell_options
{
    std::uint64_t seed = 1;
    int entries = 5;
    int racks = 3;
    int workersPerRack = 2;
    int slots = 4;
    microseconds tickInterval = 50 * millisecond;
    /// Chance in thousandths that a message is lost, repeated, or late by up to 2 s.
    int lossPerMille = 0;
    int duplicatePerMille = 0;
    int delayPerMille = 0;
    /// The same for table transactions: lost before, lost answer after, effect late by up to 6 s.
    int tableLossPerMille = 0;
    int tableAnswerLossPerMille = 0;
    int tableDelayPerMille = 0;
    /// Answers of endpoints and workers that are lost.
    int answerLossPerMille = 0;
    /// Clocks of entries are off by up to 30 ms and run wrong by up to 0.1 %.
    bool hasClockErrors = false;
    microseconds answerTime = 20 * millisecond;
    microseconds listLag = 2 * second;
};

struct cell_entry
{
    std::string name;
    std::string domain;
    std::unique_ptr<decision_core> core;
    bool isAlive = false;
    timestamp pausedUntil = 0;
    microseconds clockOffset = 0;
    /// Error of the clock's rate in parts per million.
    std::int64_t clockDriftPpm = 0;
    std::vector<fault_window> tablePartitions;
    std::vector<fault_window> peerPartitions;
    std::uint64_t generation = 0;
    /// Time of the newest list that the entry has got.
    timestamp newestListAt = distantFuture;
};

struct cell_worker
{
    worker_fake tasks;
    bool isAlive = true;
    timestamp leavingSince = distantFuture;
    timestamp diedAt = distantFuture;
    int activeRequests = 0;
    /// Requests fail at once with status 500.
    bool failsRequests = false;
    int slowFactor = 1;
    std::vector<fault_window> silentWindows;
    int peakActiveRequests = 0;
};

/// One attempt that reached an endpoint.
struct endpoint_run
{
    std::string requestId;
    std::string body;
    std::string worker;
    std::string domain;
    timestamp at = 0;
};

/// A state of the `allowed_domains` of a service, from its commit in the table on.
struct document_change
{
    timestamp at = 0;
    std::string service;
    std::vector<std::string> allowedDomains;
};

struct cell_counters
{
    std::uint64_t tableReads = 0;
    std::uint64_t tableWrites = 0;
    std::uint64_t peerMessages = 0;
    std::uint64_t peerBytes = 0;
    std::uint64_t workerCalls = 0;
    /// Bodies of worker calls and of their answers.
    std::uint64_t workerBytes = 0;
    std::uint64_t dispatches = 0;
};

/// The fake world. `run` carries out what is scheduled; everything else may be called from
/// scheduled functions.
class cell_fake
{
public:
    using action = std::function<void()>;

    explicit cell_fake(const cell_options &options);

    timestamp now() const { return m_now; }
    void at(timestamp when, action what);
    void after(microseconds delay, action what) { at(m_now + delay, std::move(what)); }
    void run(timestamp until);

    /// Starts the entry, as a new incarnation where it ran before.
    void startEntry(int index);
    void killEntry(int index);
    void pauseEntry(int index, microseconds span);
    void killWorker(int index);
    void markWorkerLeaving(int index);

    /// Hands an event to the entry once it is not paused; lost where it has died meanwhile.
    void deliver(int index, event input);
    timestamp localTime(int index) const;

    std::vector<cell_entry> &entries() { return m_entries; }
    std::vector<cell_worker> &workers() { return m_workers; }
    table_fake &table() { return m_table; }
    std::mt19937_64 &random() { return m_random; }
    std::uint64_t draw(std::uint64_t limit) { return m_random() % limit; }
    bool drawBernoulli(int perMille) { return static_cast<int>(draw(1000)) < perMille; }

    std::vector<fault_window> tableOutages;
    std::vector<endpoint_run> runs;
    std::vector<document_change> documentChanges;
    cell_counters counters;
    /// Called with each call that reached a worker.
    std::function<void(int entry, const worker_call &)> onWorkerCall;
    /// Called with each transaction that reached the table.
    std::function<void(int entry, const table_request &, const table_response &)> onTransaction;
    /// Called with answers for callers and operators, and when an entry reports that it has
    /// drained.
    std::function<void(int entry, const answer_caller &)> onAnswer;
    std::function<void(int entry, const answer_operator &)> onOperatorAnswer;
    std::function<void(int entry)> onDrained;

private:
    struct scheduled
    {
        timestamp at;
        std::uint64_t order;
        std::shared_ptr<action> what;
    };
    struct later
    {
        bool operator()(const scheduled &left, const scheduled &right) const
        {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };
    struct listed_state
    {
        timestamp at;
        std::vector<instance> instances;
    };

    void tickEntry(int index, std::uint64_t generation);
    void pollList(int index, std::uint64_t generation);
    void step(int index, const event &input);
    void carryOut(int index, command wanted);
    void transact(int index, const table_command &wanted);
    void applyTransaction(int index, std::uint64_t generation, const table_command &wanted);
    void sendMessage(int index, const peer_message &message);
    void sendRequest(int index, const dispatch_request &wanted);
    void arriveAtEndpoint(int index, const dispatch_request &wanted);
    void finishAttempt(int index, const dispatch_request &wanted, endpoint_outcome outcome,
                       int status, const std::string &body);
    void callWorker(int index, const worker_call &wanted);
    void arriveAtWorker(int index, const worker_call &wanted, timestamp askedAt);
    void changeList();
    int indexOfIdentity(const std::string &identity) const;
    int indexOfWorker(const std::string &name) const;
    microseconds networkDelay();

    cell_options m_options;
    std::mt19937_64 m_random;
    timestamp m_now = historyStart;
    std::uint64_t m_nextOrder = 1;
    std::priority_queue<scheduled, std::vector<scheduled>, later> m_queue;
    std::vector<cell_entry> m_entries;
    std::vector<cell_worker> m_workers;
    table_fake m_table;
    std::deque<listed_state> m_lists;
};

/// An operator applies a new document of the service `booking`, the one that the fake workers
/// answer, allowed in all domains, through the first entry.
void applyDocumentForAllDomains(cell_fake &cell, service_document document);

bool isWithin(const std::vector<fault_window> &windows, timestamp now);

} // namespace bramleygrade
