#pragma once

#include "bramleygrade/values.h"

namespace bramleygrade {

/// Runs one entry until it is drained; SIGTERM and SIGINT start a drain. Returns the exit code of
/// the process: 0 after a drain, including one that timed out; 1 when a port cannot be opened.
int runEntry(const entry_settings &settings);

} // namespace bramleygrade
