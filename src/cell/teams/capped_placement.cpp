#include "cell/teams/capped_placement.h"

namespace bramleygrade::cell {

namespace {

/// Returns the number of waiting tasks that may start; for a gang all or none.
std::size_t countStartable(const scheduler &cell, const waiting_step &waiting, bool withHeld)
{
    const step_spec &spec = stepSpec(waiting);
    const std::size_t wanted = waiting.tasks.size();
    const std::size_t count = tasksWithinCap(cell, *waiting.job, spec, wanted, withHeld);
    return spec.gang && count < wanted ? 0 : count;
}

} // namespace

void beginCappedRound(scheduler &cell, const std::vector<waiting_step> &waiting, timestamp now)
{
    if (!cell.teams.hasCaps) {
        return;
    }
    updateUnknownUsage(cell, now);
    for (auto &[name, team] : cell.teams.byName) {
        team.held = {};
    }
    for (const waiting_step &candidate : waiting) {
        step_state &step = stepState(candidate);
        step.waitsForTeamCap = countStartable(cell, candidate, false) == 0;
        if (step.waitsForTeamCap) {
            step.reservations.clear();
            step.reservedUntil = distantPast;
            step.holdsCapacity = false;
        }
    }
}

bool limitToCap(scheduler &cell, waiting_step &waiting, const headroom_map &headrooms)
{
    if (!cell.teams.hasCaps) {
        return true;
    }
    const step_spec &spec = stepSpec(waiting);
    const std::size_t count = countStartable(cell, waiting, true);
    stepState(waiting).waitsForTeamCap = count == 0;
    if (count == 0) {
        if (spec.gang && mayFitCapLater(cell, *waiting.job, spec, waiting.tasks.size())
            && isPlaceable(waiting, headrooms)) {
            holdCapRoom(cell, *waiting.job, spec, waiting.tasks.size());
        }
        return false;
    }
    waiting.tasks.resize(count);
    return true;
}

void holdCapForGang(scheduler &cell, const waiting_step &waiting, timestamp now)
{
    const step_state &step = stepState(waiting);
    if (cell.teams.hasCaps && stepSpec(waiting).gang
        && (step.holdsCapacity || holdsReservation(step, now))) {
        holdCapRoom(cell, *waiting.job, stepSpec(waiting), waiting.tasks.size());
    }
}

bool fitsCap(const scheduler &cell, waiting_step &waiting)
{
    if (!cell.teams.hasCaps) {
        return true;
    }
    waiting.tasks.resize(countStartable(cell, waiting, false));
    return !waiting.tasks.empty();
}

} // namespace bramleygrade::cell
