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
    /// Run time on workers of mean speed relative to the observed one.
    decaying_moments soundRatio;
};

/// Mean ratio of run times to declared ones, as a natural logarithm.
struct run_time_ratio
{
    int runs = 0;
    double mean = 0;
};

/// Adds a completed step; `sound` is its run time as on workers of mean speed. Does nothing if one
/// of the times is not positive.
void recordRunTime(run_time_record &record, microseconds declared, microseconds observed,
                   microseconds sound);

/// Returns the expected run time of a step: the declared time, corrected by the queue's usual
/// error, and the queue's mean, weighted by their precision. Returns the declared time while few
/// steps have completed.
microseconds expectRunTime(const run_time_record &record, microseconds declared);

/// Returns the expected run time of a step on workers of mean speed.
microseconds expectSoundRunTime(const run_time_record &record, microseconds declared);

/// Adds a run of a queue's task on a worker to the ratio of the queue, and to that of the worker
/// relative to the queue. Does nothing if either time is not positive.
void recordRunOnWorker(run_time_ratio &ofQueue, run_time_ratio &ofWorker, microseconds declared,
                       microseconds observed);

/// Returns the worker's run times as a multiple of the mean; 1 while few runs have completed.
double slownessOf(const run_time_ratio &ofWorker);

} // namespace bramleygrade::cell
