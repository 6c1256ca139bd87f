#pragma once

#include <cstddef>
#include <cstdint>

namespace bramleygrade::net {

/// Bytes that a process holds of messages that are being read, with their limit. Servers and
/// clients of one event loop share it.
struct receive_budget
{
    std::size_t limit = SIZE_MAX;
    std::size_t used = 0;
    /// Number of reservations refused.
    std::uint64_t refused = 0;
};

/// Reserves `bytes` and returns true, or counts a refusal and returns false if that exceeds the
/// limit.
inline bool reserve(receive_budget &budget, std::size_t bytes)
{
    if (budget.used > budget.limit || bytes > budget.limit - budget.used) {
        ++budget.refused;
        return false;
    }
    budget.used += bytes;
    return true;
}

/// Returns `bytes` that were reserved.
inline void release(receive_budget &budget, std::size_t bytes)
{
    budget.used -= bytes < budget.used ? bytes : budget.used;
}

} // namespace bramleygrade::net
