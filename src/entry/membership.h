#pragma once

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

// scheduler_probe.cpp
/// Reads the head row and asks its scheduler and other entries for a sign of life. Claims the head
/// row if there is none.
void probeScheduler(entry_state &entry);

// handover.cpp
/// Returns true if a member, the current scheduler excepted, has a much larger processor share.
bool hasLargerMember(const entry_state &entry);

} // namespace bramleygrade::entry
