#pragma once

#include "entry/entry.h"

namespace bramleygrade::entry {

/// The whole state of the entry as JSON, for operators.
std::string dumpState(const entry_state &entry);

/// Brings the gauges up to date before they are read.
void refreshGauges(entry_state &entry);

} // namespace bramleygrade::entry
