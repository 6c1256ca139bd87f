#include "cell/workers/worker_speeds.h"

#include <algorithm>
#include <cmath>

#include "cell/scheduler.h"

namespace bramleygrade::cell {

namespace {

/// Weight of the newest run once enough have been seen for it to be the smaller one. A worker whose
/// speed changes is known by the new one after some 30 runs.
constexpr double newestRunWeight = 0.03;
/// Runs from which the means of queues and workers are used.
constexpr int minRuns = 10;
/// Bound on the deviation of a single run from the expected time. Tasks that take many times as
/// long for reasons of their own would otherwise make their workers look slow.
constexpr double maxDeviation = 1.0;
/// Weight of the newest scavenging run once enough have been seen, and bound on their deviation.
/// What others leave changes within a minute, and may be next to nothing.
constexpr double newestScavengedWeight = 0.1;
constexpr double maxScavengedDeviation = 3.0;
/// Runs that weigh as much as the assumption that a worker leaves as much as the others.
constexpr double scavengedPriorRuns = 3;
/// Bound on the run times of workers, relative to the mean.
constexpr double maxLogRunTime = 1.4;
/// Weight of the newest run in `speed_table::runVariance` once enough have been seen.
constexpr double varianceWeight = 0.002;

/// The speeds of a service are used above this spread. Services of like workers show 0.12 to 0.18.
/// They begin to be used once the spread less its standard error is above it, so that they don't
/// alternate with every second.
constexpr double minUsedSpread = 0.25;
constexpr int minKnownWorkers = 20;

/// Known workers of one kind or rack from which their mean stands for others of that kind or rack.
constexpr int minGroupWorkers = 3;
/// Kinds or racks explain the speeds if the variance within them is at most this share of the
/// variance of the whole service.
constexpr double maxGroupVarianceShare = 0.5;
/// Lower bound of the variance within kinds or racks, as no two workers are quite alike.
constexpr double minGroupVariance = 0.005;

constexpr microseconds refreshInterval = 1 * second;
/// Speeds of workers that have left are kept this long, for their return.
constexpr microseconds keptAfterLeaving = 600 * second;

std::string kindOf(const worker_entry &entry)
{
    std::string kind;
    for (const std::string &label : entry.labels) {
        kind += label == entry.rack ? "" : label + '\n';
    }
    return kind;
}

bool describes(const worker_speed &speed, const worker_entry &entry)
{
    return speed.service == entry.service && speed.rack == entry.rack
        && speed.capacity == entry.capacity && speed.kind == kindOf(entry);
}

/// Returns the worker's record; one of another worker that left the same address if there is none.
worker_speed &ensureSpeed(speed_table &table, const worker_entry &entry)
{
    const auto [it, inserted] = table.workers.try_emplace(entry.id);
    worker_speed &speed = it->second;
    if (!inserted && describes(speed, entry)) {
        return speed;
    }
    speed = {};
    speed.service = entry.service;
    speed.kind = kindOf(entry);
    speed.rack = entry.rack;
    speed.capacity = entry.capacity;
    speed.address = entry.address;
    if (!entry.address.empty()) {
        for (const auto &[id, former] : table.workers) {
            if (id != entry.id && former.address == entry.address && describes(former, entry)) {
                speed.runs = former.runs;
                speed.mean = former.mean;
                speed.scavenged = former.scavenged;
            }
        }
    }
    return speed;
}

/// Drops the records of workers whose registry entry shows another instance now.
void dropOutdated(speed_table &table, const std::map<std::string, worker_state> &workers)
{
    for (const auto &[id, worker] : workers) {
        const auto found = table.workers.find(id);
        if (found != table.workers.end() && !describes(found->second, worker.entry)) {
            table.workers.erase(found);
        }
    }
}

/// Returns the variance of the error of a mean of `runs` runs.
double errorVariance(double runVariance, int runs)
{
    return runVariance * std::max(newestRunWeight / (2 - newestRunWeight), 1.0 / runs);
}

struct value_sums
{
    int count = 0;
    double sum = 0;
    double squares = 0;
};

void addTo(value_sums &sums, double value)
{
    ++sums.count;
    sums.sum += value;
    sums.squares += value * value;
}

double meanOf(const value_sums &sums)
{
    return sums.count == 0 ? 0 : sums.sum / sums.count;
}

double varianceOf(const value_sums &sums)
{
    const double mean = meanOf(sums);
    return sums.count == 0 ? 0 : std::max(0.0, sums.squares / sums.count - mean * mean);
}

/// Standard error of the variance of normally distributed values. Of few workers, some deviate by
/// chance.
double standardErrorOfVariance(const value_sums &sums)
{
    return sums.count < 2 ? varianceOf(sums) : varianceOf(sums) * std::sqrt(2.0 / (sums.count - 1));
}

/// Workers of one service: all known ones, and by kind and rack.
struct service_sums
{
    value_sums all;
    double errors = 0;
    std::map<std::string, value_sums> kinds;
    std::map<std::string, value_sums> racks;
};

/// Returns the variance within the groups, without the error of the estimates; that of the whole
/// service if the groups do not explain the speeds.
double varianceWithin(const std::map<std::string, value_sums> &groups, double overall, double error)
{
    double weighted = 0;
    int count = 0;
    for (const auto &[name, sums] : groups) {
        if (sums.count >= minGroupWorkers) {
            weighted += varianceOf(sums) * sums.count;
            count += sums.count;
        }
    }
    const double within = count == 0 ? overall : std::max(weighted / count - error, 0.0);
    return groups.size() > 1 && within <= overall * maxGroupVarianceShare ? within : overall;
}

/// What the speed of a worker is expected to be from its kind or rack alone.
struct speed_prior
{
    const std::map<std::string, value_sums> *groups = nullptr;
    double variance = 0;
    double serviceMean = 0;
};

speed_prior makePrior(const service_sums &sums, double overall, double error)
{
    const double ofKinds = varianceWithin(sums.kinds, overall, error);
    const double ofRacks = varianceWithin(sums.racks, overall, error);
    const double best = std::min(ofKinds, ofRacks);
    speed_prior prior;
    prior.variance = std::max(best, minGroupVariance);
    prior.serviceMean = meanOf(sums.all);
    if (best < overall) {
        prior.groups = ofKinds <= ofRacks ? &sums.kinds : &sums.racks;
    }
    return prior;
}

double expectedMean(const speed_prior &prior, const service_sums &sums, const worker_speed &speed)
{
    if (prior.groups == nullptr) {
        return prior.serviceMean;
    }
    const auto group = prior.groups->find(prior.groups == &sums.kinds ? speed.kind : speed.rack);
    return group == prior.groups->end() || group->second.count < minGroupWorkers
        ? prior.serviceMean
        : meanOf(group->second);
}

/// Returns the worker's mean and the prior, weighted by their precision, relative to the service.
double estimate(const speed_table &table, const speed_prior &prior, const service_sums &sums,
                const worker_speed &speed)
{
    double mean = expectedMean(prior, sums, speed);
    if (speed.runs > 0) {
        const double ofRuns = 1.0 / std::max(errorVariance(table.runVariance, speed.runs), 1e-6);
        const double ofPrior = 1.0 / prior.variance;
        mean = (speed.mean * ofRuns + mean * ofPrior) / (ofRuns + ofPrior);
    }
    return std::clamp(mean - prior.serviceMean, -maxLogRunTime, maxLogRunTime);
}

void forgetWorkersThatLeft(speed_table &table, timestamp now)
{
    for (auto it = table.workers.begin(); it != table.workers.end();) {
        it = it->second.seenAt != distantPast && now > it->second.seenAt + keptAfterLeaving
            ? table.workers.erase(it)
            : std::next(it);
    }
}

std::map<std::string, service_sums> sumKnownWorkers(const speed_table &table,
                                                    const std::map<std::string, worker_state> &all)
{
    std::map<std::string, service_sums> services;
    for (const auto &[id, worker] : all) {
        const auto found = table.workers.find(id);
        if (found == table.workers.end() || found->second.runs < minRuns) {
            continue;
        }
        const worker_speed &speed = found->second;
        service_sums &sums = services[speed.service];
        addTo(sums.all, speed.mean);
        addTo(sums.kinds[speed.kind], speed.mean);
        addTo(sums.racks[speed.rack], speed.mean);
        sums.errors += errorVariance(table.runVariance, speed.runs);
    }
    return services;
}

} // namespace

void recordWorkerSpeed(speed_table &table, const worker_entry &entry, const std::string &queue,
                       const std::string &job, microseconds declared, microseconds observed,
                       timestamp now)
{
    if (declared <= 0 || observed <= 0) {
        return;
    }
    worker_speed &speed = ensureSpeed(table, entry);
    speed.seenAt = now;
    if (speed.job == job) {
        return;
    }
    speed.job = job;
    run_time_ratio &ofQueue = table.queues[queue];
    const double value = std::log(static_cast<double>(observed) / static_cast<double>(declared));
    const double ofWorker = speed.runs < minRuns ? 0 : speed.mean;
    if (ofQueue.runs >= minRuns) {
        const double deviation =
            std::clamp(value - ofQueue.mean - speed.mean, -maxDeviation, maxDeviation);
        ++table.varianceRuns;
        table.runVariance += std::max(varianceWeight, 1.0 / table.varianceRuns)
            * (deviation * deviation - table.runVariance);
        ++speed.runs;
        speed.mean += std::max(newestRunWeight, 1.0 / speed.runs) * deviation;
    }
    ++ofQueue.runs;
    const double bound = ofQueue.runs <= minRuns ? 2 * maxDeviation : maxDeviation;
    ofQueue.mean += std::max(newestRunWeight, 1.0 / ofQueue.runs)
        * std::clamp(value - ofWorker - ofQueue.mean, -bound, bound);
}

void recordScavengedRun(speed_table &table, const worker_entry &entry, const std::string &queue,
                        microseconds declared, microseconds observed, timestamp now)
{
    if (declared <= 0 || observed <= 0) {
        return;
    }
    run_time_ratio &ofQueue = table.scavengingQueues[queue];
    worker_speed &speed = ensureSpeed(table, entry);
    speed.seenAt = now;
    const double value = std::log(static_cast<double>(observed) / static_cast<double>(declared));
    const auto add = [](run_time_ratio &record, double deviation) {
        ++record.runs;
        record.mean += std::max(newestScavengedWeight, 1.0 / record.runs)
            * std::clamp(deviation, -maxScavengedDeviation, maxScavengedDeviation);
    };
    if (ofQueue.runs >= minRuns) {
        add(speed.scavenged, value - ofQueue.mean - speed.scavenged.mean);
    }
    add(ofQueue, value - speed.scavenged.mean - ofQueue.mean);
}

std::vector<std::string>
refreshWorkerSpeeds(speed_table &table, std::map<std::string, worker_state> &workers, timestamp now)
{
    if (now < table.nextRefreshAt) {
        return {};
    }
    table.nextRefreshAt = now + refreshInterval;
    dropOutdated(table, workers);
    const std::map<std::string, service_sums> services = sumKnownWorkers(table, workers);
    std::map<std::string, speed_prior> priors;
    std::vector<std::string> changed;
    for (auto &[name, service] : table.services) {
        service.knownWorkers = 0; // of services that have no known worker any more
    }
    for (const auto &[name, sums] : services) {
        table.services[name].knownWorkers = sums.all.count;
    }
    for (auto &[name, service] : table.services) {
        const auto found = services.find(name);
        const bool wasUsed = service.used;
        service.spread = 0;
        double certain = 0;
        if (found != services.end()) {
            const double error = found->second.errors / found->second.all.count;
            const double variance = std::max(0.0, varianceOf(found->second.all) - error);
            service.spread = std::sqrt(variance);
            certain =
                std::sqrt(std::max(0.0, variance - standardErrorOfVariance(found->second.all)));
            priors[name] = makePrior(found->second, variance, error);
        }
        service.used = service.knownWorkers >= minKnownWorkers
            && (wasUsed ? service.spread : certain) > minUsedSpread;
        if (service.used != wasUsed) {
            changed.push_back(name);
        }
    }
    for (auto &[id, worker] : workers) {
        const auto service = table.services.find(worker.entry.service);
        worker.logRunTime.reset();
        worker.logScavenged = 0;
        const auto speed = table.workers.find(id);
        if (speed != table.workers.end()) {
            speed->second.seenAt = now;
        }
        if (service != table.services.end() && service->second.used) {
            const worker_speed &known = ensureSpeed(table, worker.entry);
            worker.logRunTime =
                estimate(table, priors.at(service->first), services.at(service->first), known);
            worker.logScavenged = known.scavenged.mean * known.scavenged.runs
                / (known.scavenged.runs + scavengedPriorRuns);
        }
    }
    forgetWorkersThatLeft(table, now);
    return changed;
}

void updateSpeeds(scheduler &cell, timestamp now, orders &out)
{
    for (const std::string &name : refreshWorkerSpeeds(cell.speeds, cell.workers, now)) {
        const service_speeds &service = cell.speeds.services.at(name);
        out.events.push_back({"worker_speeds", "",
                              "service=" + name + " used=" + (service.used ? "yes" : "no")
                                  + " workers=" + std::to_string(service.knownWorkers)
                                  + " spread=" + std::to_string(service.spread)});
    }
}

} // namespace bramleygrade::cell
