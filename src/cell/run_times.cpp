#include "cell/run_times.h"

#include <algorithm>
#include <cmath>

namespace bramleygrade::cell {

namespace {

/// Weight of the newest value once enough have been seen for it to be the smaller one.
constexpr double newestWeight = 0.02;
/// Completed steps from which the record is used.
constexpr int minSteps = 10;
/// Lower bound of the variances, for queues whose steps are all alike.
constexpr double minVariance = 1e-4;

void addValue(decaying_moments &moments, double value, double weight)
{
    const double difference = value - moments.mean;
    moments.mean += weight * difference;
    moments.variance = (1 - weight) * (moments.variance + weight * difference * difference);
}

} // namespace

void recordRunTime(run_time_record &record, microseconds declared, microseconds observed)
{
    if (declared <= 0 || observed <= 0) {
        return;
    }
    ++record.steps;
    const double weight = std::max(newestWeight, 1.0 / record.steps);
    const double logObserved = std::log(static_cast<double>(observed));
    addValue(record.observed, logObserved, weight);
    addValue(record.declaredError, std::log(static_cast<double>(declared)) - logObserved, weight);
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

} // namespace bramleygrade::cell
