#pragma once

#include <string>
#include <vector>

#include "bramleygrade/values.h"

/// \file
/// Synthetic loads that are run with the scheduler and with the baseline policies.

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
    /// In the middle third of `length`, one team sends this many times its usual rate.
    int burstFactor = 1;
    /// Share of the requests that are sent to the first entry, in percent; the others are spread
    /// evenly over all entries.
    int hotEntryPercent = 14;
    /// Faults; all begin after a third of `length`.
    int slowWorkers = 0;
    int failingWorkers = 0;
    bool losesDomain = false;
    bool losesTable = false;
    std::uint64_t seed = 1;
};

/// One request of the load, generated beforehand so that all policies get equal requests.
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
    /// Time from the arrival of a request to its start on a worker.
    std::vector<microseconds> waits;
    /// Waiting times of the teams that keep to their usual rate.
    std::vector<microseconds> steadyTeamWaits;
    double controlBytesPerEntrySecond = 0;
    double tableOpsPerSecond = 0;
};

std::vector<offered_load> allLoads();

/// Returns the requests in order of time; times are relative to the start of the load.
std::vector<offered_request> drawRequests(const offered_load &load);

/// Runs `load` with real decision cores in virtual time.
load_outcome runScheduler(const offered_load &load);

} // namespace bramleygrade
