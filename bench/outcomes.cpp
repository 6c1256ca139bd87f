/// Measures waiting times and packing of the scheduler and of the baselines in virtual time. Equal
/// seeds give equal results. Usage: outcomes [--json FILE] [--page FILE] [--only NAME]

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "bench/baselines.h"
#include "bench/offered_load.h"
#include "bench/packing.h"

ABSL_FLAG(std::string, json, "", "output file for the results as JSON");
ABSL_FLAG(std::string, page, "", "output file for an HTML page of plots");
ABSL_FLAG(std::string, only, "", "run only the load of this name");

namespace bramleygrade {

namespace {

struct result_row
{
    std::string load;
    std::string policy;
    load_outcome outcome;
};

double percentile(std::vector<microseconds> waits, double share)
{
    if (waits.empty()) {
        return 0;
    }
    std::sort(waits.begin(), waits.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1));
    return static_cast<double>(waits[index]) / static_cast<double>(millisecond);
}

double share(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void printRow(const result_row &row)
{
    const load_outcome &out = row.outcome;
    std::cout << std::left << std::setw(16) << row.load << std::setw(18) << row.policy << std::right
              << std::fixed << std::setprecision(1) << std::setw(9) << percentile(out.waits, 0.5)
              << std::setw(9) << percentile(out.waits, 0.99) << std::setw(9)
              << percentile(out.waits, 0.999) << std::setw(9)
              << percentile(out.steadyTeamWaits, 0.99) << std::setw(9)
              << share(out.missed, out.offered) << std::setw(9) << share(out.refused, out.offered)
              << std::setw(9) << share(out.failed, out.offered) << std::setw(11)
              << out.controlBytesPerEntrySecond / 1000 << std::setw(9) << out.tableOpsPerSecond
              << std::endl;
}

void writeJson(const std::vector<result_row> &rows, const std::vector<packing_row> &packings)
{
    if (absl::GetFlag(FLAGS_json).empty()) {
        return;
    }
    std::ofstream file(absl::GetFlag(FLAGS_json));
    file << "{\"waiting\": [";
    const char *separator = "\n";
    for (const result_row &row : rows) {
        const load_outcome &out = row.outcome;
        file << separator << "{\"load\": \"" << row.load << "\", \"policy\": \"" << row.policy
             << "\", \"p50_ms\": " << percentile(out.waits, 0.5)
             << ", \"p99_ms\": " << percentile(out.waits, 0.99)
             << ", \"p999_ms\": " << percentile(out.waits, 0.999)
             << ", \"quiet_p99_ms\": " << percentile(out.steadyTeamWaits, 0.99)
             << ", \"missed_percent\": " << share(out.missed, out.offered)
             << ", \"refused_percent\": " << share(out.refused, out.offered)
             << ", \"failed_percent\": " << share(out.failed, out.offered)
             << ", \"control_bytes_per_entry_second\": " << out.controlBytesPerEntrySecond
             << ", \"table_operations_per_second\": " << out.tableOpsPerSecond << "}";
        separator = ",\n";
    }
    file << "],\n\"packing\": [";
    separator = "\n";
    for (const packing_row &row : packings) {
        file << separator << "{\"load\": \"" << row.load << "\", \"policy\": \"" << row.policy
             << "\", \"cpu_percent\": " << row.cpuPercent
             << ", \"memory_percent\": " << row.memoryPercent << ", \"tasks\": " << row.tasks
             << "}";
        separator = ",\n";
    }
    file << "]}\n";
}

/// Writes a bar chart of the p99 waiting times as plain HTML.
void writePage(const std::vector<result_row> &rows)
{
    if (absl::GetFlag(FLAGS_page).empty()) {
        return;
    }
    std::ofstream file(absl::GetFlag(FLAGS_page));
    file << "<!doctype html><meta charset=\"utf-8\"><title>Waiting times</title>"
            "<style>body{font:14px sans-serif} .bar{background:#38c;height:14px;display:inline-"
            "block} td{padding:2px 8px}</style><h1>p99 waiting time, ms (logarithmic)</h1><table>";
    for (const result_row &row : rows) {
        const double wait = percentile(row.outcome.waits, 0.99);
        const double width = 60 * std::log10(1 + wait);
        file << "<tr><td>" << row.load << "</td><td>" << row.policy
             << "</td><td><span class=\"bar\" style=\"width:" << width << "px\"></span> " << wait
             << "</td></tr>";
    }
    file << "</table>\n";
}

int run()
{
    std::cout << "waiting times in ms, shares in percent; control KB/s for each entry and table "
                 "operations/s; seed 1\n"
              << std::left << std::setw(16) << "load" << std::setw(18) << "policy" << std::right
              << std::setw(9) << "p50" << std::setw(9) << "p99" << std::setw(9) << "p99.9"
              << std::setw(9) << "quiet99" << std::setw(9) << "missed" << std::setw(9) << "refused"
              << std::setw(9) << "failed" << std::setw(11) << "KB/s" << std::setw(9) << "ops/s"
              << std::endl;
    std::vector<result_row> rows;
    for (const offered_load &load : allLoads()) {
        if (!absl::GetFlag(FLAGS_only).empty() && absl::GetFlag(FLAGS_only) != load.name) {
            continue;
        }
        rows.push_back({load.name, "ours", runScheduler(load)});
        printRow(rows.back());
        for (const baseline_policy policy : allBaselines()) {
            rows.push_back({load.name, nameOf(policy), runBaseline(load, policy)});
            printRow(rows.back());
        }
    }
    const std::vector<packing_row> packings =
        absl::GetFlag(FLAGS_only).empty() ? measurePacking() : std::vector<packing_row> {};
    std::cout << "\npacking: committed share of the capacity of all workers when more is offered\n";
    for (const packing_row &row : packings) {
        std::cout << std::left << std::setw(16) << row.load << std::setw(18) << row.policy
                  << std::right << " cpu " << row.cpuPercent << " memory " << row.memoryPercent
                  << " tasks " << row.tasks << '\n';
    }
    writeJson(rows, packings);
    writePage(rows);
    return 0;
}

} // namespace

} // namespace bramleygrade

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    return bramleygrade::run();
}
