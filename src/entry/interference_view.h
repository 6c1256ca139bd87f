#pragma once

#include "entry/json_text.h"
#include "entry/metrics.h"

namespace bramleygrade::cell {
struct interference_table;
}

/// \file
/// Shows operators which images slow each other down.

namespace bramleygrade::entry {

/// Writes the pairs with evidence, at most 200, as the field `interference`.
void writeInterference(json_writer &out, const cell::interference_table &table);

/// Updates the metrics of interference; at most 24 pairs are shown.
void refreshInterferenceMetrics(entry_metrics &metrics, const cell::interference_table &table);

} // namespace bramleygrade::entry
