#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cell/placement.h"

/// \file
/// Capacity that a placement round leaves unused on purpose.

namespace bramleygrade::cell {

/// Processor time in thousandths of a processor, by service.
using processor_budgets = std::map<std::string, std::int64_t>;

/// Returns the processor time that waiting gangs may hold in a round.
processor_budgets makeGangBudgets(const scheduler &cell);

/// Withholds capacity from the later steps of the round, so that urgent steps find room when they
/// arrive: on the workers with the most room, for each service with a queue of the highest
/// priority.
void withholdForUrgent(const scheduler &cell, headroom_map &headrooms);

} // namespace bramleygrade::cell
