#pragma once

#include <cstdint>

#include "cell_world.h"

/// \file
/// A randomised soak of the real entries: clients submit and cancel jobs while processes are
/// signalled, links fail and the table service is away, in series that overlap. What the workers
/// and the clients have seen is checked at the end.

namespace bramleygrade::soak {

struct soak_settings
{
    std::uint64_t seed = 1;
    /// Time in which jobs are submitted and faults happen. A calm time follows.
    microseconds length = 40 * second;
};

constexpr int workerCount = 16;

/// Queues of the soak.
const std::vector<route> &soakRoutes();

/// Runs the soak once all entries are ready, and ends the world with 0 (all promises held) or 1.
void runSoak(cell_world &world, const soak_settings &settings);

/// Notes which promises were broken, and ends the world.
void checkPromises(cell_world &world, int jobs);

} // namespace bramleygrade::soak
