#pragma once

#include "cell/placement/placement.h"

/// \file
/// Keeps a placement round within the caps of the teams. A step that its team's cap keeps from
/// starting holds no capacity, asks for no advice and preempts nothing.

namespace bramleygrade::cell {

/// Prepares a round: computes the room of each team, and drops what the steps hold that cannot
/// start for lack of room. Does nothing if no team has a cap.
void beginCappedRound(scheduler &cell, const std::vector<waiting_step> &waiting, timestamp now);

/// Reduces the waiting tasks to those that the cap of the team has room for: a gang to all or none.
/// Returns false if there are none; a gang that is next in its team's order then keeps its room
/// from later steps of the team, as it would wait forever beside a stream of smaller ones.
bool limitToCap(scheduler &cell, waiting_step &waiting, const headroom_map &headrooms);

/// Keeps room under the cap for a gang that holds capacity and could not start.
void holdCapForGang(scheduler &cell, const waiting_step &waiting, timestamp now);

/// As `limitToCap`, outside a round: changes no state, and ignores what gangs hold.
bool fitsCap(const scheduler &cell, waiting_step &waiting);

} // namespace bramleygrade::cell
