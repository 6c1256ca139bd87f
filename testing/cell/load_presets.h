#pragma once

#include "testing/cell/load_simulation.h"

/// \file
/// Loads of the users' deployments for the load simulation, taken from their site files.

namespace bramleygrade::testing {

/// Wide gangs on 350 large workers, of which the advisory service allows few.
load_settings makeWideSteps();

/// As `makeWideSteps`, with the load of busy days, some workers gone and a quarter of the entries
/// that call the advisory service away.
load_settings makeWideStepsAtPeak();

/// 540 workers at 0.9 of their capacity; the teams' estimates of run times are up to ten times too
/// low or almost twice too high.
load_settings makeLargeCell();

/// 350 workers of which one in four runs at 0.55 of the mean speed and the others at 1.2; 3 % of
/// the tasks take seven times as long, and the load swings by 55 % in 15 s.
load_settings makeUnevenSpeeds();

/// Returns the share of the class's worth that was earned.
double earnedShare(const load_class_outcome &outcome);

/// What became of some jobs.
struct size_outcome
{
    int jobs = 0;
    /// Share of the jobs that completed on time or late.
    double served = 1;
    double onTime = 1;
    /// Share of the worth that was earned.
    double earned = 1;
    /// As of `load_job_outcome`, mean of a job.
    std::map<cell::gang_obstacle, double> gangWaits;
    double queuedForAdvice = 0;
};

/// Outcomes of the jobs of a class: the largest tenth by their work, the fifth below it, and the
/// smaller ones.
struct outcome_by_size
{
    size_outcome largestTenth;
    size_outcome nextFifth;
    size_outcome smaller;
    size_outcome all;
};

outcome_by_size sortBySize(const load_outcome &outcome, std::size_t classIndex);

/// Adds up the outcomes of all classes.
load_class_outcome sumOutcomes(const load_outcome &outcome);

} // namespace bramleygrade::testing
