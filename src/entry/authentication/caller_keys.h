#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "cell/types.h"

/// \file
/// Which team a key belongs to, and which calls a configuration admits.

namespace bramleygrade::entry {

/// Longer keys admit nobody; callers' headers are limited to 16 KB altogether.
constexpr std::size_t maxKeyBytes = 4'096;

struct queue_access
{
    /// Position in `cell_config::queues` of the first queue of this name.
    std::size_t position = 0;
    /// All queues of this name are public.
    bool isPublic = false;
};

/// Index of one version of the configuration, for lookups that do not depend on its size.
struct caller_keys
{
    std::int64_t version = -1; ///< -1: not built yet
    bool areRequired = false;
    std::unordered_map<std::string, std::string> teamsByKey;
    std::unordered_map<std::string, queue_access> queues;
};

/// Builds the index. A key of two teams belongs to neither. Appends the faults of teams and keys to
/// `problems`; the texts contain no keys.
caller_keys indexCallerKeys(const cell::cell_config &config,
                            std::vector<cell::config_problem> &problems);

enum class admission_outcome { admitted, no_such_queue, unauthenticated };

struct admission
{
    admission_outcome outcome = admission_outcome::admitted;
    /// Team of an admitted call; empty on public queues and where no keys are required.
    std::string team;

    friend bool operator==(const admission &a, const admission &b)
    {
        return a.outcome == b.outcome && a.team == b.team;
    }
};

/// Decides whether a call of `queue` with `key` is admitted. The queue is examined before the key.
admission admit(const caller_keys &keys, const std::string &queue, const std::string &key);

/// Returns whether a call of `callTeam` may use a job of `jobTeam`. Jobs without a team may be used
/// by every admitted call.
bool mayUseJob(const caller_keys &keys, const std::string &jobTeam, const std::string &callTeam);

} // namespace bramleygrade::entry
