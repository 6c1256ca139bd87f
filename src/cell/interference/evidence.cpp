#include "cell/interference/evidence.h"

#include <algorithm>
#include <cmath>

namespace bramleygrade::cell {

namespace {

constexpr std::size_t columns = loadColumn + 1;
constexpr microseconds decayInterval = 10 * second;
/// Bound on the logarithm of a run's relative run time, so that single stragglers (about seven
/// times the run time) do not dominate.
constexpr double maxRatio = 1.5;
/// Weights of the newest run in the means of an image and of a worker; the first is per job.
constexpr double newestJobWeight = 0.02;
constexpr double newestRunWeight = 0.03;
/// Added to the diagonal of the products, in jobs; keeps the equations solvable and biases effects
/// towards zero.
constexpr double ridge = 1.0;
constexpr double minVariance = 1e-4;

double &product(image_evidence &evidence, std::size_t row, std::size_t column)
{
    return evidence.products[row * columns + column];
}

/// Subtracts the means from the exposure and the ratio, and adds both to the means. Returns whether
/// the means had enough weight before.
bool center(exposure_means &means, run_exposure &exposure, double &ratio, double runWeight,
            double newestWeight)
{
    const bool isKnown = means.weight >= 1 / newestWeight / 2;
    means.weight += runWeight;
    const double share = runWeight * std::max(newestWeight, 1 / std::max(means.weight, 1.0));
    for (std::size_t column = 0; column < columns; ++column) {
        const double mean = means.exposure[column];
        exposure[column] -= mean;
        means.exposure[column] = static_cast<float>(mean + share * exposure[column]);
    }
    ratio -= means.ratio;
    means.ratio += share * ratio;
    return isKnown;
}

/// Cholesky factor of the products of the active columns with the ridge. Returns false if they are
/// not positive definite because of rounding.
bool factorize(const image_evidence &evidence, const std::vector<std::size_t> &active,
               std::vector<double> &factor)
{
    const std::size_t size = active.size();
    factor.assign(size * size, 0);
    for (std::size_t row = 0; row < size; ++row) {
        for (std::size_t column = 0; column <= row; ++column) {
            double sum = evidence.products[active[row] * columns + active[column]]
                + (row == column ? ridge : 0);
            for (std::size_t k = 0; k < column; ++k) {
                sum -= factor[row * size + k] * factor[column * size + k];
            }
            if (row != column) {
                factor[row * size + column] = sum / factor[column * size + column];
            } else if (sum <= 0) {
                return false;
            } else {
                factor[row * size + row] = std::sqrt(sum);
            }
        }
    }
    return true;
}

/// Solves `factor` x = `values` in place, from row `first` on; earlier values are zero.
void solveLower(const std::vector<double> &factor, std::vector<double> &values, std::size_t first)
{
    const std::size_t size = values.size();
    for (std::size_t row = first; row < size; ++row) {
        for (std::size_t k = first; k < row; ++k) {
            values[row] -= factor[row * size + k] * values[k];
        }
        values[row] /= factor[row * size + row];
    }
}

/// Solves the transpose of `factor` x = `values` in place.
void solveUpper(const std::vector<double> &factor, std::vector<double> &values)
{
    const std::size_t size = values.size();
    for (std::size_t row = size; row-- > 0;) {
        for (std::size_t k = row + 1; k < size; ++k) {
            values[row] -= factor[k * size + row] * values[k];
        }
        values[row] /= factor[row * size + row];
    }
}

std::vector<std::size_t> findActiveColumns(const image_evidence &evidence)
{
    std::vector<std::size_t> active;
    for (std::size_t column = 0; column < columns; ++column) {
        if (column == loadColumn || evidence.exposure[column] >= 1) {
            active.push_back(column);
        }
    }
    return active;
}

} // namespace

double decayOver(microseconds time)
{
    return std::exp2(-static_cast<double>(std::max<microseconds>(time, 0))
                     / static_cast<double>(evidenceHalfLife));
}

void decay(image_evidence &evidence, timestamp now)
{
    if (evidence.decayedAt == distantPast) {
        evidence.decayedAt = now;
    }
    if (now < evidence.decayedAt + decayInterval) {
        return;
    }
    const double factor = decayOver(now - evidence.decayedAt);
    evidence.decayedAt = now;
    evidence.jobs *= factor;
    evidence.ratioSquares *= factor;
    for (std::size_t column = 0; column < columns; ++column) {
        evidence.exposure[column] *= factor;
        evidence.exposureRatios[column] *= factor;
    }
    for (double &value : evidence.products) {
        value *= factor;
    }
}

void addRun(image_evidence &evidence, exposure_means &worker, const finished_run &run,
            timestamp now)
{
    decay(evidence, now);
    run_exposure exposure = run.exposure;
    double ratio = run.ratio;
    const bool isImageKnown = center(evidence.means, exposure, ratio, run.weight, newestJobWeight);
    ratio = std::clamp(ratio, -maxRatio, maxRatio);
    const bool isWorkerKnown = center(worker, exposure, ratio, 1, newestRunWeight);
    if (!isImageKnown || !isWorkerKnown) {
        return;
    }
    evidence.products.resize(columns * columns);
    evidence.jobs += run.weight;
    evidence.ratioSquares += run.weight * ratio * ratio;
    for (std::size_t row = 0; row < columns; ++row) {
        evidence.exposure[row] += run.weight * run.exposure[row];
        const double weighted = run.weight * exposure[row];
        evidence.exposureRatios[row] += weighted * ratio;
        for (std::size_t column = 0; column <= row; ++column) {
            product(evidence, row, column) += weighted * exposure[column];
        }
    }
}

void removeColumn(image_evidence &evidence, std::size_t column)
{
    evidence.exposure[column] = 0;
    evidence.exposureRatios[column] = 0;
    evidence.means.exposure[column] = 0;
    for (std::size_t other = 0; other < columns && !evidence.products.empty(); ++other) {
        product(evidence, column, other) = 0;
        product(evidence, other, column) = 0;
    }
}

std::vector<effect_estimate> estimateEffects(const image_evidence &evidence)
{
    std::vector<effect_estimate> estimates(maxTrackedImages);
    const std::vector<std::size_t> active = findActiveColumns(evidence);
    const double freedom = evidence.jobs - static_cast<double>(active.size());
    std::vector<double> factor;
    if (evidence.products.empty() || freedom < minEvidence
        || !factorize(evidence, active, factor)) {
        return estimates;
    }
    std::vector<double> effects;
    effects.reserve(active.size());
    for (const std::size_t column : active) {
        effects.push_back(evidence.exposureRatios[column]);
    }
    solveLower(factor, effects, 0);
    double explained = 0;
    for (const double value : effects) {
        explained += value * value;
    }
    solveUpper(factor, effects);
    const double variance = std::max((evidence.ratioSquares - explained) / freedom, minVariance);
    for (std::size_t index = 0; index < active.size(); ++index) {
        if (active[index] == loadColumn) {
            continue;
        }
        std::vector<double> unit(active.size(), 0);
        unit[index] = 1;
        solveLower(factor, unit, index);
        double inverse = 0;
        for (const double value : unit) {
            inverse += value * value;
        }
        estimates[active[index]] = {effects[index], std::sqrt(variance * inverse)};
    }
    return estimates;
}

} // namespace bramleygrade::cell
