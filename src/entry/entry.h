#pragma once

#include <array>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "cell/advice/advice_clients.h"
#include "cell/scheduler.h"
#include "entry/authentication/caller_keys.h"
#include "entry/authentication/config_confirmation.h"
#include "entry/config_transfer.h"
#include "entry/entry_settings.h"
#include "entry/event_log.h"
#include "entry/liveness.h"
#include "entry/metrics.h"
#include "entry/observation.h"
#include "entry/ports.h"
#include "entry/rows.h"
#include "net/http_client.h"
#include "net/http_server.h"

/// \file
/// One entry of the cell. Each entry serves callers and forwards their calls to the scheduler. The
/// entry that holds the head row is the scheduler (the leader); all others are followers. Every
/// entry can become the scheduler. All state of an entry is used on its event loop only.

namespace bramleygrade::entry {

/// Interval of the event loop's timer.
constexpr microseconds tickInterval = 50 * millisecond;

/// `claiming`: a write of the head row is under way; `loading`: the claim has succeeded and the
/// rows are being read; `scheduler`: the entry decides.
enum class entry_role { follower, claiming, loading, scheduler };

using answer_function = std::function<void(caller_answer)>;

enum class lookup_outcome {
    failed, ///< the rows could not be read
    found,
    no_such_job, ///< no accepted job has this id
};

/// What the rows say about a job; `phase` is used if it was found.
struct job_lookup
{
    lookup_outcome outcome = lookup_outcome::failed;
    cell::job_phase phase = cell::job_phase::queued;
    /// Team that the job belongs to; empty if none.
    std::string team;
};

using lookup_completion = std::function<void(job_lookup)>;

/// A call that is answered once its change is stored, or at `expiresAt`.
struct write_waiter
{
    call_kind kind = call_kind::submit;
    timestamp expiresAt = distantFuture;
    answer_function answer;
};

/// A call that the scheduler holds until it has the configuration that admitted the call.
struct held_call
{
    caller_call call;
    timestamp deadline = distantFuture;
    answer_function answer;
};

/// Calls to the advisory service that one entry makes on behalf of the scheduler.
struct advice_client_state
{
    int inFlight = 0;
    timestamp backoffUntil = distantPast;
};

/// Search for a change for which the store rejects writes, see rejected_writes.h.
struct rejection_state
{
    std::size_t changesPerWrite = std::numeric_limits<std::size_t>::max();
    /// A change that was rejected by itself; the next write with changes has only this one.
    std::optional<std::string> suspect;
    /// The write under way is the one without changes.
    bool isProbe = false;
    /// Sequence of the write before it, which may have taken effect.
    std::int64_t uncertainSequence = 0;
};

/// State that exists only while this entry is the scheduler or loads the rows to become it.
struct leader_state
{
    cell::scheduler cell;
    std::int64_t headVersion = 0;
    std::int64_t sequence = 0;
    /// Wall-clock time of acceptance of each job that is not stored yet, microseconds since 1970.
    std::map<std::string, std::int64_t> acceptedWall;
    /// New jobs in the write under way, which fails if one has ended under an earlier scheduler.
    std::vector<std::string> newJobsInWrite;
    /// Ended jobs in the write under way whose rows are removed by a later write.
    std::vector<std::string> endedInPlace;
    /// The backlog of changes did not fit into the write under way when it was built.
    bool backlogExceedsWrite = false;
    std::optional<table_write> write;
    std::int64_t writeSequence = 0;
    /// An earlier attempt of the write under way got no answer and may have taken effect.
    bool writeMayHaveCommitted = false;
    bool writeInFlight = false;
    timestamp writeStartedAt = distantPast;
    /// When the newest attempt of the write under way was sent. Older attempts may still be
    /// answered.
    timestamp attemptedAt = distantPast;
    /// Number of attempts so far, over all writes; it numbers the newest attempt.
    std::int64_t attemptCount = 0;
    /// Number of the first attempt of the write under way.
    std::int64_t firstAttempt = 0;
    /// The write under way has failed at least once.
    bool hasWriteFailed = false;
    /// Exponentially weighted average of the write latency; the newest write has weight 1/2.
    microseconds averageWriteTime = 0;
    timestamp nextWriteAt = distantPast;
    /// When the timer wakes up for a write that is held back until `nextWriteAt`.
    timestamp writeWakeAt = distantFuture;
    timestamp writtenAt = distantPast;
    std::multimap<std::string, write_waiter> waiters;
    /// Calls received while the rows are loaded; handled once loading ends.
    std::vector<std::function<void()>> deferredCalls;
    /// Workers listed in the registry, by row key.
    std::map<std::string, cell::worker_entry> registry;
    std::int64_t registryVersion = 0;
    /// Number of times that the registry was read from its beginning, to be watched from then on.
    std::int64_t registryWatches = 0;
    /// Services to which queues or open jobs send tasks. Registry entries of others are ignored.
    std::set<std::string> services;
    timestamp nextIgnoredEntryLogAt = distantPast;
    bool isDecisionPosted = false;
    /// After a long decision the next one is delayed, so that the event loop can serve events,
    /// answers and heartbeats in between.
    timestamp decideNotBefore = distantPast;
    /// When the timer wakes up for a decision that is held back until `decideNotBefore`.
    timestamp decideWakeAt = distantFuture;
    timestamp timerExpiresAt = distantFuture;
    /// When the newest store write or heartbeat that confirmed the leadership was sent. The time of
    /// its answer proves nothing, as the answer may have waited while the process was paused.
    timestamp confirmedAt = distantPast;
    /// When the event loop was last seen running, and when it ran again after its newest pause in
    /// which another entry may have taken over.
    timestamp runningAt = distantPast;
    timestamp resumedAt = distantPast;
    /// When a message was sent that proved that there was no successor: a write, or heartbeats
    /// to all members. No order leaves while this is before `resumedAt`.
    timestamp verifiedAt = distantPast;
    /// Members that have not replied to a heartbeat sent since `resumedAt`, and those that follow
    /// this entry by their replies.
    std::set<std::string> unverifiedMembers;
    std::set<std::string> verifiedBy;
    /// When the newest heartbeat was sent to which the member replied that it follows this entry.
    std::map<std::string, timestamp> followedAt;
    /// The same of replies of members that were not claiming.
    std::map<std::string, timestamp> followedUnclaimingAt;
    /// When a message was sent that proved that there was no successor anywhere: a write, or
    /// heartbeats to which all members replied.
    timestamp noSuccessorAt = distantPast;
    /// A worker has seen a newer fencing token, so that only a write can verify the leadership.
    bool needsStoreProof = false;
    /// What has been said against the leadership since the newest such write, and what one has
    /// refuted, by worker.
    std::set<std::string> evidence;
    std::set<std::string> refutedEvidence;
    /// Orders that wait for the verification; each is sent by a call.
    std::vector<std::function<void()>> heldOrders;
    /// Leadership has been unconfirmed for too long or is to be verified; no decisions are made.
    bool suspended = false;
    timestamp nextHeartbeatAt = distantPast;
    timestamp nextMemberListAt = distantPast;
    /// When a heartbeat next carries the numbers of pending jobs.
    timestamp nextPendingAt = distantPast;
    timestamp nextHandoverAt = distantPast;
    bool handoverInFlight = false;
    /// Index of the entry that is asked to take over next; advances round robin.
    std::size_t nextSuccessorIndex = 0;
    /// This entry has to hand over. Once the write under way has ended, no write is begun before
    /// another entry was asked to take over, because a newer head row would fail its claim.
    bool isHandoverRequested = false;
    /// The last handover request failed; the backlog is written before the next request.
    bool mustWriteBeforeHandover = false;
    rejection_state rejection;
    /// Consecutive unanswered heartbeats of each member, by name.
    std::map<std::string, int> missedHeartbeats;
    /// The members row in the store is out of date.
    bool membersChanged = true;
    /// When the newest part of the rows arrived that this entry is loading.
    timestamp rowsArrivedAt = distantPast;
    std::map<std::string, advice_client_state> adviceClients;
    cell::advice_queue longAdviceQueue;
    cell::advice_queue shortAdviceQueue;
    /// Open calls to the advisory service by job queue.
    std::map<std::string, int> openAdviceCalls;
};

/// A caller's call that waits for the scheduler's answer.
struct forwarded_call
{
    caller_call call;
    timestamp deadline = distantFuture;
    /// When the call is refused if no scheduler is known.
    timestamp holdUntil = distantFuture;
    answer_function answer;
    /// An attempt may have taken effect.
    bool mayHaveTakenEffect = false;
    bool inFlight = false;
    /// Number of the newest attempt; answers to earlier attempts are told apart by it.
    int attempt = 0;
    /// When the newest attempt was sent.
    timestamp attemptedAt = distantPast;
    /// When a call that changes nothing is sent again beside an unanswered attempt.
    timestamp hedgeAt = distantFuture;
    /// When a state call is answered from the rows if the scheduler has not answered it.
    timestamp lookupAt = distantFuture;
    bool answered = false;
};

/// All state of one entry. Fill `ports` before `startEntry`.
struct entry_state
{
    entry_state(boost::asio::io_context &context, cell_settings given);

    boost::asio::io_context &loop;
    cell_settings settings;
    platform_ports ports;
    event_log log;
    entry_metrics metrics;
    net::busy_meter meter;
    entry_observation observed;
    /// Memory of the requests that are being read or answered.
    net::receive_budget receiving;
    net::http_client client;
    std::unique_ptr<net::http_server> callerServer;
    std::unique_ptr<net::http_server> readinessServer;
    std::unique_ptr<net::http_server> peerServer;
    std::unique_ptr<net::http_server> metricsServer;
    /// What has been reported of callers', readiness, peers' and metrics port.
    std::array<net::server_refusals, 4> reportedRefusals {};
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer decideTimer;

    std::string incarnation;
    cell::cell_config config;
    std::int64_t configWatchVersion = 0;
    timestamp configReadAt = distantPast;
    /// Version of the row of the configuration in force, and its text if other entries may need it.
    std::int64_t configRowVersion = 0;
    std::string configRow;
    /// Version of the configuration row in this entry's newest reads; lower if they are stale.
    std::int64_t configFeedVersion = 0;
    bool isRefreshingConfig = false;
    timestamp nextConfigRefreshAt = distantPast;
    config_transfers configTransfers;
    /// A configuration adopted by this process has required keys.
    bool hasRequiredKeys = false;
    caller_keys keys;
    config_confirmation confirmation;
    std::list<held_call> heldCalls;

    entry_role role = entry_role::follower;
    /// Highest epoch seen, and the scheduler of that epoch.
    std::int64_t epoch = 0;
    member scheduler;
    /// When the scheduler was last known to be alive, by a heartbeat or an answer.
    timestamp schedulerSeenAt = distantPast;
    /// Number of pending jobs of the queues that have any, from the scheduler's heartbeat received
    /// at `pendingAt`, and the version of the configuration whose queues were counted.
    std::map<std::string, std::int64_t> pending;
    std::int64_t pendingVersion = 0;
    timestamp pendingAt = distantPast;
    /// Peer addresses of the known entries, by name.
    std::map<std::string, std::string> members;
    /// Known processor shares of the members, thousandths of a processor.
    std::map<std::string, std::int64_t> processorShares;
    /// Remote address of the connection that delivers the scheduler's heartbeats, HOST:PORT.
    std::string heartbeatPeer;
    bool isProbing = false;
    /// When another entry last announced that it is claiming the head row.
    timestamp otherClaimAt = distantPast;
    /// When the next probe may start; while the entry stops, when it last requested a handover.
    timestamp nextProbeAt = distantPast;
    /// Null on followers.
    std::unique_ptr<leader_state> leaderState;
    std::list<std::shared_ptr<forwarded_call>> forwardedCalls;
    bool storeReachable = true;
    bool stopping = false;
    timestamp stopAt = distantFuture;
    bool finished = false;
    timestamp lastTickAt = distantPast;
    /// Exponentially weighted average of the lateness of the event loop's timer; the newest turn
    /// has weight 1/4.
    microseconds loopDelay = 0;
    /// When the event loop's timer last ran so late that heartbeats may wait unread.
    timestamp lateAt = distantPast;
    /// What the liveness responder tells other entries.
    loop_state loopState;
};

/// Limits of a read whose answer may be large: it ends at `answerBy` only if the answer has not
/// begun. A read that is given up while its answer arrives would begin again from the first byte.
read_limits largeReadLimits(timestamp answerBy);

/// Microseconds of a monotonic clock that keeps running while the instance is suspended.
timestamp steadyNow();
/// Microseconds since 1970.
std::int64_t wallNow();

inline void logEvent(entry_state &entry, const char *event, log_fields fields)
{
    const net::duty_scope scope(&entry.meter, net::duty::log);
    writeEvent(entry.log, wallNow(), event, fields);
}

/// Name, peer address and processor share of this entry.
member self(const entry_state &entry);

// daemon.cpp
/// Opens the ports and starts to follow the configuration and the scheduler. Returns an empty
/// text, or an error message that names the cause and the remedy.
std::string startEntry(entry_state &entry);
/// Starts a graceful stop: drains the caller connections, hands leadership over, and ends once the
/// requests in progress are answered or the grace period is over.
void beginStop(entry_state &entry);

// callers.cpp
void serveCaller(entry_state &entry, const net::http_request &request,
                 const net::http_server::responder &respond);
/// Sends the forwarded calls to the new scheduler after a change of leadership.
void resendForwarded(entry_state &entry);
/// Checks the forwarded calls that cannot have taken effect against a new configuration.
void recheckForwarded(entry_state &entry);
/// Answers calls whose deadline has come, and sends those that are not under way.
void expireForwarded(entry_state &entry, timestamp now);

// peers.cpp
/// Handles the end of a connection from another entry; `peer` is its remote address.
void onPeerClosed(entry_state &entry, const std::string &peer);
void servePeer(entry_state &entry, const net::http_request &request,
               const net::http_server::responder &respond);
/// Builds the scheduler's heartbeat. Pending counts are included only once the rows are loaded,
/// the member list only when it is due.
heartbeat_message makeHeartbeat(const entry_state &entry);
void sendHeartbeats(entry_state &entry, timestamp now);
/// Removes the members that have been silent for long. Call it only after a write that proves that
/// none of them has taken over: the fewer members there are, the fewer confirm the leadership.
void forgetSilentMembers(entry_state &entry);
/// Counts bytes of a message between entries. `direction`: "sent" or "received".
void countPeerBytes(entry_state &entry, const std::string &target, const char *direction,
                    std::size_t bytes);
/// Posts `body` to `path` of another entry. `done` is called once, after `timeout` at the latest.
void sendPeer(entry_state &entry, const std::string &address, const std::string &path,
              std::string body, microseconds timeout, bool idempotent,
              std::function<void(net::call_result)> done);
void sendPeer(entry_state &entry, net::http_call call, std::function<void(net::call_result)> done);

// membership.cpp
/// Records a turn of the event loop's timer and measures how late it is.
void recordTurn(entry_state &entry, timestamp now);
/// Probes the scheduler after too long a time without contact, and claims the head row if no other
/// entry sees a live scheduler.
void monitorScheduler(entry_state &entry, timestamp now);
/// Treats the scheduler as timed out, so that the next probe starts without further delay.
void suspectScheduler(entry_state &entry);
/// Records address and processor share of an entry. Returns true if the address is new. Does
/// nothing if the name is empty, as that of a scheduler of which only the epoch is known.
bool recordMember(entry_state &entry, const member &other);
/// Follows the scheduler of this epoch; ignored if a higher epoch is known. An entry that leads in
/// a lower epoch steps down.
void recordScheduler(entry_state &entry, std::int64_t epoch, const member &scheduler,
                     timestamp now);
/// Reads the head row, and adds entries from the members row to the known members. `head` is empty
/// if the row is missing or unreadable.
void readHead(
    entry_state &entry,
    const std::function<void(store_result, std::optional<head_row>, std::int64_t version)> &done);
/// Tries to become the scheduler: rewrites the head row with the next epoch if it still has
/// `version`. `done` tells whether the claim succeeded.
void claimHead(entry_state &entry, std::int64_t version, std::int64_t epoch,
               const std::function<void(bool)> &done);
/// Becomes a follower. Callers that wait for a write get the answer `unknown`.
void stepDown(entry_state &entry, const char *reason);

// handover.cpp
/// Returns true if another entry has a much larger processor share, this one has led for a while,
/// and no write is in progress. The scheduler's load grows with the size of the cell, a follower's
/// does not.
bool isHandoverToLargerDue(const entry_state &entry, timestamp now);
/// Hands over to the entry with the largest processor share.
void handOverToLarger(entry_state &entry, timestamp now);
/// Asks another entry to take over; successive calls ask the entries in turn. Does nothing while a
/// handover request is under way.
void handOver(entry_state &entry, const std::function<void(bool)> &done);
void handOverTo(entry_state &entry, const std::string &address,
                const std::function<void(bool)> &done);

// leader.cpp
/// Loads the rows and starts to act as the scheduler of `entry.epoch`. `headVersion`: version of
/// the head row written by the claim, which was sent at `claimedAt`.
void startLeading(entry_state &entry, std::int64_t headVersion, timestamp claimedAt);
/// Runs a decision on the event loop as soon as the spacing of decisions allows.
void requestDecision(entry_state &entry);
void runOrders(entry_state &entry, const cell::orders &orders);
void tickLeader(entry_state &entry, timestamp now);

// confirmation.cpp
/// Reply of a member to a heartbeat. One that is claiming may have taken over a moment later.
enum class member_reply { none, claiming, follows };

/// Begins to lead after a claim that was sent at `claimedAt`.
void beginConfirmation(entry_state &entry, timestamp claimedAt);
/// Records a write that was built at `startedAt` and has taken effect.
void confirmByWrite(entry_state &entry, timestamp startedAt);
/// Records the reply to a heartbeat sent at `askedAt`, which showed no other scheduler.
void confirmByMember(entry_state &entry, const std::string &name, timestamp askedAt,
                     member_reply reply);
/// Records that the event loop of the scheduler runs. After a pause the leadership is verified, and
/// orders are held back until it is.
void recordRunning(entry_state &entry, timestamp now);
/// Whether the leadership is to be verified, as the process was paused.
bool needsVerification(const entry_state &entry);
/// Holds back all orders until a write verifies the leadership, as `evidence` shows a successor. It
/// is ignored once a write has refuted it.
void questionLeadership(entry_state &entry, const std::string &evidence, timestamp now);
/// Keeps an order for later if the leadership is to be verified. Returns false if the order may be
/// sent now. Call it right before sending, as the process may be paused at any time.
bool holdOrder(entry_state &entry, timestamp now, std::function<void()> send);
/// Passes the time of the last confirmation to the scheduler, and suspends it if that is too old or
/// the leadership is to be verified.
void updateConfirmation(entry_state &entry, timestamp now);

// writes.cpp
/// Returns true if the write under way takes so long that the store must be down or slow.
bool isStoreSlow(const leader_state &leaderState, timestamp now);
/// Estimates when a change made now will be stored, from the writes ahead of it and the average
/// write latency.
timestamp expectedStoredAt(const leader_state &leaderState, timestamp now);
/// Sends the next write or retry, if one is due and a handover does not come first.
void advanceWrites(entry_state &entry);
/// Answers waiting calls whose deadline has come. While the store is slow, submissions that no
/// write contains are withdrawn and refused at once.
void expireWaiters(entry_state &entry, timestamp now);

// calls.cpp
/// Handles a call as the scheduler; answers `not_scheduler` on a follower.
void handleCall(entry_state &entry, const caller_call &call, timestamp deadline,
                const answer_function &answer);

// job_lookup.cpp
/// Reads the job's phase from the rows, which every entry can do.
void lookUpJob(entry_state &entry, const std::string &job, const lookup_completion &done);

// watches.cpp
/// Calls `run` on the entry's event loop after the pause, unless the loop has stopped.
void runAfter(entry_state &entry, microseconds pause, const std::function<void()> &run);
void watchConfig(entry_state &entry);
/// Adopts the configuration in the row if its version is higher than that of the one in force.
void applyConfigRow(entry_state &entry, const stored_row &row);
/// Reads the configuration beside the watch, unless that was done a moment ago.
void refreshConfig(entry_state &entry);
void watchWorkers(entry_state &entry, std::int64_t epoch);

// advice_dispatch.cpp
/// Queues calls to the advisory service by priority; each is sent once an entry is free to make it.
void queueAdvice(entry_state &entry, const std::vector<cell::advice_order> &orders);
/// Sends the queued calls for which an entry is free. Calls of ended jobs are dropped.
void dispatchAdvice(entry_state &entry);
/// Returns the number of calls that wait for a free entry.
std::size_t countQueuedAdvice(const leader_state &leaderState);

} // namespace bramleygrade::entry
