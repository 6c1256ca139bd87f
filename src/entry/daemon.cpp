#include "entry/daemon.h"

#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>
#include <limits>
#include <random>
#include <sstream>
#include <thread>

#include <boost/asio/signal_set.hpp>
#include <sys/resource.h>
#include <sys/stat.h>

#include "entry/authentication/admission.h"
#include "entry/authentication/confirmation_exchange.h"
#include "entry/client_limits.h"
#include "entry/entry.h"
#include "entry/state_dump.h"

namespace bramleygrade::entry {

namespace {

/// Time after SIGTERM during which new connections still arrive: two readiness checks, one second
/// apart (users' protocol), and one more.
constexpr microseconds rotationDelay = 2'500 * millisecond;
/// Part of the shutdown grace reserved for the exit of the process.
constexpr microseconds shutdownReserve = 700 * millisecond;
constexpr microseconds handoverRetryInterval = 300 * millisecond;
/// Time without a heartbeat of the scheduler after which the entry reports that it is not ready,
/// so that it gets no new connections.
constexpr microseconds readinessTimeout = 1'500 * millisecond;
constexpr microseconds settingsPollInterval = 1 * second;

timestamp readClock(clockid_t clock)
{
    timespec now {};
    clock_gettime(clock, &now);
    return static_cast<timestamp>(now.tv_sec) * second + now.tv_nsec / 1'000;
}

/// Share of the process's descriptors that outgoing connections may use, in parts per thousand. The
/// others are for callers, peers and files.
constexpr std::size_t outgoingShareMilli = 700;

constexpr std::size_t allMilli = 1'000;

/// Returns a share of the descriptors of the process, which may be unlimited.
std::size_t descriptorShare(std::size_t milli)
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::numeric_limits<std::size_t>::max();
    }
    return static_cast<std::size_t>(limit.rlim_cur) * milli / allMilli;
}

/// Returns the bytes that answers which are being read may take: a quarter of the memory.
std::size_t answerBudget(const cell_settings &settings)
{
    return static_cast<std::size_t>(settings.memoryLimitMb) << 18U;
}

std::string makeIncarnation()
{
    std::random_device random;
    std::ostringstream text;
    text << std::hex << wallNow() << '-' << random();
    return text.str();
}

bool isReady(const entry_state &entry)
{
    const bool hasScheduler = entry.leaderState != nullptr
        || (entry.schedulerSeenAt != distantPast
            && steadyNow() < entry.schedulerSeenAt + readinessTimeout);
    return !entry.stopping && entry.config.version > 0 && hasScheduler;
}

void serveReadiness(entry_state &entry, const net::http_server::responder &respond)
{
    respond({isReady(entry) ? 200 : 503, {}, ""});
}

void serveMetrics(entry_state &entry, const net::http_request &request,
                  const net::http_server::responder &respond)
{
    if (request.target == "/dump") {
        respond({200, {{"Content-Type", "application/json"}}, dumpState(entry)});
        return;
    }
    refreshGauges(entry);
    respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, exposeMetrics(entry.metrics)});
}

/// Serves a request of another entry and counts it.
void countAndServePeer(entry_state &entry, const net::http_request &request,
                       const net::http_server::responder &respond)
{
    ++entry.metrics.counters["peer_calls_total{side=\"server\"}"];
    countPeerBytes(entry, request.target, "received", request.body.size());
    servePeer(entry, request,
              [&entry, respond, target = request.target](net::http_response response) {
                  countPeerBytes(entry, target, "sent", response.body.size());
                  respond(std::move(response));
              });
}

std::string startServers(entry_state &entry)
{
    const client_limits limits = limitsOfClients(entry.settings.memoryLimitMb,
                                                 descriptorShare(allMilli - outgoingShareMilli));
    entry.receiving.limit = limits.receivedBytes;
    entry.callerServer = std::make_unique<net::http_server>(
        entry.loop,
        [&entry](const net::http_request &request, const net::http_server::responder &respond) {
            serveCaller(entry, request, respond);
        },
        limits.callers);
    entry.readinessServer = std::make_unique<net::http_server>(
        entry.loop,
        [&entry](const net::http_request &, const net::http_server::responder &respond) {
            serveReadiness(entry, respond);
        },
        limits.readiness);
    entry.peerServer = std::make_unique<net::http_server>(
        entry.loop,
        [&entry](const net::http_request &request, const net::http_server::responder &respond) {
            countAndServePeer(entry, request, respond);
        },
        limits.peers);
    for (const auto &server : {&entry.callerServer, &entry.readinessServer, &entry.peerServer}) {
        (*server)->share(entry.receiving);
    }
    entry.peerServer->onClose([&entry](const std::string &peer) { onPeerClosed(entry, peer); });
    entry.callerServer->measure(entry.meter,
                                [](const net::http_request &) { return net::duty::caller; });
    entry.readinessServer->measure(entry.meter,
                                   [](const net::http_request &) { return net::duty::caller; });
    entry.peerServer->measure(entry.meter, [](const net::http_request &request) {
        return dutyOfPeerPath(request.target);
    });
    std::string error = entry.callerServer->listen(entry.settings.callerAddress);
    error = error.empty() ? entry.readinessServer->listen(entry.settings.readyAddress) : error;
    error = error.empty() ? entry.peerServer->listen(entry.settings.peerAddress) : error;
    if (error.empty() && !entry.settings.metricsAddress.empty()) {
        entry.metricsServer = std::make_unique<net::http_server>(
            entry.loop,
            [&entry](const net::http_request &request, const net::http_server::responder &respond) {
                serveMetrics(entry, request, respond);
            },
            limits.metrics);
        entry.metricsServer->share(entry.receiving);
        error = entry.metricsServer->listen(entry.settings.metricsAddress);
    }
    return error;
}

/// Asks another entry to take over as scheduler; `continueStop` repeats this until one has.
void requestHandover(entry_state &entry)
{
    if (!entry.leaderState || entry.members.size() < 2) {
        return;
    }
    entry.leaderState->isHandoverRequested = true;
    if (!entry.leaderState->write) {
        handOver(entry, [](bool) {});
    }
}

} // namespace

void beginStop(entry_state &entry)
{
    if (entry.stopping) {
        return;
    }
    const timestamp now = steadyNow();
    entry.stopping = true;
    entry.stopAt = now + entry.settings.shutdownGrace - shutdownReserve;
    entry.nextProbeAt = now;
    logEvent(entry, "stopping",
             {{"in_progress", std::to_string(entry.callerServer->requestsInProgress())},
              {"scheduler", entry.leaderState ? "yes" : "no"}});
    entry.callerServer->drain();
    requestHandover(entry);
}

namespace {

void continueStop(entry_state &entry, timestamp now)
{
    const timestamp rotationEndsAt =
        entry.stopAt - (entry.settings.shutdownGrace - shutdownReserve) + rotationDelay;
    if (entry.leaderState && now >= entry.nextProbeAt + handoverRetryInterval) {
        entry.nextProbeAt = now;
        requestHandover(entry);
    }
    if (now < rotationEndsAt) {
        return;
    }
    entry.callerServer->closeIdle();
    if (entry.callerServer->requestsInProgress() > 0 && now < entry.stopAt) {
        return;
    }
    logEvent(entry, "stopped",
             {{"cut_off", std::to_string(entry.callerServer->requestsInProgress())}});
    entry.finished = true;
    flushLog(entry.log);
    entry.loop.stop();
}

void tick(entry_state &entry)
{
    const timestamp now = steadyNow();
    if (entry.lastTickAt != distantPast && now > entry.lastTickAt + 10 * tickInterval) {
        logEvent(entry, "paused",
                 {{"for_ms", std::to_string((now - entry.lastTickAt) / millisecond)}});
    }
    recordTurn(entry, now);
    observeTick(entry, now);
    monitorScheduler(entry, now);
    tickLeader(entry, now);
    monitorConfirmation(entry, now);
    monitorHeldCalls(entry, now);
    expireForwarded(entry, now);
    reportRefusals(entry);
    if (entry.stopping) {
        continueStop(entry, now);
    }
    const net::duty_scope scope(&entry.meter, net::duty::log);
    flushLog(entry.log);
}

void scheduleTick(entry_state &entry)
{
    entry.observed.tickDueAt = steadyNow() + tickInterval;
    entry.tickTimer.expires_after(std::chrono::microseconds(tickInterval));
    entry.tickTimer.async_wait([&entry](boost::system::error_code) {
        if (!entry.finished) {
            tick(entry);
            scheduleTick(entry);
        }
    });
}

void reloadSettings(entry_state &entry, const std::string &path, const char *cause)
{
    const auto settings = readCellSettings(path);
    if (!settings) {
        logEvent(entry, "reload_failed", {{"why", settings.error().message}});
        return;
    }
    const bool needsRestart = settings->callerAddress != entry.settings.callerAddress
        || settings->peerAddress != entry.settings.peerAddress;
    // The settings copied here take effect at once, all others at the next start, among them the
    // addresses that this entry listens on.
    entry.settings.storeAddress = settings->storeAddress;
    entry.settings.adviceAddress = settings->adviceAddress;
    entry.settings.logLinesPerSecond = settings->logLinesPerSecond;
    entry.settings.shutdownGrace = settings->shutdownGrace;
    entry.log.linesPerSecond = settings->logLinesPerSecond;
    logEvent(entry, "reloaded",
             {{"cause", cause}, {"restart_needed", needsRestart ? "yes" : "no"}});
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// State for polling the settings file, which may change without a SIGHUP.
struct settings_watcher
{
    std::string path;
    std::string text;
    boost::asio::steady_timer timer;
};

void watchSettings(entry_state &entry, settings_watcher &watcher)
{
    watcher.timer.expires_after(std::chrono::microseconds(settingsPollInterval));
    watcher.timer.async_wait([&entry, &watcher](boost::system::error_code error) {
        if (error || entry.finished) {
            return;
        }
        std::string text = readFile(watcher.path);
        if (!text.empty() && text != watcher.text) {
            watcher.text = std::move(text);
            reloadSettings(entry, watcher.path, "the settings file has changed");
        }
        watchSettings(entry, watcher);
    });
}

void handleSignals(entry_state &entry, boost::asio::signal_set &signals, settings_watcher &watcher)
{
    signals.async_wait([&entry, &signals, &watcher](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            watcher.text = readFile(watcher.path);
            reloadSettings(entry, watcher.path, "SIGHUP");
        } else {
            beginStop(entry);
        }
        handleSignals(entry, signals, watcher);
    });
}

} // namespace

std::string startEntry(entry_state &entry)
{
    measurePorts(entry);
    std::string error = startServers(entry);
    if (error.empty()) {
        logEvent(entry, "started",
                 {{"incarnation", entry.incarnation},
                  {"domain", entry.settings.failureDomain},
                  {"callers", entry.settings.callerAddress},
                  {"store", entry.settings.storeAddress}});
        watchConfig(entry);
        scheduleTick(entry);
    }
    return error;
}

timestamp steadyNow()
{
    return readClock(CLOCK_BOOTTIME);
}

std::int64_t wallNow()
{
    return readClock(CLOCK_REALTIME);
}

entry_state::entry_state(boost::asio::io_context &context, cell_settings given)
    : loop(context)
    , settings(std::move(given))
    , log(openLog(settings.name, settings.logLinesPerSecond))
    , meter {steadyNow}
    , client(context, steadyNow, &meter)
    , tickTimer(context)
    , decideTimer(context)
    , incarnation(makeIncarnation())
{
    members[settings.name] = settings.peerAddress;
    processorShares[settings.name] = settings.processorMilli;
}

int runCellEntry(const std::string &settingsPath, const platform_connector &connect)
{
    const auto settings = readCellSettings(settingsPath);
    if (!settings) {
        std::cerr << settings.error().message << std::endl;
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    net::receive_budget answers {answerBudget(*settings)};
    boost::asio::io_context loop(1);
    entry_state entry(loop, *settings);
    entry.client.limitConnections(descriptorShare(outgoingShareMilli));
    entry.client.limitReceived(&answers);
    entry.ports = connect(entry.settings, entry.client);
    const std::string error = startEntry(entry);
    if (!error.empty()) {
        std::cerr << settingsPath << ": " << error << std::endl;
        return 2;
    }
    settings_watcher watcher {settingsPath, readFile(settingsPath),
                              boost::asio::steady_timer(loop)};
    boost::asio::io_context livenessLoop(1);
    liveness_responder responder(livenessLoop, entry.loopState);
    const std::string livenessError = responder.listen(entry.settings.peerAddress);
    if (!livenessError.empty()) {
        // The entry works without; it is replaced sooner while it is busy.
        logEvent(entry, "liveness_unavailable", {{"why", livenessError}});
    }
    std::thread livenessThread([&livenessLoop] { livenessLoop.run(); });
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    handleSignals(entry, signals, watcher);
    watchSettings(entry, watcher);
    net::runMetered(loop, entry.meter);
    livenessLoop.stop();
    livenessThread.join();
    return 0;
}

} // namespace bramleygrade::entry
