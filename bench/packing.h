#pragma once

#include <string>
#include <vector>

/// \file
/// How much of the workers is committed when more tasks are offered than fit.

namespace bramleygrade {

struct packing_row
{
    std::string load;
    std::string policy;
    double cpuPercent = 0;
    double memoryPercent = 0;
    int tasks = 0;
};

/// Ours, over real cores with what they know of each other, beside first fit and best fit with
/// complete knowledge.
std::vector<packing_row> measurePacking();

} // namespace bramleygrade
