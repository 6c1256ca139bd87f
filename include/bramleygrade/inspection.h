#pragma once

#include <map>
#include <string>

#include "bramleygrade/decision_core.h"

/// \file
/// Views of a core for people and for monitoring.

namespace bramleygrade {

/// The cell at a glance as this entry sees it, with what is wrong first.
std::string describeStatus(const decision_core &core, timestamp now);

/// Metrics in the Prometheus text exposition format.
std::string listMetrics(const decision_core &core, timestamp now);

/// Where a peer listens.
struct member_address
{
    std::string host;
    int port = 0;
};

/// Addresses of all members, by identity.
std::map<std::string, member_address> memberAddresses(const decision_core &core);

/// Homes of request ids whose owner can be reached from here and vouches for new ids; bit `n`
/// stands for home `n`.
std::uint32_t reachableHomes(const decision_core &core, timestamp now);

/// Number of the home of a request id.
int homeNumberOf(const std::string &requestId);

/// True once the entry has been asked to leave the cell.
bool isDraining(const decision_core &core);

/// Changes whenever memberAddresses() may have changed.
std::uint64_t membershipVersion(const decision_core &core);

} // namespace bramleygrade
