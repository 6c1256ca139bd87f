#pragma once

#include <vector>

#include "cell/placement/placement.h"

namespace bramleygrade::cell {

/// Decides which waiting gang goes first, where the learned speeds of workers are used: those that
/// hold the least processor time for their value, as a job's worth grows more slowly than its work.
/// The wait is bounded: every second of waiting counts against the size, and the gang that has
/// waited longest counts as on time once it has waited for too long. Changes nothing elsewhere.
void orderGangs(const scheduler &cell, std::vector<waiting_step> &waiting, timestamp now);

} // namespace bramleygrade::cell
