#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "bramleygrade/values.h"

namespace bramleygrade::entry {

/// Upper bounds of the latency buckets, milliseconds.
constexpr std::array<double, 12> latencyBoundsMs {1,   2,   5,   10,   20,   50,
                                                  100, 250, 500, 1000, 2500, 5000};

struct latency_histogram
{
    std::array<std::uint64_t, latencyBoundsMs.size() + 1> counts {};
    std::uint64_t total = 0;
    double sumMs = 0;
};

/// Counters, gauges and latency histograms of one entry, by name; labels are part of the name.
struct entry_metrics
{
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, std::int64_t> gauges;
    std::map<std::string, latency_histogram> latencies;
};

void observeLatency(entry_metrics &metrics, const std::string &name, microseconds latency);

/// Returns the metrics in the Prometheus text exposition format, version 0.0.4.
std::string exposeMetrics(const entry_metrics &metrics);

} // namespace bramleygrade::entry
