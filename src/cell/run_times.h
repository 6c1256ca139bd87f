#pragma once

#include "cell/types.h"

namespace bramleygrade::cell {

/// Mean and variance of a sequence in which recent values weigh more.
struct decaying_moments
{
    double mean = 0;
    double variance = 0;
};

/// What is known of the run times of a queue's steps, as natural logarithms of microseconds.
struct run_time_record
{
    int steps = 0;
    /// Longest run of each completed step.
    decaying_moments observed;
    /// Declared run time relative to the observed one.
    decaying_moments declaredError;
};

/// Adds a completed step. Does nothing if either time is not positive.
void recordRunTime(run_time_record &record, microseconds declared, microseconds observed);

/// Returns the expected run time of a step: the declared time, corrected by the queue's usual
/// error, and the queue's mean, weighted by their precision. Returns the declared time while few
/// steps have completed.
microseconds expectRunTime(const run_time_record &record, microseconds declared);

} // namespace bramleygrade::cell
