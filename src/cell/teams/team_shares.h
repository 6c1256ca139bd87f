#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cell/placement/placement.h"

/// \file
/// Which jobs are within their team's guaranteed share, and the order of the teams while capacity
/// is short. Nothing is computed while the configuration has no teams.

namespace bramleygrade::cell {

/// Whether another job of the team would be beyond its share now: the team has sent as many jobs
/// within its share in the window as its weight and the slack allow. Jobs without a team and teams
/// that the configuration lacks have no window and are never beyond a share.
bool isBeyondShare(scheduler &cell, const std::string &team, timestamp now);

/// Counts a job that was accepted within its team's share.
void countInShare(scheduler &cell, const std::string &team, timestamp now);

/// Returns the largest share of any resource of all workers that is used, divided by the weight
/// (weighted dominant resource fairness, Ghodsi et al., NSDI 2011). Teams without a weight come
/// after all others.
double weightedDominantShare(const resources &used, const resources &all, double weight);

/// Sorts the steps of a round, which are sorted as without teams, by the shares of their teams:
/// steps beyond a share last, then by priority, then those of teams with less than is due to them,
/// then by weighted dominant share, ascending; otherwise as without teams. What the earlier steps
/// of a team may start in the round counts as used. Splits wide steps, so that one does not take
/// all that is free. `canStart` tells whether a step may start tasks.
void orderByShares(const scheduler &cell, std::vector<waiting_step> &waiting,
                   const std::function<bool(const waiting_step &)> &canStart);

/// Keeps the other parts of a step that was split from being planned in this round, if this part
/// did not start all of its tasks.
void skipOtherParts(const scheduler &cell, const waiting_step &waiting, std::size_t started,
                    timestamp now);

} // namespace bramleygrade::cell
