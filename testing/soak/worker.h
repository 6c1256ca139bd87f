#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>
#include <rapidjson/document.h>

#include "net/http_server.h"
#include "table_store.h"

/// \file
/// Stand-in for a worker that guards no capacity. Each entry reaches it at a port of its own, so
/// that single links can fail.

namespace bramleygrade::soak {

/// What a step of a job does when it runs. The orders do not tell it.
struct step_behaviour
{
    int count = 1;
    std::int64_t cpuMilli = 0;
    bool gang = false;
    bool longRunning = false;
    bool checkpointing = false;
    microseconds duration = second;
};

/// One run of a task on a worker, from the start to the end that the worker lists.
struct observed_run
{
    std::string task;
    int attempt = 0;
    std::string worker;
    timestamp startedAt = 0;
    /// 0 while the run lasts.
    timestamp endedAt = 0;
    std::string how;
    /// When the end was acknowledged; 0: it was not.
    timestamp acknowledgedAt = 0;
    /// The worker's lease lapsed, or the worker crashed, before the end was acknowledged.
    bool isLost = false;
};

/// What the workers share: the behaviour of the tasks, and the runs seen so far.
struct run_book
{
    /// By job id; one element a step.
    std::map<std::string, std::vector<step_behaviour>> jobs;
    std::vector<observed_run> runs;
    /// Jobs of which a worker has begun a task.
    std::set<std::string> begunJobs;
    /// Members of each run of a gang that are present on all workers: job, occurrence, step and
    /// attempt, with the time since which all are present (0: not yet).
    std::map<std::string, std::pair<int, timestamp>> gangs;
};

struct worker_settings
{
    std::string id;
    std::string service;
    /// One for each entry.
    std::vector<std::string> addresses;
    std::int64_t cpuMilli = 32'000;
    std::int64_t memoryMb = 131'072;
    std::string rack = "r1-1";
    /// Rate of its clock; 1 is exact.
    double clockRate = 1;
};

/// How calls pass between one entry and the worker.
struct worker_link
{
    /// Number of cuts between the entry and the worker.
    int cuts = 0;
    /// Calls are neither carried out nor answered.
    bool silent = false;
    /// Calls are carried out and not answered.
    bool losesAnswers = false;
    /// Calls are carried out this much later, by the life that is there then.
    microseconds delay = 0;
};

class worker
{
public:
    worker(boost::asio::io_context &loop, table_store &store, run_book &book,
           worker_settings settings);

    std::string start();
    /// Ends what is due, beats, and answers the calls that wait for an end.
    void tick();

    /// The worker keeps running but neither it nor its callers reach each other or the store. Open
    /// connections are silent; new ones are refused if `refuses` is set.
    void cutOff(bool refuses);
    void reconnect();
    /// Its heartbeats do not reach the store, but calls reach it.
    void silenceHeartbeats(bool silent) { m_mutes += silent ? 1 : -1; }
    worker_link &linkOf(std::size_t entry) { return m_links[entry]; }
    /// Calls are carried out, but no answer reaches an entry, also of the calls that are held.
    void loseAnswers(bool loses);
    /// Calls neither arrive nor are answered; its heartbeats and the answers of held calls pass.
    void loseCalls(bool loses);
    /// The process ends without a word.
    void crash();
    /// Another process starts under the same id.
    void restart();
    /// Reports that the worker drains.
    void drain();

    const worker_settings &settings() const { return m_settings; }
    bool isUp() const { return m_up; }
    bool isReachable() const { return m_up && !m_cut; }
    std::size_t runCount() const { return m_runs.size(); }
    std::size_t unacknowledgedEnds() const { return m_ended.size(); }
    /// Processors in use, in thousandths of one.
    std::int64_t usedCpuMilli() const;
    bool hasRun(const std::string &task) const { return m_runs.count(task) > 0; }
    /// Time of the newest entry in the store.
    timestamp beatAt() const { return m_beatAt; }
    /// Removes the entry after three heartbeats of silence; done by the platform.
    void expireEntry();

private:
    using responder = net::http_server::responder;

    struct run
    {
        int attempt = 0;
        step_behaviour behaviour;
        std::string gangKey;
        timestamp startedAt = 0;
        timestamp stopEndsAt = 0;
        std::size_t record = 0;
    };

    struct ended_run
    {
        std::int64_t number = 0;
        std::string task;
        int attempt = 0;
        std::string how;
        std::string checkpoint;
        std::size_t record = 0;
    };

    struct hold_waiter
    {
        timestamp expiresAt = 0;
        responder respond;
    };

    void serve(std::size_t entry, const net::http_request &request, const responder &respond);
    void carryOut(const net::http_request &request, const responder &respond);
    void startRun(const rapidjson::Value &order, const responder &respond);
    void stopRun(const rapidjson::Value &order, const responder &respond);
    void hold(const rapidjson::Value &order, const responder &respond);
    bool acceptToken(const rapidjson::Value &order, const responder &respond);
    void extendLease(const rapidjson::Value &order);
    void endRun(const std::string &task, const std::string &how);
    /// Returns how the run ends now; empty if it goes on.
    std::string dueEnd(const run &current, timestamp now) const;
    std::string checkpointOf(const run &current, timestamp now) const;
    int percentOf(const run &current, timestamp now) const;
    std::string report() const;
    std::int64_t clockMs() const;
    void beat();
    /// Returns the worker's entry with this address.
    std::string describe(const std::string &address);
    std::string listen();
    void closePorts();
    void abandonWaiters();

    boost::asio::io_context &m_loop;
    table_store &m_store;
    run_book &m_book;
    worker_settings m_settings;
    std::vector<std::unique_ptr<net::http_server>> m_servers;
    std::vector<std::unique_ptr<net::http_server>> m_formerServers;
    std::vector<worker_link> m_links;
    std::map<std::string, run> m_runs;
    std::map<std::string, int> m_closedAttempts;
    std::deque<ended_run> m_ended;
    std::vector<hold_waiter> m_waiters;
    std::int64_t m_endCount = 0;
    std::int64_t m_token = 0;
    std::int64_t m_sequence = 0;
    timestamp m_bornAt = 0;
    std::int64_t m_bornMs = 0;
    timestamp m_leaseUntil = 0;
    timestamp m_beatAt = 0;
    bool m_up = true;
    bool m_cut = false;
    int m_mutes = 0;
    bool m_draining = false;
    bool m_isListed = false;
};

} // namespace bramleygrade::soak
