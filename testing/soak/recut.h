#pragma once

#include "soak.h"

/// \file
/// Half of the workers crash under long tasks, are back under their ids soon, and are cut off
/// shortly afterwards; again every 14 s with the other half.

namespace bramleygrade::soak {

/// Runs this shape once all entries are ready, and ends the world as `runSoak` does.
void runRecut(cell_world &world, const soak_settings &settings);

} // namespace bramleygrade::soak
