#pragma once

#include "entry/entry.h"

namespace bramleygrade::entry {

/// Limits of an entry on what its clients may make it hold.
struct client_limits
{
    /// Maximum memory of the requests at all ports together.
    std::size_t receivedBytes = 0;
    net::server_limits callers;
    net::server_limits readiness;
    net::server_limits peers;
    net::server_limits metrics;
};

/// Returns the limits of a process with this memory and this number of descriptors that its own
/// calls leave.
client_limits limitsOfClients(std::int64_t memoryLimitMb, std::size_t descriptors);

/// Counts and logs what the servers have refused since the last call.
void reportRefusals(entry_state &entry);

} // namespace bramleygrade::entry
