#pragma once

#include "bramleygrade/values.h"

namespace bramleygrade {

/// Returns the time used for decisions: the wall clock at the first call, advanced by the steady
/// clock. It never decreases, and adjustments of the wall clock do not move deadlines.
timestamp currentTime();

} // namespace bramleygrade
