#include "entry/interference_view.h"

#include <cmath>

#include "cell/interference/interference.h"

namespace bramleygrade::entry {

namespace {

constexpr std::size_t maxPairsInDump = 200;
constexpr std::size_t maxPairsInMetrics = 24;
constexpr std::size_t maxLabelLength = 64;

double percentOf(double effect)
{
    return 100 * std::expm1(effect);
}

/// Replaces what must be escaped in a label of the exposition format.
std::string labelOf(const std::string &image)
{
    std::string label = image.substr(0, maxLabelLength);
    for (char &c : label) {
        if (c == '"' || c == '\\' || static_cast<unsigned char>(c) < 0x20) {
            c = '_';
        }
    }
    return label;
}

} // namespace

void writeInterference(json_writer &out, const cell::interference_table &table)
{
    out.Key("interference");
    out.StartObject();
    put(out, "images", static_cast<std::int64_t>(table.images.size()));
    put(out, "noticed_pairs", table.noticedPairs);
    put(out, "separated_tasks", static_cast<std::int64_t>(table.separatedTasks));
    out.Key("pairs");
    out.StartArray();
    for (const cell::named_pair &pair : cell::listPairs(table, maxPairsInDump)) {
        out.StartObject();
        put(out, "image", pair.image);
        put(out, "beside", pair.other);
        put(out, "noticed", pair.estimate.noticed);
        put(out, "slowdown_percent", percentOf(pair.estimate.effect));
        put(out, "error_percent", percentOf(pair.estimate.standardError));
        put(out, "errors_above_threshold", cell::errorsAboveThreshold(pair.estimate));
        put(out, "jobs_beside", pair.estimate.jobsBeside);
        put(out, "jobs", pair.estimate.jobs);
        put(out, "separated_tasks", static_cast<std::int64_t>(pair.estimate.separated));
        out.EndObject();
    }
    out.EndArray();
    out.EndObject();
}

void refreshInterferenceMetrics(entry_metrics &metrics, const cell::interference_table &table)
{
    metrics.gauges["interference_pairs"] = table.noticedPairs;
    metrics.counters["interference_noticed_total"] = table.noticed;
    metrics.counters["interference_forgotten_total"] = table.forgotten;
    metrics.counters["tasks_separated_total"] = table.separatedTasks;
    for (const cell::named_pair &pair : cell::listPairs(table, maxPairsInMetrics)) {
        if (pair.estimate.noticed) {
            metrics.gauges["interference_slowdown_percent{image=\"" + labelOf(pair.image)
                           + "\",beside=\"" + labelOf(pair.other) + "\"}"] =
                std::lround(percentOf(pair.estimate.effect));
        }
    }
}

} // namespace bramleygrade::entry
