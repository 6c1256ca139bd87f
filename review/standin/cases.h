#pragma once

#include "cell_world.h"

/// \file
/// The cases of the review. Each prepares the world, brings the disruption about if the world has
/// trouble, checks the rule as written, and ends the world with 1 (broken), 0 (held) or 2.

namespace bramleygrade::review {

struct review_case
{
    const char *name;
    int workerCount;
    std::int64_t cpuMilli;
    std::vector<route> routes;
    void (*run)(cell_world &world);
};

void runDrainAndCut(cell_world &world);
void runCancelAndCut(cell_world &world);
void runManyEnds(cell_world &world);
void runGangWithoutRoom(cell_world &world);
void runLastingUnderLoad(cell_world &world);
void runPendingAfterLoss(cell_world &world);
void runLongSchedule(cell_world &world);

/// Returns the case of that name, or null.
const review_case *findCase(const std::string &name);

} // namespace bramleygrade::review
