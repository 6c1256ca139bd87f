#pragma once

#include "entry/entry.h"

/// \file
/// Handles writes that the store rejects: it has applied nothing, and would reject the same write
/// again. A change that is the reason must not hold back the others. The next write has half of the
/// changes, down to a single one. If that is rejected, a write without changes shows whether the
/// store takes writes at all; if it does, and rejects the change again, the change is set apart.
///
/// An earlier attempt of a rejected write that got no answer may still take effect. The write
/// without changes then settles the matter before its changes are built anew: it rewrites the head
/// row, which the attempt expects unchanged.

namespace bramleygrade::entry {

/// Returns a write that only rewrites the head row.
table_write makeHeadWrite(entry_state &entry, std::int64_t sequence);
/// Makes the write the one under way, of which no attempt has been sent.
void beginAttempts(entry_state &entry, table_write write);

/// Handles the rejection of the write under way.
void onRejected(entry_state &entry);
/// Handles the success of the write without changes.
void endProbe(entry_state &entry, std::int64_t version);
/// The write before the one without changes has taken effect; it is the one under way again.
void resumeUncertainWrite(leader_state &leaderState);
void noteAcceptedWrite(rejection_state &rejection);

} // namespace bramleygrade::entry
