#include "daemon/entry_daemon.h"

#include <malloc.h>

#include <csignal>

#include <atomic>

#include "absl/strings/str_cat.h"
#include "bramleygrade/inspection.h"
#include "daemon/caller_server.h"
#include "daemon/clock.h"
#include "daemon/log.h"
#include "daemon/operator_server.h"
#include "daemon/peer_transport.h"
#include "daemon/platform_client.h"
#include "daemon/worker_client.h"

namespace bramleygrade {

namespace {

constexpr std::size_t decisionQueueCapacity = 8192;
constexpr microseconds pollInterval = 50 * millisecond;
/// Limit for a drain that a signal started. A drain that takes longer is abandoned before
/// everything is handed over.
constexpr microseconds drainTimeout = 120 * second;
constexpr int maxMallocArenas = 2;
/// Upper bound of a caller's wait: the sum of `maxDeadlineMs` (60 s) and `coreAnswerGracePeriod`
/// (2 s) of `caller_server`.
constexpr microseconds maxCallerWait = 62 * second;
/// Time after the drain in which the load balancer and the peers can detect the shutdown.
constexpr microseconds shutdownGracePeriod = 2 * second;

std::atomic<bool> isStopRequested {false};

void handleStopSignal(int)
{
    isStopRequested = true;
}

entry_identity makeIdentity(const entry_settings &settings)
{
    entry_identity identity;
    identity.name = settings.name;
    identity.incarnation = std::to_string(currentTime());
    identity.failureDomain = settings.failure_domain;
    identity.host = settings.host;
    identity.peerPort = settings.peer_port;
    identity.seed = static_cast<std::uint64_t>(currentTime());
    return identity;
}

/// Owns the servers, clients and threads of one entry and routes commands of the core to them.
class entry_daemon
{
public:
    explicit entry_daemon(const entry_settings &settings)
        : m_decisions(decisionQueueCapacity)
        , m_platform(settings.table_host, settings.table_port, m_decisions)
        , m_workers(m_decisions)
        , m_peers(settings.cell_key, m_decisions)
        , m_peerServer(settings.host, settings.peer_port, settings.cell_key, m_decisions)
        , m_callers(settings.host, settings.caller_port, m_decisions)
        , m_operators(settings.host, settings.operator_port, settings.cell_key, m_decisions,
                      [this] { return formatState(); })
        , m_loop(
              makeIdentity(settings), m_decisions,
              [this](const decision_core &core, command &&wanted) {
                  executeCommand(core, std::move(wanted));
              },
              [this](const decision_core &core, timestamp now) {
                  m_callers.setReachableHomes(reachableHomes(core, now));
                  if (isDraining(core)) {
                      m_callers.failHealthCheck();
                  }
              })
    {
    }

    bool start()
    {
        if (!m_peerServer.start() || !m_operators.start() || !m_callers.start()) {
            return false;
        }
        m_platform.start();
        m_workers.start();
        m_loop.start();
        return true;
    }

    void drain()
    {
        operator_request wanted;
        wanted.action = operator_action::drain;
        m_decisions.tryPush(decision_input {event {std::move(wanted)}});
    }

    bool isDrained() const { return m_isDrained; }

    /// Rejects new requests and waits until `deadline` for the answers to pending ones.
    void waitForCallers(timestamp deadline)
    {
        m_callers.close();
        while (m_callers.pendingCount() > 0 && currentTime() < deadline) {
            absl::SleepFor(absl::Microseconds(pollInterval));
        }
    }

    /// Ends the decision thread before the other threads, so that no command is issued that can no
    /// longer be executed.
    void stop()
    {
        m_decisions.close();
        m_loop.join();
    }

private:
    void executeCommand(const decision_core &core, command &&wanted);
    void sendToPeer(const decision_core &core, peer_message message);
    std::string formatState() const;

    decision_queue m_decisions;
    platform_client m_platform;
    worker_client m_workers;
    peer_sender_pool m_peers;
    std::map<std::string, member_address> m_addresses;
    std::uint64_t m_addressesVersion = 0;
    std::atomic<bool> m_isDrained {false};
    peer_server m_peerServer;
    caller_server m_callers;
    operator_server m_operators;
    decision_loop m_loop;
};

void entry_daemon::executeCommand(const decision_core &core, command &&wanted)
{
    if (auto *transaction = std::get_if<table_command>(&wanted)) {
        m_platform.submit(std::move(*transaction));
    } else if (auto *message = std::get_if<peer_message>(&wanted)) {
        sendToPeer(core, std::move(*message));
    } else if (auto *answered = std::get_if<answer_caller>(&wanted)) {
        m_callers.answer(answered->handle, std::move(*answered->outcome));
    } else if (auto *dispatched = std::get_if<dispatch_request>(&wanted)) {
        m_workers.submit(std::move(*dispatched));
    } else if (auto *call = std::get_if<worker_call>(&wanted)) {
        m_workers.submit(std::move(*call));
    } else if (auto *outcome = std::get_if<answer_operator>(&wanted)) {
        m_operators.answer(std::move(*outcome));
    } else if (std::holds_alternative<drained>(wanted)) {
        m_isDrained = true;
    }
}

void entry_daemon::sendToPeer(const decision_core &core, peer_message message)
{
    if (membershipVersion(core) != m_addressesVersion || m_addresses.empty()) {
        m_addressesVersion = membershipVersion(core);
        m_addresses = memberAddresses(core);
        std::map<std::string, peer_address> known;
        for (const auto &[identity, address] : m_addresses) {
            known[identity] = {address.host, address.port};
        }
        m_peers.retainPeers(known);
    }
    const auto address = m_addresses.find(message.to);
    if (address != m_addresses.end()) {
        m_peers.send({address->second.host, address->second.port}, std::move(message));
        return;
    }
    undelivered notice;
    notice.message = std::make_unique<peer_message>(std::move(message));
    m_decisions.tryPush(decision_input {event {std::move(notice)}});
}

std::string entry_daemon::formatState() const
{
    return absl::StrCat("{\"decision_ring\": ", m_decisions.size(),
                        ", \"decision_ring_refused\": ", m_decisions.rejectedCount(),
                        ", \"transaction_ring\": ", m_platform.pendingCount(),
                        ", \"request_ring\": ", m_workers.pendingRequestCount(),
                        ", \"worker_call_ring\": ", m_workers.pendingCallCount(),
                        ", \"idle_connections\": ", m_workers.idleConnectionCount(),
                        ", \"waiting_callers\": ", m_callers.pendingCount(), "}");
}

} // namespace

int runEntry(const entry_settings &settings)
{
    // Limits memory use: each of several hundred threads could otherwise get its own malloc arena.
    mallopt(M_ARENA_MAX, maxMallocArenas);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, handleStopSignal);
    std::signal(SIGINT, handleStopSignal);
    configureLogging(settings);
    entry_daemon daemon(settings);
    if (!daemon.start()) {
        logError("event=start-failed reason=\"cannot open a port; check host, caller_port, "
                 "operator_port and peer_port, and whether another process uses them\"");
        return 1;
    }
    logInfo(absl::StrCat("event=started caller_port=", settings.caller_port, " operator_port=",
                         settings.operator_port, " peer_port=", settings.peer_port));
    timestamp drainDeadline = distantFuture;
    while (!daemon.isDrained() && currentTime() < drainDeadline) {
        if (isStopRequested && drainDeadline == distantFuture) {
            logInfo("event=draining reason=signal");
            drainDeadline = currentTime() + drainTimeout;
            daemon.drain();
        }
        absl::SleepFor(absl::Microseconds(pollInterval));
    }
    logInfo(daemon.isDrained() ? "event=drained" : "event=drain-incomplete");
    daemon.waitForCallers(currentTime() + maxCallerWait);
    absl::SleepFor(absl::Microseconds(shutdownGracePeriod));
    daemon.stop();
    return 0;
}

} // namespace bramleygrade
