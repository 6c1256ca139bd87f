#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bramleygrade/values.h"

/// \file
/// How the configuration row reaches an entry. A large row takes seconds on a slow link, where each
/// further copy delays it, and a transfer that is abandoned delivers nothing.

namespace bramleygrade::entry {

struct entry_state;

/// Transfers of the configuration row to this entry.
struct config_transfers
{
    /// An answer of the store that is arriving: when its first and its newest part arrived, and its
    /// bytes so far.
    timestamp storeBeganAt = distantPast;
    timestamp storePartAt = distantPast;
    std::size_t storeBytes = 0;
    /// A peer is sending the row.
    bool isPeerSending = false;
    /// Peers that have said that they have a newer version, and have not been asked for the row.
    std::vector<std::string> sources;
    /// Rows that this entry is sending to others; each holds a copy.
    std::shared_ptr<void> served = std::make_shared<int>(0);
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

/// Records that a part of an answer of the store has arrived, `bytes` of it so far.
void noteStorePart(config_transfers &transfers, std::size_t bytes, timestamp now);
/// Records that the answer of the store has ended.
void endStoreTransfer(config_transfers &transfers);

/// Returns whether the store is sending the configuration to this entry at a usable rate. Another
/// transfer at the same time would only slow it down.
bool isStoreDelivering(const config_transfers &transfers, timestamp now);

/// Returns the next peer to ask for the row, other than `scheduler` if possible; empty if none is
/// known.
std::string takeSource(config_transfers &transfers, const std::string &scheduler);

/// Returns what to keep while this entry sends its row to another one; null if it is already
/// sending as many as it may. An entry that gets none asks another one.
std::shared_ptr<void> serveRow(const config_transfers &transfers);

/// Counts the transfer. Logs the first of consecutive failures, one every few seconds, and the
/// transfer that ends them.
void recordConfigTransfer(entry_state &entry, const config_transfer &transfer);

} // namespace bramleygrade::entry
