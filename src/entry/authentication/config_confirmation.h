#pragma once

#include <map>
#include <string>
#include <vector>

#include "bramleygrade/values.h"

/// \file
/// Until when an entry may admit calls by the keys of its configuration, and when it asks other
/// entries whether the configuration is still the newest. Pure: the caller passes the time of a
/// clock that keeps running while the instance is suspended.

namespace bramleygrade::entry {

/// When the configuration of this entry was last known to be the newest.
struct config_confirmation
{
    /// Time at which the confirming read, long poll or question began, minus the age in a peer's
    /// answer.
    timestamp confirmedAt = distantPast;
    /// Calls with keys are refused from then on.
    timestamp expiresAt = distantPast;
    /// "store", or name of the peer.
    std::string by;
    /// Highest version that this entry has heard of.
    std::int64_t newestVersion = 0;
    /// When a peer is asked for a version that has been heard of and not been read.
    timestamp behindAskAt = distantFuture;
    timestamp nextAskAt = distantPast;
    /// Number of questions so far; it selects the peers that are asked next.
    std::size_t asked = 0;
    bool hasLastAskFailed = false;
    /// The newest log line about the state said that it is confirmed.
    bool isReportedConfirmed = true;
};

/// Returns `confirmedAt` plus `limit`, minus a margin for clocks whose rates differ.
timestamp expiryOf(timestamp confirmedAt, microseconds limit);

/// Records that the configuration of this entry was the newest at `at`. Does nothing if a later
/// time is known.
void confirm(config_confirmation &confirmation, timestamp at, microseconds limit,
             const std::string &by);

/// Returns whether calls with keys are to be refused. A limit of 0 never expires.
bool isExpired(const config_confirmation &confirmation, microseconds limit, timestamp now);

/// Records that `heard` is in force at another entry, while this one has version `own`. Peers are
/// asked for it after `askDelay`.
void noteVersion(config_confirmation &confirmation, std::int64_t own, std::int64_t heard,
                 timestamp now, microseconds askDelay);

/// Returns whether it is time to ask peers.
bool isAskDue(const config_confirmation &confirmation, std::int64_t own, microseconds limit,
              timestamp now);

/// Returns the addresses of the peers to ask, one or two, and records the question.
/// `members`: addresses by name; `scheduler`: name of the scheduler, which is asked for a version
/// that it is known to have.
std::vector<std::pair<std::string, std::string>>
beginAsk(config_confirmation &confirmation, std::int64_t own,
         const std::map<std::string, std::string> &members, const std::string &self,
         const std::string &scheduler, timestamp now);

/// Returns how long one long poll for changes of the configuration may last, `longest` at most.
/// The poll confirms the configuration as of its beginning.
microseconds pollDuration(microseconds longest, microseconds limit);

} // namespace bramleygrade::entry
