#pragma once

#include <cstdint>
#include <vector>

#include "cell/placement/placement.h"

/// \file
/// How the learned speeds of workers enter placement. Without speeds in use (`logRunTime` empty)
/// nothing here changes a decision.

namespace bramleygrade::cell {

/// Returns the cost per unit of a worker's `logRunTime`: positive for steps that gain from fast
/// workers, negative for those that leave them to others.
double speedCostFactor(const waiting_step &waiting, timestamp now);

/// The cost that a worker's speed adds to `placementCost`; for scavenging tasks, the processor time
/// that is left over there now, and that such tasks have got there.
double speedCost(const step_spec &step, double factor, const worker_headroom &headroom);

/// Returns how many of `slots` scavenging tasks a worker may take in one round, so that they spread
/// over the processor time left over; at least one.
std::int64_t limitScavenging(const step_spec &step, const worker_headroom &headroom,
                             std::int64_t slots);

/// Number of the class of like workers: they differ by less than a quarter in speed. Lower is
/// faster; 0 while speeds are not in use.
int speedClass(const worker_state &worker);

/// Rank of a worker by how well its speed suits the step; lower is better, and workers of one rank
/// are alike. 0 while speeds are not in use.
int speedRank(const step_spec &step, double factor, const worker_headroom &headroom);

/// Tasks of a gang that fit on the workers of one class.
struct class_slots
{
    int speedClass = 0;
    std::int64_t slots = 0;
};

/// Returns the slowest class that a gang of `needed` tasks has to use; the slowest of all if even
/// that does not suffice.
int slowestClassNeeded(std::vector<class_slots> available, std::int64_t needed);

} // namespace bramleygrade::cell
