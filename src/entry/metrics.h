#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "bramleygrade/values.h"

namespace bramleygrade::entry {

/// Upper bounds of the latency buckets, milliseconds. Few, as collectors cut long texts.
constexpr std::array<double, 6> latencyBoundsMs {1, 5, 20, 100, 500, 2500};

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
    /// Counters of time, microseconds; exposed in seconds.
    std::map<std::string, microseconds> timeCounters;
    std::map<std::string, std::int64_t> gauges;
    std::map<std::string, latency_histogram> latencies;
};

void observeLatency(entry_metrics &metrics, const std::string &name, microseconds latency);

/// Returns the metrics in the Prometheus text exposition format, version 0.0.4. What an on-call
/// engineer needs first comes first, and histograms come last.
std::string exposeMetrics(const entry_metrics &metrics);

/// Returns whether the family, a metric's name without labels, has a help text.
bool hasHelp(const std::string &family);

} // namespace bramleygrade::entry
