#pragma once

#include "bramleygrade/values.h"

namespace bramleygrade {

/// Time for decisions: the wall clock at the start of the process, carried on by the steady clock,
/// so that it never goes back and a step of the wall clock does not move deadlines.
timestamp currentTime();

} // namespace bramleygrade
