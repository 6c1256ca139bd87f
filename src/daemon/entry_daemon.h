#pragma once

#include "bramleygrade/values.h"

namespace bramleygrade {

/// Runs one entry until it is drained or told to end. Returns the exit code of the process: 0 after
/// a complete drain, 1 where a port cannot be opened.
int runEntry(const entry_settings &settings);

} // namespace bramleygrade
