#pragma once

#include <map>
#include <string>

#include "bramleygrade/decision_core.h"

/// \file
/// Read-only views of a decision core for operators, monitoring and the daemon.

namespace bramleygrade {

/// Returns a text summary of the cell as seen by this entry; problems come first.
std::string describeStatus(const decision_core &core, timestamp now);

/// Returns the metrics in the Prometheus text exposition format.
std::string listMetrics(const decision_core &core, timestamp now);

/// Address on which a member listens for its peers.
struct member_address
{
    std::string host;
    int port = 0;
};

/// Returns the addresses of all members, by identity.
std::map<std::string, member_address> memberAddresses(const decision_core &core);

/// Returns a bit mask of the homes that can take new request ids: bit `n` is set when the owner of
/// home `n` is reachable from this entry and accepts ids issued now. A home is the shard that holds
/// the idempotency records of its request ids.
std::uint32_t reachableHomes(const decision_core &core, timestamp now);

/// Returns the number of the home that holds the idempotency record of `requestId`.
int homeNumberOf(const std::string &requestId);

/// Returns true once the entry has been asked to leave the cell.
bool isDraining(const decision_core &core);

/// Returns a version that changes whenever the result of memberAddresses() may have changed.
std::uint64_t membershipVersion(const decision_core &core);

} // namespace bramleygrade
