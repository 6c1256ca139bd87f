#pragma once

#include "testing/cell/load_simulation.h"

/// \file
/// Loads of the users' deployments for the load simulation, taken from their site files.

namespace bramleygrade::testing {

/// Wide gangs on 350 large workers, of which the advisory service allows few.
load_settings makeWideSteps();

/// 540 workers at 0.9 of their capacity; the teams' estimates of run times are up to ten times too
/// low or almost twice too high.
load_settings makeLargeCell();

/// 350 workers of which one in four runs at 0.55 of the mean speed and the others at 1.2; 3 % of
/// the tasks take seven times as long, and the load swings by 55 % in 15 s.
load_settings makeUnevenSpeeds();

/// Returns the share of the class's worth that was earned.
double earnedShare(const load_class_outcome &outcome);

/// Adds up the outcomes of all classes.
load_class_outcome sumOutcomes(const load_outcome &outcome);

} // namespace bramleygrade::testing
