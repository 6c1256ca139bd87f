#pragma once

#include "entry/entry.h"

/// \file
/// Keeps the confirmation of an entry's configuration up to date, by the store and by other
/// entries.

namespace bramleygrade::entry {

/// Records what a complete read or long poll of the configuration table, which began at `beganAt`,
/// says about the configuration in force. Call it after the rows have been applied.
/// `rowVersion`: version of the configuration row according to this entry's reads; 0: no row.
void confirmFromStore(entry_state &entry, timestamp beganAt, std::int64_t rowVersion);

/// Logs when the confirmation expires, and asks peers when it is due. Does nothing where no keys
/// are required.
void monitorConfirmation(entry_state &entry, timestamp now);

/// Handles that `version` is in force at another entry.
void hearOfVersion(entry_state &entry, std::int64_t version, microseconds askDelay);

/// Delay after which a peer is asked for a version that a heartbeat announced. By then the store
/// has normally delivered it.
constexpr microseconds announcedVersionDelay = 600 * millisecond;

confirm_reply answerConfirmQuery(entry_state &entry, const confirm_query &query);

} // namespace bramleygrade::entry
