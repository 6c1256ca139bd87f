#pragma once

#include <cstddef>
#include <cstdint>

#include "bramleygrade/values.h"

/// \file
/// How the configuration row reaches an entry. A large row takes seconds on a slow link, where each
/// further copy delays it, and a transfer that is abandoned delivers nothing.

namespace bramleygrade::entry {

struct entry_state;

/// Transfers of the configuration row to this entry.
struct config_transfers
{
    /// When the newest part of an answer of the store arrived that is not complete yet.
    timestamp storePartAt = distantPast;
    /// A peer is sending the row.
    bool isPeerSending = false;
    /// Bytes of rows that this entry has sent to others in the window that ends at `windowEndsAt`.
    std::size_t servedBytes = 0;
    timestamp windowEndsAt = distantPast;
    /// Consecutive transfers that were abandoned, and when the first of them began.
    std::int64_t failures = 0;
    timestamp failingSince = distantPast;
    /// When the next failure is logged.
    timestamp nextReportAt = distantPast;
};

/// A transfer of the configuration row that has ended.
struct config_transfer
{
    /// "store" or "peer".
    const char *source = "";
    timestamp beganAt = distantPast;
    bool isComplete = false;
    /// Bytes of the response's body that have arrived.
    std::size_t bytes = 0;
};

/// Returns whether the store is sending the configuration to this entry. Another transfer at the
/// same time would only slow it down.
bool isStoreDelivering(const config_transfers &transfers, timestamp now);

/// Returns whether this entry may send a row of this size to another entry now, and counts it. An
/// entry that gets none asks another one a second later.
bool mayServeRow(config_transfers &transfers, std::size_t bytes, timestamp now);

/// Counts the transfer. Logs the first of consecutive failures, one every few seconds, and the
/// transfer that ends them.
void recordConfigTransfer(entry_state &entry, const config_transfer &transfer);

} // namespace bramleygrade::entry
