#pragma once

#include <string>
#include <vector>

#include "bramleygrade/values.h"

/// \file
/// Loads that are offered to our policy and to the baselines alike.

namespace bramleygrade {

/// A load on 7 entries and 50 workers of 8 slots in three failure domains.
struct offered_load
{
    std::string name;
    int entries = 7;
    int workers = 50;
    int slots = 8;
    microseconds answerTime = 20 * millisecond;
    microseconds length = 20 * second;
    double requestsPerSecond = 10'000;
    microseconds deadline = 2 * second;
    /// From the middle third on, one team sends this many times more.
    int burstFactor = 1;
    /// Share of the requests that come in through the first entry, in percent.
    int hotEntryPercent = 14;
    /// Faults from the middle third on.
    int slowWorkers = 0;
    int failingWorkers = 0;
    bool losesDomain = false;
    bool losesTable = false;
    std::uint64_t seed = 1;
};

/// One request of the load, drawn beforehand so that all policies get the same.
struct offered_request
{
    timestamp at = 0;
    int entry = 0;
    bool isFromBurstingTeam = false;
    /// Share of the mean answer time, in thousandths.
    int workPerMille = 1000;
};

struct load_outcome
{
    std::size_t offered = 0;
    std::size_t missed = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    /// From arrival to the start of the answer.
    std::vector<microseconds> waits;
    /// The same for teams that keep to their usual rate.
    std::vector<microseconds> steadyTeamWaits;
    double controlBytesPerEntrySecond = 0;
    double tableOpsPerSecond = 0;
};

std::vector<offered_load> allLoads();

/// Requests in order of time, the first at time 0.
std::vector<offered_request> drawRequests(const offered_load &load);

load_outcome runScheduler(const offered_load &load);

} // namespace bramleygrade
