#include "entry/daemon.h"

#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <boost/asio/signal_set.hpp>
#include <sys/stat.h>

#include "entry/entry.h"
#include "entry/state_dump.h"

namespace bramleygrade::entry {

namespace {

constexpr microseconds tickInterval = 50 * millisecond;
/// Time after SIGTERM in which new connections still come: two checks of readiness, a second
/// apart, and one more (users' protocol).
constexpr microseconds rotationLag = 2'500 * millisecond;
/// Kept of the grace for the end of the process itself.
constexpr microseconds shutdownReserve = 700 * millisecond;
constexpr microseconds handoverRetry = 300 * millisecond;
/// Without a sign of life for this long the entry asks for no new connections.
constexpr microseconds unreadyAfter = 1'500 * millisecond;
constexpr microseconds settingsCheck = 1 * second;

timestamp readClock(clockid_t clock)
{
    timespec now {};
    clock_gettime(clock, &now);
    return static_cast<timestamp>(now.tv_sec) * second + now.tv_nsec / 1'000;
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
    const bool follows = entry.leaderState != nullptr
        || (entry.schedulerSeenAt != distantPast
            && steadyNow() < entry.schedulerSeenAt + unreadyAfter);
    return !entry.stopping && entry.config.version > 0 && follows;
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

std::string listenAll(entry_state &entry)
{
    net::server_limits limits;
    limits.maxBodyBytes = 1U << 20U;
    entry.callers = std::make_unique<net::http_server>(
        entry.loop,
        [&entry](const net::http_request &request, const net::http_server::responder &respond) {
            serveCaller(entry, request, respond);
        },
        limits);
    entry.readiness = std::make_unique<net::http_server>(
        entry.loop,
        [&entry](const net::http_request &, const net::http_server::responder &respond) {
            serveReadiness(entry, respond);
        });
    limits.maxBodyBytes = 16U << 20U;
    limits.idleTimeout = 3'600 * second;
    entry.peers = std::make_unique<net::http_server>(
        entry.loop,
        [&entry](const net::http_request &request, const net::http_server::responder &respond) {
            servePeer(entry, request, respond);
        },
        limits);
    entry.peers->onClose([&entry](const std::string &peer) { onPeerClosed(entry, peer); });
    std::string error = entry.callers->listen(entry.settings.callerAddress);
    error = error.empty() ? entry.readiness->listen(entry.settings.readyAddress) : error;
    error = error.empty() ? entry.peers->listen(entry.settings.peerAddress) : error;
    if (error.empty() && !entry.settings.metricsAddress.empty()) {
        entry.metricsServer = std::make_unique<net::http_server>(
            entry.loop,
            [&entry](const net::http_request &request, const net::http_server::responder &respond) {
                serveMetrics(entry, request, respond);
            });
        error = entry.metricsServer->listen(entry.settings.metricsAddress);
    }
    return error;
}

/// Has another entry take the lead; asked again by `continueStop` until one has.
void giveLeadAway(entry_state &entry)
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
             {{"in_progress", std::to_string(entry.callers->requestsInProgress())},
              {"scheduler", entry.leaderState ? "yes" : "no"}});
    entry.callers->drain();
    giveLeadAway(entry);
}

namespace {

void continueStop(entry_state &entry, timestamp now)
{
    const timestamp rotated =
        entry.stopAt - (entry.settings.shutdownGrace - shutdownReserve) + rotationLag;
    if (entry.leaderState && now >= entry.nextProbeAt + handoverRetry) {
        entry.nextProbeAt = now;
        giveLeadAway(entry);
    }
    if (now < rotated) {
        return;
    }
    entry.callers->closeIdle();
    if (entry.callers->requestsInProgress() > 0 && now < entry.stopAt) {
        return;
    }
    logEvent(entry, "stopped", {{"cut_off", std::to_string(entry.callers->requestsInProgress())}});
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
    entry.lastTickAt = now;
    monitorScheduler(entry, now);
    tickLeader(entry, now);
    expireForwarded(entry, now);
    if (entry.stopping) {
        continueStop(entry, now);
    }
    flushLog(entry.log);
}

void runTicks(entry_state &entry)
{
    entry.tickTimer.expires_after(std::chrono::microseconds(tickInterval));
    entry.tickTimer.async_wait([&entry](boost::system::error_code) {
        if (!entry.finished) {
            tick(entry);
            runTicks(entry);
        }
    });
}

void reload(entry_state &entry, const std::string &path, const char *cause)
{
    const auto settings = readCellSettings(path);
    if (!settings) {
        logEvent(entry, "reload_failed", {{"why", settings.error().message}});
        return;
    }
    const bool restart = settings->callerAddress != entry.settings.callerAddress
        || settings->peerAddress != entry.settings.peerAddress;
    // Addresses of our own take effect at the next start; all else does so at once.
    entry.settings.storeAddress = settings->storeAddress;
    entry.settings.adviceAddress = settings->adviceAddress;
    entry.settings.logLinesPerSecond = settings->logLinesPerSecond;
    entry.settings.shutdownGrace = settings->shutdownGrace;
    entry.log.linesPerSecond = settings->logLinesPerSecond;
    logEvent(entry, "reloaded", {{"cause", cause}, {"restart_needed", restart ? "yes" : "no"}});
}

std::string readAll(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// The settings may change without a signal.
struct settings_watch
{
    std::string path;
    std::string text;
    boost::asio::steady_timer timer;
};

void watchSettings(entry_state &entry, settings_watch &watch)
{
    watch.timer.expires_after(std::chrono::microseconds(settingsCheck));
    watch.timer.async_wait([&entry, &watch](boost::system::error_code error) {
        if (error || entry.finished) {
            return;
        }
        std::string text = readAll(watch.path);
        if (!text.empty() && text != watch.text) {
            watch.text = std::move(text);
            reload(entry, watch.path, "the file has changed");
        }
        watchSettings(entry, watch);
    });
}

void handleSignals(entry_state &entry, boost::asio::signal_set &signals, settings_watch &watch)
{
    signals.async_wait([&entry, &signals, &watch](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            watch.text = readAll(watch.path);
            reload(entry, watch.path, "SIGHUP");
        } else {
            beginStop(entry);
        }
        handleSignals(entry, signals, watch);
    });
}

} // namespace

std::string startEntry(entry_state &entry)
{
    std::string error = listenAll(entry);
    if (error.empty()) {
        logEvent(entry, "started",
                 {{"incarnation", entry.incarnation},
                  {"domain", entry.settings.failureDomain},
                  {"callers", entry.settings.callerAddress},
                  {"store", entry.settings.storeAddress}});
        watchConfig(entry);
        runTicks(entry);
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
    , client(context, steadyNow)
    , tickTimer(context)
    , decideTimer(context)
    , incarnation(makeIncarnation())
{
    members[settings.name] = settings.peerAddress;
}

int runCellEntry(const std::string &settingsPath, const platform_connector &connect)
{
    const auto settings = readCellSettings(settingsPath);
    if (!settings) {
        std::cerr << settings.error().message << std::endl;
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context loop(1);
    entry_state entry(loop, *settings);
    entry.ports = connect(entry.settings, entry.client);
    const std::string error = startEntry(entry);
    if (!error.empty()) {
        std::cerr << settingsPath << ": " << error << std::endl;
        return 2;
    }
    settings_watch watch {settingsPath, readAll(settingsPath), boost::asio::steady_timer(loop)};
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    handleSignals(entry, signals, watch);
    watchSettings(entry, watch);
    loop.run();
    return 0;
}

} // namespace bramleygrade::entry
