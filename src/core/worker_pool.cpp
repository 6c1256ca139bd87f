#include "core/worker_pool.h"

#include <algorithm>

namespace bramleygrade {

namespace {

constexpr int failuresBeforeEjection = 3;
constexpr microseconds initialEjectionDuration = second;
constexpr int maxEjectionDoublings = 5;
/// Maximum share of a service's endpoints that are ejected or await a probe, in percent.
constexpr int maxEjectedPercent = 34;
/// The newest response time has a weight of one part in this many in the moving average.
constexpr int meanDivisor = 8;
/// Response time assumed for an endpoint that has not answered yet.
constexpr microseconds defaultAnswerTime = 20 * millisecond;

bool isEjected(const worker_view &worker, timestamp now)
{
    return now < worker.health.ejectedUntil;
}

/// Returns true if the endpoint was ejected and has not succeeded since. After the ejection it gets
/// one request at a time as a probe.
bool needsProbe(const worker_view &worker)
{
    return worker.health.ejections > 0;
}

microseconds answerTime(const worker_view &worker)
{
    return worker.health.meanAnswer > 0 ? worker.health.meanAnswer : defaultAnswerTime;
}

/// Returns the cost of a request on the endpoint; lower is better. `least_waiting` prefers a low
/// slot utilisation and a short response time, `best_packing` the endpoint with the fewest free
/// slots, unless its response time exceeds `maxRelativeLatency` times that of the fastest.
double endpointCost(const worker_view &worker, placement_policy policy, microseconds fastest)
{
    const double busy = worker.busySlots + worker.untrackedSlots;
    const double relativeLatency =
        static_cast<double>(answerTime(worker)) / static_cast<double>(fastest);
    if (policy == placement_policy::least_waiting) {
        return (busy + 1) / std::max(1, worker.info.slots) * relativeLatency;
    }
    constexpr double maxRelativeLatency = 3.0;
    return relativeLatency > maxRelativeLatency ? 1000.0 * relativeLatency
                                                : worker.info.slots - busy;
}

} // namespace

resources capacityOf(const instance &worker)
{
    return {worker.cpu_millis, worker.memory_mb, worker.accelerators};
}

void updateWorkers(worker_pool &pool, const cell_state &cell)
{
    for (auto item = pool.workers.begin(); item != pool.workers.end();) {
        const bool isListed = cell.instances.count(item->first) > 0;
        item = isListed ? std::next(item) : pool.workers.erase(item);
    }
    pool.byService.clear();
    for (const auto &[name, listed] : cell.instances) {
        if (listed.rack.empty()) {
            continue;
        }
        worker_view &worker = pool.workers[name];
        worker.info = listed;
        worker.shard = rackShardOf(listed);
        if (!listed.service.empty()) {
            pool.byService[listed.service].push_back(name);
        }
    }
}

bool isLeavingWorker(const worker_view &worker)
{
    return worker.hasReportedLeaving || worker.info.state == instance_state::leaving;
}

bool isKnownToOwner(const worker_view &worker, const shard_view &shard)
{
    const timestamp since = shard.row.handed_over ? shard.ownedSince : shard.leaseStart;
    return worker.lastReportRequestedAt >= since + clockOffsetBound;
}

int countUsableSlots(const worker_view &worker, const authority_state &authority,
                     const std::string &self, timestamp now)
{
    if (isLeavingWorker(worker) || isEjected(worker, now)) {
        return 0;
    }
    const auto shard = authority.shards.find(worker.shard);
    if (shard == authority.shards.end() || shard->second.row.owner != self
        || !isKnownToOwner(worker, shard->second)) {
        return 0;
    }
    if (needsProbe(worker)) {
        return worker.health.isProbing || worker.busySlots > 0 ? 0 : 1;
    }
    return std::max(0, worker.info.slots - worker.busySlots - worker.untrackedSlots);
}

worker_view *chooseEndpoint(worker_pool &pool, const authority_state &authority,
                            const std::string &self, const service_document &document,
                            const std::string &avoided, timestamp now)
{
    const auto names = pool.byService.find(document.service);
    if (names == pool.byService.end()) {
        return nullptr;
    }
    std::vector<worker_view *> candidates;
    microseconds fastest = distantFuture;
    for (const std::string &name : names->second) {
        worker_view &worker = pool.workers.at(name);
        if (!isAllowedDomain(document, worker.info.failure_domain)
            || countUsableSlots(worker, authority, self, now) == 0
            || !holdsLease(authority, self, worker.shard, now)) {
            continue;
        }
        fastest = std::min(fastest, answerTime(worker));
        candidates.push_back(&worker);
    }
    worker_view *best = nullptr;
    double bestCost = 0;
    for (worker_view *worker : candidates) {
        // A retry uses another endpoint if there is one.
        const double penalty = worker->info.name == avoided ? 1e6 : 0;
        const double tieBreaker = static_cast<double>(nextRandom(pool.random) % 1000) * 1e-5;
        const double cost = endpointCost(*worker, document.policy, fastest) + penalty + tieBreaker;
        if (best == nullptr || cost < bestCost) {
            best = worker;
            bestCost = cost;
        }
    }
    return best;
}

slot_count countSlots(const worker_pool &pool, const authority_state &authority,
                      const std::string &self, const service_document &document, timestamp now)
{
    slot_count count;
    const auto names = pool.byService.find(document.service);
    if (names == pool.byService.end()) {
        return count;
    }
    for (const std::string &name : names->second) {
        const worker_view &worker = pool.workers.at(name);
        if (!isAllowedDomain(document, worker.info.failure_domain) || isLeavingWorker(worker)
            || isEjected(worker, now) || !holdsLease(authority, self, worker.shard, now)) {
            continue;
        }
        count.total += worker.info.slots;
        count.free += countUsableSlots(worker, authority, self, now);
    }
    return count;
}

void recordEndpointSuccess(worker_view &worker, microseconds latency)
{
    endpoint_health &health = worker.health;
    health.consecutiveFailures = 0;
    health.ejections = 0;
    health.isProbing = false;
    health.meanAnswer = health.meanAnswer == 0
        ? std::max<microseconds>(latency, 1)
        : health.meanAnswer + (latency - health.meanAnswer) / meanDivisor;
}

void recordEndpointFailure(worker_pool &pool, worker_view &worker, timestamp now)
{
    endpoint_health &health = worker.health;
    ++health.consecutiveFailures;
    health.isProbing = false;
    if (health.consecutiveFailures < failuresBeforeEjection && health.ejections == 0) {
        return;
    }
    const std::vector<std::string> &names = pool.byService[worker.info.service];
    const auto ejected = std::count_if(names.begin(), names.end(), [&pool, now](const auto &name) {
        const worker_view &other = pool.workers.at(name);
        return isEjected(other, now) || needsProbe(other);
    });
    const bool isEjectable = health.ejections > 0
        || (ejected + 1) * 100 <= maxEjectedPercent * static_cast<long>(names.size());
    if (!isEjectable) {
        return;
    }
    health.ejectedUntil =
        now + (initialEjectionDuration << std::min(health.ejections, maxEjectionDoublings));
    ++health.ejections;
}

std::uint64_t nextRandom(std::uint64_t &state)
{
    // splitmix64 (Steele, Lea, Flood 2014).
    state += 0x9e3779b97f4a7c15ull;
    std::uint64_t value = state;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ull;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebull;
    return value ^ (value >> 31);
}

bool isAllowedDomain(const service_document &document, const std::string &domain)
{
    const auto &domains = document.allowed_domains;
    return std::find(domains.begin(), domains.end(), domain) != domains.end();
}

} // namespace bramleygrade
