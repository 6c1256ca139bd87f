#pragma once

#include <optional>
#include <string>

#include "cell/types.h"

/// \file
/// Decides whether a submitted job is accepted, by its team. Nothing is computed while the
/// configuration has no teams.

namespace bramleygrade::cell {

struct scheduler;

/// A refusal of a submission, which was not stored and never will be.
struct team_refusal
{
    std::string reason;
    microseconds retryAfter = 0;
};

/// Returns why the job is refused; no value if it is accepted.
std::optional<team_refusal> refuseByTeam(scheduler &cell, job_spec &spec,
                                         const queue_policy &policy, timestamp now);

} // namespace bramleygrade::cell
