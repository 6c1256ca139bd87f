#include "entry/team_metrics.h"

#include <algorithm>
#include <vector>

namespace bramleygrade::entry {

namespace {

/// Teams that are shown one by one.
constexpr std::size_t maxTeamsShown = 24;

std::int64_t signedCount(std::uint64_t count)
{
    return static_cast<std::int64_t>(count);
}

struct team_gauge
{
    const char *family;
    std::int64_t (*valueOf)(const cell::team_state &);
};
const team_gauge gaugeFamilies[] = {
    {"team_cpu_milli_used", [](const cell::team_state &team) { return team.used.cpuMilli; }},
    {"team_cpu_milli_cap", [](const cell::team_state &team) { return team.cap.cpuMilli; }},
    {"team_mem_mb_used", [](const cell::team_state &team) { return team.used.memoryMb; }},
    {"team_mem_mb_cap", [](const cell::team_state &team) { return team.cap.memoryMb; }},
    {"team_jobs_accepted",
     [](const cell::team_state &team) { return signedCount(team.jobsAccepted); }},
    {"team_jobs_beyond_share",
     [](const cell::team_state &team) { return signedCount(team.jobsBeyondShare); }},
    {"team_jobs_refused",
     [](const cell::team_state &team) { return signedCount(team.jobsRefused); }},
};

void removeTeamGauges(entry_metrics &metrics)
{
    auto it = metrics.gauges.lower_bound("team_");
    while (it != metrics.gauges.end() && it->first.compare(0, 5, "team_") == 0) {
        it = metrics.gauges.erase(it);
    }
}

/// Returns the name as the value of a label; other characters than printable ones, and those with
/// a meaning in the exposition, become `_`.
std::string labelOf(const std::string &team)
{
    std::string label = team;
    for (char &character : label) {
        const bool isPlain = character >= ' ' && character <= '~';
        character = isPlain && character != '"' && character != '\\' ? character : '_';
    }
    return "{team=\"" + label + "\"}";
}

} // namespace

void refreshTeamMetrics(entry_metrics &metrics, const cell::team_table *teams)
{
    removeTeamGauges(metrics);
    if (teams == nullptr || !teams->active) {
        return;
    }
    std::vector<std::pair<const std::string *, const cell::team_state *>> sorted;
    for (const auto &[name, team] : teams->byName) {
        sorted.emplace_back(&name, &team);
    }
    std::sort(sorted.begin(), sorted.end(), [](const auto &a, const auto &b) {
        return std::tie(b.second->used.cpuMilli, b.second->weight, *a.first)
            < std::tie(a.second->used.cpuMilli, a.second->weight, *b.first);
    });
    for (std::size_t index = 0; index < sorted.size(); ++index) {
        const std::string label =
            index < maxTeamsShown ? labelOf(*sorted[index].first) : labelOf("other");
        for (const team_gauge &gauge : gaugeFamilies) {
            metrics.gauges[gauge.family + label] += gauge.valueOf(*sorted[index].second);
        }
    }
}

} // namespace bramleygrade::entry
