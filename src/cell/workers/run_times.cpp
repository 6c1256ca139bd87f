#include "cell/workers/run_times.h"

#include <algorithm>
#include <cmath>

namespace bramleygrade::cell {

namespace {

/// Weight of the newest value once enough have been seen for it to be the smaller one.
constexpr double newestWeight = 0.02;
/// Completed steps from which the record is used.
constexpr int minSteps = 10;
/// Weight of the newest run on a worker once enough have been seen for it to be the smaller one.
constexpr double newestRunWeight = 0.03;
/// Completed runs from which a ratio is used.
constexpr int minRuns = 10;
/// Bound on the slowness of a worker, and its inverse.
constexpr double maxSlowness = 4;
/// Lower bound of the variances, for queues whose steps are all alike.
constexpr double minVariance = 1e-4;

void addValue(decaying_moments &moments, double value, double weight)
{
    const double difference = value - moments.mean;
    moments.mean += weight * difference;
    moments.variance = (1 - weight) * (moments.variance + weight * difference * difference);
}

void addRatio(run_time_ratio &ratio, double value)
{
    ++ratio.runs;
    ratio.mean += std::max(newestRunWeight, 1.0 / ratio.runs) * (value - ratio.mean);
}

} // namespace

void recordRunTime(run_time_record &record, microseconds declared, microseconds observed,
                   microseconds sound)
{
    if (declared <= 0 || observed <= 0 || sound <= 0) {
        return;
    }
    ++record.steps;
    const double weight = std::max(newestWeight, 1.0 / record.steps);
    const double logObserved = std::log(static_cast<double>(observed));
    addValue(record.observed, logObserved, weight);
    addValue(record.declaredError, std::log(static_cast<double>(declared)) - logObserved, weight);
    addValue(record.soundRatio, std::log(static_cast<double>(sound)) - logObserved, weight);
}

microseconds expectRunTime(const run_time_record &record, microseconds declared)
{
    if (record.steps < minSteps || declared <= 0) {
        return declared;
    }
    const double ofQueue = 1.0 / std::max(record.observed.variance, minVariance);
    const double ofDeclared = 1.0 / std::max(record.declaredError.variance, minVariance);
    const double corrected = std::log(static_cast<double>(declared)) - record.declaredError.mean;
    return static_cast<microseconds>(std::exp(
        (record.observed.mean * ofQueue + corrected * ofDeclared) / (ofQueue + ofDeclared)));
}

microseconds expectSoundRunTime(const run_time_record &record, microseconds declared)
{
    const microseconds expected = expectRunTime(record, declared);
    return record.steps < minSteps ? expected
                                   : static_cast<microseconds>(static_cast<double>(expected)
                                                               * std::exp(record.soundRatio.mean));
}

void recordRunOnWorker(run_time_ratio &ofQueue, run_time_ratio &ofWorker, microseconds declared,
                       microseconds observed)
{
    if (declared <= 0 || observed <= 0) {
        return;
    }
    const double ratio = std::log(static_cast<double>(observed) / static_cast<double>(declared));
    if (ofQueue.runs >= minRuns) {
        addRatio(ofWorker, ratio - ofQueue.mean);
    }
    addRatio(ofQueue, ratio);
}

double slownessOf(const run_time_ratio &ofWorker)
{
    return ofWorker.runs < minRuns
        ? 1.0
        : std::clamp(std::exp(ofWorker.mean), 1 / maxSlowness, maxSlowness);
}

} // namespace bramleygrade::cell
