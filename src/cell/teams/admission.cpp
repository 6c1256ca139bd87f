#include "cell/teams/admission.h"

#include "cell/scheduler.h"

namespace bramleygrade::cell {

namespace {

/// Time after which a caller may submit a job again that is larger than its team's cap; only a
/// change of the configuration lets it in.
constexpr microseconds capRetryAfter = 60 * second;

} // namespace

std::optional<team_refusal> refuseByTeam(scheduler &cell, job_spec &spec, const queue_policy &,
                                         timestamp)
{
    if (!cell.teams.active) {
        return std::nullopt;
    }
    if (const auto conflict = findCapConflict(cell.config, spec)) {
        return team_refusal {*conflict, capRetryAfter};
    }
    return std::nullopt;
}

} // namespace bramleygrade::cell
