#pragma once

#include <vector>

#include "cell/placement/placement.h"

namespace bramleygrade::cell {

/// Decides which waiting gang goes first. Where the learned speeds of workers are used: those that
/// hold the least processor time for their value, as a job's worth grows more slowly than its work;
/// every second of waiting counts against the size. The wait is bounded: the late gang of a service
/// that has waited longest, and that its workers can hold, counts as on time once it has waited for
/// too long. Steps on time would go before it for ever.
void orderGangs(const scheduler &cell, std::vector<waiting_step> &waiting, timestamp now);

} // namespace bramleygrade::cell
