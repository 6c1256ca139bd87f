#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <tuple>

#include "bramleygrade/values.h"

/// \file
/// The order in which entries claim the head row once the scheduler is silent. The order depends on
/// what all entries know, so that they agree on it without a message.

namespace bramleygrade::entry {

/// Processor shares by entry name, thousandths of a processor.
using processor_shares = std::map<std::string, std::int64_t>;

/// When an entry takes part in replacing a silent scheduler.
struct claim_turn
{
    /// Delay before the entry probes the scheduler.
    microseconds probeDelay = 0;
    /// Delay between a probe that finds no scheduler and the claim.
    microseconds claimDelay = 0;

    friend bool operator==(const claim_turn &a, const claim_turn &b)
    {
        return std::tie(a.probeDelay, a.claimDelay) == std::tie(b.probeDelay, b.claimDelay);
    }
};

/// Returns the turn of the entry `name`, which `shares` contains. The entries with the largest
/// shares probe at once and claim one after another, by share and name; all others wait until
/// these have had their turns, then a time that `seed` determines. `former`: the silent scheduler,
/// which has no turn.
claim_turn findClaimTurn(const processor_shares &shares, const std::string &name,
                         const std::string &former, std::size_t seed);

} // namespace bramleygrade::entry
