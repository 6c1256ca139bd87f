#pragma once

#include "entry/entry.h"

namespace bramleygrade::entry {

/// Returns the state of the entry as JSON, for operators.
std::string dumpState(const entry_state &entry);

/// Updates the gauges and the counters of the scheduler. To be called before the metrics are read.
void refreshGauges(entry_state &entry);

} // namespace bramleygrade::entry
