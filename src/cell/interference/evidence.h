#pragma once

#include <vector>

#include "cell/interference/presence.h"

/// \file
/// Regression of the run times of one image on what was beside its runs.

namespace bramleygrade::cell {

/// Evidence and frequencies lose half their weight in this time.
constexpr microseconds evidenceHalfLife = 600 * second;

/// Returns the weight that is left after `time`.
double decayOver(microseconds time);

/// Jobs from which an effect is estimated, and that are needed with and without the other image
/// before a pair is noticed. With fewer, a few stragglers outweigh the normal approximation.
constexpr double minEvidence = 100;

/// A successful run at its end.
struct finished_run
{
    run_exposure exposure {};
    /// Natural logarithm of the run time relative to the declared one.
    double ratio = 0;
    /// One divided by the number of the job's tasks, as their errors are alike.
    double weight = 1;
};

/// Decayed sums over the runs of one image, weighted by `finished_run::weight`.
struct image_evidence
{
    exposure_means means;
    timestamp decayedAt = distantPast;
    /// Sum of the weights: the number of independent jobs.
    double jobs = 0;
    double ratioSquares = 0;
    /// Sums of the exposures; of the centered exposures times the ratios.
    run_exposure exposure {};
    run_exposure exposureRatios {};
    /// Lower triangle of the matrix of products of the centered exposures, by rows of
    /// `loadColumn` + 1; empty until the first run counts.
    std::vector<double> products;
};

/// Effect of an image on the logarithm of the run time.
struct effect_estimate
{
    double effect = 0;
    /// 0: there is too little evidence.
    double standardError = 0;
};

/// Adds a run; `worker` holds the means of the worker it ran on.
void addRun(image_evidence &evidence, exposure_means &worker, const finished_run &run,
            timestamp now);

void decay(image_evidence &evidence, timestamp now);

/// Forgets the effect of one image.
void removeColumn(image_evidence &evidence, std::size_t column);

/// Estimates the effects of all images, by index.
std::vector<effect_estimate> estimateEffects(const image_evidence &evidence);

} // namespace bramleygrade::cell
