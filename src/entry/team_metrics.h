#pragma once

#include "cell/scheduler.h"
#include "entry/metrics.h"

namespace bramleygrade::entry {

/// Sets the metrics of the 24 teams that use or send most, and of all others together as `other`.
/// Removes those of a former configuration; `teams` may be null.
void refreshTeamMetrics(entry_metrics &metrics, const cell::team_table *teams);

} // namespace bramleygrade::entry
