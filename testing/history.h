#pragma once

#include <string>
#include <vector>

#include "testing/cell_fake.h"

/// \file
/// One randomised history of a cell: callers, operators and jobs under injected faults. Afterwards,
/// the records of the fakes are checked for violated guarantees.

namespace bramleygrade {

struct history_options
{
    std::uint64_t seed = 1;
    microseconds length = 75 * second;
    bool hasFaults = true;
    bool hasCallers = true;
    bool hasOperators = true;
    bool hasJobs = true;
    /// Prints the events, for the analysis of a violation.
    bool isTraced = false;
};

struct history_result
{
    /// Violated guarantees; empty if there are none.
    std::vector<std::string> violations;
    int requests = 0;
    int done = 0;
    int notRun = 0;
    int mayHaveRun = 0;
    int unanswered = 0;
    int changesAccepted = 0;
    int jobsAccepted = 0;
    int tasksStarted = 0;
    int tasksFinished = 0;
    /// Samples of (shard, time) during table outages, and those in which an entry may act.
    long outageSamples = 0;
    long outageSamplesHeld = 0;
    /// All samples of (shard, time), and those in which an entry may act.
    long samples = 0;
    long samplesHeld = 0;
};

history_result runHistory(const history_options &options);

} // namespace bramleygrade
