#include "entry/client_limits.h"

#include <algorithm>

namespace bramleygrade::entry {

namespace {

constexpr std::size_t mebibyte = 1U << 20U;
/// Descriptors for the log, files, timers and the listening sockets.
constexpr std::size_t otherDescriptors = 24;
/// Maximum body of a request that needs none.
constexpr std::uint64_t smallBodyBytes = 4'096;
constexpr std::size_t maxMetricsConnections = 16;

/// Parts per thousand of the descriptors for incoming connections. Peers apart, so that other
/// clients cannot take the place of heartbeats.
constexpr std::size_t callerShareMilli = 400;
constexpr std::size_t peerShareMilli = 420;
constexpr std::size_t readinessShareMilli = 80;

std::size_t shareOf(std::size_t all, std::size_t milli)
{
    return std::max<std::size_t>(all / 1'000 * milli + all % 1'000 * milli / 1'000, 1);
}

void reportPort(entry_state &entry, const std::string &port, const net::http_server *server,
                net::server_refusals &reported)
{
    if (server == nullptr) {
        return;
    }
    const net::server_refusals now = server->refusals();
    const std::uint64_t requests = now.forMemory - reported.forMemory;
    const std::uint64_t connections = now.forConnections - reported.forConnections;
    reported = now;
    if (requests == 0 && connections == 0) {
        return;
    }
    auto &counters = entry.metrics.counters;
    counters["requests_dropped_total{port=\"" + port + "\"}"] += requests;
    counters["connections_closed_total{port=\"" + port + "\"}"] += connections;
    logEvent(entry, "clients_refused",
             {{"port", port},
              {"requests", std::to_string(requests)},
              {"connections", std::to_string(connections)},
              {"received_bytes", std::to_string(entry.receiving.used)}});
}

} // namespace

client_limits limitsOfClients(std::int64_t memoryLimitMb, std::size_t descriptors)
{
    const std::size_t memory = static_cast<std::size_t>(memoryLimitMb) * mebibyte;
    const std::size_t incoming = descriptors - std::min(descriptors, otherDescriptors);
    client_limits limits;
    limits.receivedBytes = memory / 16 * 5;
    limits.callers.maxBodyBytes = mebibyte;
    limits.callers.maxHeldBytes = memory / 8;
    limits.callers.maxConnections = shareOf(incoming, callerShareMilli);
    limits.readiness.maxBodyBytes = smallBodyBytes;
    limits.readiness.maxHeldBytes = memory / 64;
    limits.readiness.maxConnections = shareOf(incoming, readinessShareMilli);
    limits.peers.maxBodyBytes = 16 * mebibyte;
    limits.peers.idleTimeout = 3'600 * second;
    limits.peers.maxHeldBytes = memory / 8;
    limits.peers.maxConnections = shareOf(incoming, peerShareMilli);
    limits.metrics = limits.readiness;
    limits.metrics.maxConnections = std::min(limits.metrics.maxConnections, maxMetricsConnections);
    return limits;
}

void reportRefusals(entry_state &entry)
{
    reportPort(entry, "callers", entry.callerServer.get(), entry.reportedRefusals[0]);
    reportPort(entry, "readiness", entry.readinessServer.get(), entry.reportedRefusals[1]);
    reportPort(entry, "peers", entry.peerServer.get(), entry.reportedRefusals[2]);
    reportPort(entry, "metrics", entry.metricsServer.get(), entry.reportedRefusals[3]);
}

} // namespace bramleygrade::entry
