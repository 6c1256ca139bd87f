#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "cell/scheduler.h"
#include "entry/entry_settings.h"
#include "entry/event_log.h"
#include "entry/metrics.h"
#include "entry/ports.h"
#include "entry/rows.h"
#include "net/http_client.h"
#include "net/http_server.h"

/// \file
/// One entry of the cell: takes callers' requests, follows the scheduler, and is the scheduler
/// itself if it holds the head row. All entries are equal; all state here runs on one event loop.

namespace bramleygrade::entry {

enum class entry_role { follower, claiming, loading, scheduler };

using answer_function = std::function<void(caller_answer)>;

/// A call that waits for its change to be stored.
struct write_waiter
{
    call_kind kind = call_kind::submit;
    timestamp expiresAt = distantFuture;
    answer_function answer;
};

/// Calls to the advisory service that one entry makes for the scheduler.
struct advice_client_state
{
    int inFlight = 0;
    timestamp backoffUntil = distantPast;
};

/// What only the scheduler has.
struct leader_state
{
    cell::scheduler cell;
    std::int64_t headVersion = 0;
    std::int64_t sequence = 0;
    /// Wall-clock time at which each job that is not stored yet was accepted, microseconds since
    /// 1970.
    std::map<std::string, std::int64_t> acceptedWall;
    /// Jobs of the write under way that must not have ended under an earlier scheduler.
    std::vector<std::string> newJobsInWrite;
    /// Ended jobs of the write under way whose rows are still to be removed.
    std::vector<std::string> endedInPlace;
    /// The changes that waited when the write under way was built did not fit into it.
    bool backlogExceedsWrite = false;
    std::optional<table_write> write;
    std::int64_t writeSequence = 0;
    /// An earlier try of the write under way got no answer, so that it may have had effect.
    bool writeMayHaveCommitted = false;
    bool writeInFlight = false;
    timestamp writeStartedAt = distantPast;
    /// When the newest try of the write under way was sent; older ones may still be answered.
    timestamp attemptedAt = distantPast;
    /// Number of the newest try of any write.
    std::int64_t attemptCount = 0;
    /// Number of the first try of the write under way.
    std::int64_t firstAttempt = 0;
    /// The write under way has failed at least once.
    bool hasWriteFailed = false;
    /// Time that a write takes, smoothed over the last few.
    microseconds averageWriteTime = 0;
    timestamp nextWriteAt = distantPast;
    /// When a change that waits for `nextWriteAt` can be written.
    timestamp writeWakeAt = distantFuture;
    timestamp writtenAt = distantPast;
    std::multimap<std::string, write_waiter> waiters;
    /// Calls that came while the rows were being loaded.
    std::vector<std::function<void()>> deferredCalls;
    /// What the registry says of the workers, by row key.
    std::map<std::string, cell::worker_entry> registry;
    std::int64_t registryVersion = 0;
    bool isDecisionPosted = false;
    /// Decisions that take long are spaced, so that events, answers and signs of life come between.
    timestamp decideNotBefore = distantPast;
    timestamp decideWakeAt = distantFuture;
    timestamp timerExpiresAt = distantFuture;
    /// The newest proof that nobody else is the scheduler.
    timestamp confirmedAt = distantPast;
    bool suspended = false;
    timestamp nextHeartbeatAt = distantPast;
    timestamp nextMemberListAt = distantPast;
    timestamp nextHandoverAt = distantPast;
    bool handoverInFlight = false;
    /// Which of the other entries is asked next.
    std::size_t nextSuccessorIndex = 0;
    /// The lead is to be given away: once the write under way has ended, none is begun before
    /// another entry was asked, so that its claim does not find a newer head row.
    bool isHandoverRequested = false;
    /// The last entry that was asked did not take over: what waits is written first.
    bool mustWriteBeforeHandover = false;
    std::map<std::string, int> missedHeartbeats;
    /// The row of members in the store is out of date.
    bool membersChanged = true;
    std::map<std::string, advice_client_state> adviceClients;
    std::vector<cell::advice_order> adviceQueue;
};

/// A caller's call on its way to the scheduler.
struct forwarded_call
{
    caller_call call;
    timestamp deadline = distantFuture;
    timestamp holdUntil = distantFuture;
    answer_function answer;
    /// An attempt may have taken effect.
    bool mayHaveTakenEffect = false;
    bool inFlight = false;
    /// Raised with each attempt, so that answers to former ones are told apart.
    int attempt = 0;
    bool answered = false;
};

struct entry_state
{
    entry_state(boost::asio::io_context &context, cell_settings given);

    boost::asio::io_context &loop;
    cell_settings settings;
    platform_ports ports;
    event_log log;
    entry_metrics metrics;
    net::http_client client;
    std::unique_ptr<net::http_server> callers;
    std::unique_ptr<net::http_server> readiness;
    std::unique_ptr<net::http_server> peers;
    std::unique_ptr<net::http_server> metricsServer;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer decideTimer;

    std::string incarnation;
    cell::cell_config config;
    std::int64_t configWatchVersion = 0;
    timestamp configReadAt = distantPast;

    entry_role role = entry_role::follower;
    /// Highest epoch seen, and whose it is.
    std::int64_t epoch = 0;
    member scheduler;
    /// When the scheduler's newest sign of life came.
    timestamp schedulerSeenAt = distantPast;
    std::map<std::string, std::int64_t> pending;
    timestamp pendingAt = distantPast;
    std::map<std::string, std::string> members;
    /// Processor shares of the members that have told them, thousandths.
    std::map<std::string, std::int64_t> processorShares;
    /// Where the scheduler's signs of life come from, HOST:PORT.
    std::string heartbeatPeer;
    bool isProbing = false;
    timestamp nextProbeAt = distantPast;
    std::unique_ptr<leader_state> leaderState;
    std::list<std::shared_ptr<forwarded_call>> forwardedCalls;
    bool storeReachable = true;
    bool stopping = false;
    timestamp stopAt = distantFuture;
    bool finished = false;
    timestamp lastTickAt = distantPast;
};

/// Microseconds of a steady clock that also counts time in which the instance was suspended.
timestamp steadyNow();
/// Microseconds since 1970.
std::int64_t wallNow();

template <typename... Fields>
void logEvent(entry_state &entry, const char *event, log_fields fields)
{
    writeEvent(entry.log, wallNow(), event, fields);
}

member self(const entry_state &entry);

// daemon.cpp
/// Listens, follows the configuration and the scheduler. Returns an empty text, or what keeps the
/// entry from starting and what to do.
std::string startEntry(entry_state &entry);
/// Takes no new connections, hands a lead over, and ends once what is in progress is answered.
void beginStop(entry_state &entry);

// callers.cpp
void serveCaller(entry_state &entry, const net::http_request &request,
                 const net::http_server::responder &respond);
/// Sends waiting calls again, after the scheduler has changed.
void resendForwarded(entry_state &entry);
void expireForwarded(entry_state &entry, timestamp now);

// peers.cpp
/// A connection that other entries had opened is gone.
void onPeerClosed(entry_state &entry, const std::string &peer);
void servePeer(entry_state &entry, const net::http_request &request,
               const net::http_server::responder &respond);
/// What the scheduler tells the other entries; the counts only once its rows are loaded.
heartbeat_message makeHeartbeat(const entry_state &entry);
void sendHeartbeats(entry_state &entry, timestamp now);
void sendPeer(entry_state &entry, const std::string &address, const std::string &path,
              std::string body, microseconds patience, bool idempotent,
              std::function<void(net::call_result)> done);

// membership.cpp
void monitorScheduler(entry_state &entry, timestamp now);
/// The scheduler may be gone: the next look for it does not wait for more silence.
void suspectScheduler(entry_state &entry);
void recordProcessorShare(entry_state &entry, const member &other);
/// Hands the lead over if another entry has a much larger processor share; the work of the
/// scheduler grows with the cell, that of the others does not.
void handOverToLarger(entry_state &entry, timestamp now);
void recordScheduler(entry_state &entry, std::int64_t epoch, const member &scheduler,
                     timestamp now);
void readHead(
    entry_state &entry,
    const std::function<void(store_result, std::optional<head_row>, std::int64_t version)> &done);
void claimHead(entry_state &entry, std::int64_t version, std::int64_t epoch,
               const std::function<void(bool)> &done);
/// Asks another entry to take over, each time the next one.
void handOver(entry_state &entry, const std::function<void(bool)> &done);
void handOverTo(entry_state &entry, const std::string &address,
                const std::function<void(bool)> &done);
void stepDown(entry_state &entry, const char *reason);

// leading.cpp
void startLeading(entry_state &entry, std::int64_t headVersion);
void requestDecision(entry_state &entry);
void runOrders(entry_state &entry, const cell::orders &orders);
void tickLeader(entry_state &entry, timestamp now);

// writes.cpp
/// Whether the write under way takes so long that the store must be down or slow.
bool isStoreSlow(const leader_state &leaderState, timestamp now);
/// When a change made now can be expected in the store, by the writes ahead of it and the time
/// that the last ones took.
timestamp expectedStoredAt(const leader_state &leaderState, timestamp now);
void advanceWrites(entry_state &entry);
void expireWaiters(entry_state &entry, timestamp now);

// calls.cpp
void handleCall(entry_state &entry, const caller_call &call, timestamp deadline,
                const answer_function &answer);

// watches.cpp
/// Runs `run` on the entry's loop after the pause, unless the loop has ended.
void runAfter(entry_state &entry, microseconds pause, const std::function<void()> &run);
void watchConfig(entry_state &entry);
void watchWorkers(entry_state &entry, std::int64_t epoch);

// advisers.cpp
void queueAdvice(entry_state &entry, const cell::advice_order &order);
/// Makes the calls that wait and have an entry to make them.
void dispatchAdvice(entry_state &entry);

} // namespace bramleygrade::entry
