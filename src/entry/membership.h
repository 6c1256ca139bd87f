#pragma once

#include "entry/claim_order.h"
#include "entry/entry.h"

/// \file
/// Functions shared by the source files about the scheduler's election: membership.cpp,
/// scheduler_probe.cpp and handover.cpp.

namespace bramleygrade::entry {

/// Timeout of a read or write of the head row.
constexpr microseconds headTimeout = 700 * millisecond;

// membership.cpp
/// Returns true if the event loop is late, or has been at `since` or later. Contact that is missed
/// in that time says nothing about the scheduler.
bool wasLate(const entry_state &entry, timestamp since, timestamp now);

// peers.cpp
/// Tells the other entries but the silent scheduler that this one is claiming the head row.
void announceClaim(entry_state &entry);

// scheduler_probe.cpp
/// Reads the head row and asks its scheduler and some other entries for a sign of life. Claims the
/// head row if there is none until the entry's turn to claim has come.
void probeScheduler(entry_state &entry, const claim_turn &turn);

} // namespace bramleygrade::entry
