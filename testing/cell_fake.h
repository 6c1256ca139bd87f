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
/// Runs real decision cores in virtual time on fakes of the table, the instance list, the workers
/// and a network that loses, duplicates and delays messages. Single-threaded and deterministic:
/// equal options give equal histories.

namespace bramleygrade {

/// True time, as opposed to the entries' local time, at which a history begins.
constexpr timestamp historyStart = 1'000'000 * second;

/// A period of true time in which a fault is active.
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
    /// Probability, in thousandths, that a message is lost, duplicated or late by up to 2 s.
    int lossPerMille = 0;
    int duplicatePerMille = 0;
    int delayPerMille = 0;
    /// Probability, in thousandths, that a table transaction is lost before it takes effect, that
    /// its answer is lost, or that it takes effect up to 6 s late.
    int tableLossPerMille = 0;
    int tableAnswerLossPerMille = 0;
    int tableDelayPerMille = 0;
    /// Probability, in thousandths, that the answer of an endpoint or a worker is lost.
    int answerLossPerMille = 0;
    /// Clocks of entries have an offset of up to 30 ms and a rate error of up to 0.1 %.
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
    /// Rate error of the clock, in parts per million.
    std::int64_t clockDriftPpm = 0;
    std::vector<fault_window> tablePartitions;
    std::vector<fault_window> peerPartitions;
    std::uint64_t generation = 0;
    /// Publication time of the newest instance list that the entry has received.
    timestamp newestListAt = distantFuture;
};

struct cell_worker
{
    worker_fake tasks;
    bool isAlive = true;
    timestamp leavingSince = distantFuture;
    timestamp diedAt = distantFuture;
    int activeRequests = 0;
    /// Requests fail immediately with status 500.
    bool failsRequests = false;
    int slowFactor = 1;
    std::vector<fault_window> silentWindows;
    int peakActiveRequests = 0;
};

/// One attempt that an endpoint accepted and ran.
struct endpoint_run
{
    std::string requestId;
    std::string body;
    std::string worker;
    std::string domain;
    timestamp at = 0;
};

/// A value of the `allowed_domains` of a service, valid from its commit in the table.
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
    /// Size of the bodies of worker calls and of their answers.
    std::uint64_t workerBytes = 0;
    std::uint64_t dispatches = 0;
};

/// Discrete-event simulation of a cell. `run` executes the scheduled functions in order of time;
/// all other members may be called from scheduled functions.
class cell_fake
{
public:
    using action = std::function<void()>;

    explicit cell_fake(const cell_options &options);

    timestamp now() const { return m_now; }
    void at(timestamp when, action callback);
    void after(microseconds delay, action callback) { at(m_now + delay, std::move(callback)); }
    void run(timestamp until);

    /// Starts the entry, as a new incarnation if it ran before.
    void startEntry(int index);
    void killEntry(int index);
    void pauseEntry(int index, microseconds span);
    void killWorker(int index);
    void markWorkerLeaving(int index);

    /// Delivers an event to the entry, after its pause if it is paused. The event is lost if the
    /// entry dies or restarts before that.
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
    /// Called with each call that arrives at a worker, whether or not the worker is alive.
    std::function<void(int entry, const worker_call &)> onWorkerCall;
    /// Called with each transaction that reaches the table.
    std::function<void(int entry, const table_request &, const table_response &)> onTransaction;
    /// Called with answers to callers and operators, and when an entry reports it has drained.
    std::function<void(int entry, const answer_caller &)> onAnswer;
    std::function<void(int entry, const answer_operator &)> onOperatorAnswer;
    std::function<void(int entry)> onDrained;

private:
    struct scheduled_action
    {
        timestamp at;
        std::uint64_t order;
        std::shared_ptr<action> callback;
    };
    struct scheduled_later
    {
        bool operator()(const scheduled_action &left, const scheduled_action &right) const
        {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };
    struct instance_list_snapshot
    {
        timestamp at;
        std::vector<instance> instances;
    };

    void tickEntry(int index, std::uint64_t generation);
    void pollInstanceList(int index, std::uint64_t generation);
    void step(int index, const event &input);
    void executeCommand(int index, command wanted);
    void transact(int index, const table_command &wanted);
    void applyTransaction(int index, std::uint64_t generation, const table_command &wanted);
    void sendMessage(int index, const peer_message &message);
    void sendRequest(int index, const dispatch_request &wanted);
    void arriveAtEndpoint(int index, const dispatch_request &wanted);
    void finishAttempt(int index, const dispatch_request &wanted, endpoint_outcome outcome,
                       int status, const std::string &body);
    void callWorker(int index, const worker_call &wanted);
    void arriveAtWorker(int index, const worker_call &wanted, timestamp askedAt);
    void publishInstanceList();
    int indexOfIdentity(const std::string &identity) const;
    int indexOfWorker(const std::string &name) const;
    microseconds networkDelay();

    cell_options m_options;
    std::mt19937_64 m_random;
    timestamp m_now = historyStart;
    std::uint64_t m_nextOrder = 1;
    std::priority_queue<scheduled_action, std::vector<scheduled_action>, scheduled_later> m_queue;
    std::vector<cell_entry> m_entries;
    std::vector<cell_worker> m_workers;
    table_fake m_table;
    std::deque<instance_list_snapshot> m_instanceLists;
};

/// Applies, as an operator through the first entry, a new document of the service `booking`, which
/// the fake workers serve, with all domains allowed.
void applyDocumentForAllDomains(cell_fake &cell, service_document document);

bool isWithin(const std::vector<fault_window> &windows, timestamp now);

} // namespace bramleygrade
