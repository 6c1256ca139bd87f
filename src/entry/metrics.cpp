#include "entry/metrics.h"

#include <algorithm>
#include <sstream>

namespace bramleygrade::entry {

namespace {

constexpr char prefix[] = "bramleygrade_";

std::string familyOf(const std::string &name)
{
    return name.substr(0, name.find('{'));
}

/// Adds a label to a name that may have labels already.
std::string withLabel(const std::string &name, const std::string &suffix, const std::string &label)
{
    const std::size_t brace = name.find('{');
    if (brace == std::string::npos) {
        return name + suffix + "{" + label + "}";
    }
    return name.substr(0, brace) + suffix + "{" + label + "," + name.substr(brace + 1);
}

std::string withSuffix(const std::string &name, const std::string &suffix)
{
    const std::size_t brace = std::min(name.find('{'), name.size());
    return name.substr(0, brace) + suffix + name.substr(brace);
}

template <typename Values>
void exposeValues(std::ostringstream &out, const Values &values, const char *type)
{
    std::string family;
    for (const auto &[name, value] : values) {
        if (familyOf(name) != family) {
            family = familyOf(name);
            out << "# TYPE " << prefix << family << ' ' << type << '\n';
        }
        out << prefix << name << ' ' << value << '\n';
    }
}

void exposeHistogram(std::ostringstream &out, const std::string &name,
                     const latency_histogram &histogram)
{
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < histogram.counts.size(); ++bucket) {
        cumulative += histogram.counts[bucket];
        std::ostringstream bound;
        if (bucket < latencyBoundsMs.size()) {
            bound << latencyBoundsMs[bucket] / 1000.0;
        } else {
            bound << "+Inf";
        }
        out << prefix << withLabel(name, "_bucket", "le=\"" + bound.str() + "\"") << ' '
            << cumulative << '\n';
    }
    out << prefix << withSuffix(name, "_sum") << ' ' << histogram.sumMs / 1000.0 << '\n';
    out << prefix << withSuffix(name, "_count") << ' ' << histogram.total << '\n';
}

} // namespace

void observeLatency(entry_metrics &metrics, const std::string &name, microseconds latency)
{
    latency_histogram &histogram = metrics.latencies[name];
    const double ms = static_cast<double>(latency) / static_cast<double>(millisecond);
    const auto bound = std::lower_bound(latencyBoundsMs.begin(), latencyBoundsMs.end(), ms);
    ++histogram.counts[static_cast<std::size_t>(bound - latencyBoundsMs.begin())];
    ++histogram.total;
    histogram.sumMs += ms;
}

std::string exposeMetrics(const entry_metrics &metrics)
{
    std::ostringstream out;
    exposeValues(out, metrics.counters, "counter");
    exposeValues(out, metrics.gauges, "gauge");
    std::string family;
    for (const auto &[name, histogram] : metrics.latencies) {
        if (familyOf(name) != family) {
            family = familyOf(name);
            out << "# TYPE " << prefix << family << " histogram\n";
        }
        exposeHistogram(out, name, histogram);
    }
    return out.str();
}

} // namespace bramleygrade::entry
