#pragma once

#include <string>
#include <vector>

/// \file
/// Measures the committed share of the workers' capacity when more tasks are offered than fit.

namespace bramleygrade {

struct packing_row
{
    std::string load;
    std::string policy;
    double cpuPercent = 0;
    double memoryPercent = 0;
    int tasks = 0;
};

/// Measures the scheduler, whose decision cores exchange their knowledge of the cell, and first fit
/// and best fit with complete knowledge.
std::vector<packing_row> measurePacking();

} // namespace bramleygrade
