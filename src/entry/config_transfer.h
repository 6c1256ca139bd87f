#pragma once

#include <cstddef>
#include <cstdint>

#include "bramleygrade/values.h"

/// \file
/// Observes how the configuration row reaches an entry. Large configurations take long on a slow
/// link, and a transfer that is abandoned delivers nothing.

namespace bramleygrade::entry {

struct entry_state;

/// State of the reports about transfers of the configuration row.
struct config_transfers
{
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

/// Counts the transfer. Logs the first of consecutive failures, one every few seconds, and the
/// transfer that ends them.
void recordConfigTransfer(entry_state &entry, const config_transfer &transfer);

} // namespace bramleygrade::entry
