#include "tools/explain.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

#include <rapidjson/document.h>

#include "entry/json_text.h"
#include "tools/operator_tools.h"

namespace bramleygrade {

namespace {

/// State events at most this long before the first event of the job are included.
constexpr std::int64_t contextBeforeMs = 1'000;

/// Prefixes of the events that concern no single job but change an entry's view of the cell.
const char *const stateEventPrefixes[] = {
    "store_",  "scheduler_", "claim",       "started",   "stopping",     "stepped_down",
    "config_", "paused",     "stopped",     "handover_", "reload",       "log_lines_",
    "worker_", "workers_",   "event_loop_", "probe_",    "member_silent"};

struct log_line
{
    std::int64_t atMs = 0;
    std::string instance;
    std::string event;
    std::string job;
    /// All other fields, each as NAME=VALUE after a blank.
    std::string otherFields;
};

std::string textOf(const rapidjson::Value &value)
{
    if (value.IsString()) {
        return value.GetString();
    }
    return value.IsInt64() ? std::to_string(value.GetInt64()) : "";
}

bool parseLine(const std::string &text, log_line &line)
{
    const std::size_t brace = text.find('{');
    if (brace == std::string::npos) {
        return false;
    }
    rapidjson::Document document;
    if (!entry::parseObject(std::string_view(text).substr(brace), document)) {
        return false;
    }
    for (const auto &field : document.GetObject()) {
        const std::string name = field.name.GetString();
        const std::string value = textOf(field.value);
        if (name == "at_ms") {
            line.atMs = field.value.IsInt64() ? field.value.GetInt64() : 0;
        } else if (name == "instance") {
            line.instance = value;
        } else if (name == "event") {
            line.event = value;
        } else if (name == "job") {
            line.job = value;
        } else if (!value.empty()) {
            line.otherFields.append(" ").append(name).append("=").append(value);
        }
    }
    return true;
}

bool isRelevantStateEvent(const log_line &line, const std::set<std::string> &workers)
{
    const bool hasStatePrefix =
        std::any_of(std::begin(stateEventPrefixes), std::end(stateEventPrefixes),
                    [&](const char *prefix) { return line.event.rfind(prefix, 0) == 0; });
    if (!line.job.empty() || !hasStatePrefix) {
        return false;
    }
    // Every worker of the cell causes `worker_` events; only the events of workers that had tasks
    // of the job are relevant.
    return line.event.rfind("worker_", 0) != 0
        || std::any_of(workers.begin(), workers.end(), [&](const std::string &worker) {
               return line.otherFields.find("worker=" + worker) != std::string::npos;
           });
}

std::set<std::string> collectWorkers(const std::vector<log_line> &lines)
{
    const std::string field = "worker=";
    std::set<std::string> workers;
    for (const log_line &line : lines) {
        const std::size_t position = line.otherFields.find(field);
        if (position != std::string::npos) {
            const std::size_t valueStart = position + field.size();
            workers.insert(line.otherFields.substr(
                valueStart, line.otherFields.find(' ', valueStart) - valueStart));
        }
    }
    return workers;
}

std::string formatLine(const log_line &line, std::int64_t startMs)
{
    const std::string offset =
        (line.atMs < startMs ? "" : "+") + std::to_string(line.atMs - startMs);
    const std::string pad(offset.size() < 8 ? 8 - offset.size() : 0, ' ');
    return pad + offset + " ms  " + line.instance + "  " + line.event + line.otherFields;
}

std::vector<std::string> findMissingStages(const std::vector<log_line> &lines)
{
    struct stage
    {
        const char *event;
        const char *missing;
    };
    const stage stages[] = {
        {"job_received",
         "no line shows that the job was received: add the log of the entry that was the "
         "scheduler at that time (scheduler_known names it)"},
        {"job_stored",
         "the job was never stored: look for store_lost, call_given_up and "
         "call_refused; a refused job has not run"},
        {"start_ordered",
         "no task was ever started: look for job_waiting (its why is team_cap where the cap of "
         "the job's team has no room), advice_asked, start_refused and "
         "worker_settled; otherwise the workers had no free capacity"},
        {"job_ended",
         "the job's end is not in these lines: it still runs, or the log of a later "
         "scheduler is missing"},
        {"call_answered",
         "no line shows the answer to the caller: add the log of the entry "
         "that the caller was connected to"},
    };
    std::vector<std::string> missingStages;
    for (const stage &expected : stages) {
        const bool isLogged = std::any_of(lines.begin(), lines.end(), [&](const log_line &line) {
            return line.event == expected.event;
        });
        if (!isLogged) {
            missingStages.emplace_back(expected.missing);
        }
    }
    return missingStages;
}

} // namespace

job_timeline explainJob(const std::string &job, const std::vector<std::string> &logLines)
{
    job_timeline timeline;
    std::vector<log_line> allLines;
    std::vector<log_line> jobLines;
    for (const std::string &text : logLines) {
        log_line line;
        if (!parseLine(text, line)) {
            ++timeline.unreadableLineCount;
            continue;
        }
        if (line.job == job) {
            jobLines.push_back(line);
        }
        allLines.push_back(std::move(line));
    }
    if (jobLines.empty()) {
        timeline.missing.push_back("no line names job " + job
                                   + ": check the id, and give the logs of all entries");
        return timeline;
    }
    const auto isEarlier = [](const log_line &a, const log_line &b) { return a.atMs < b.atMs; };
    std::stable_sort(allLines.begin(), allLines.end(), isEarlier);
    const std::int64_t firstMs =
        std::min_element(jobLines.begin(), jobLines.end(), isEarlier)->atMs;
    const std::int64_t lastMs = std::max_element(jobLines.begin(), jobLines.end(), isEarlier)->atMs;
    const std::set<std::string> workers = collectWorkers(jobLines);
    for (const log_line &line : allLines) {
        const bool isInPeriod = line.atMs >= firstMs - contextBeforeMs && line.atMs <= lastMs;
        if (line.job == job || (isInPeriod && isRelevantStateEvent(line, workers))) {
            timeline.lines.push_back(formatLine(line, firstMs));
        }
    }
    timeline.missing = findMissingStages(jobLines);
    return timeline;
}

int explainFiles(const std::vector<std::string> &arguments)
{
    if (arguments.size() < 2) {
        std::cerr << "explain needs the id of a job and the log files of the entries, for example: "
                     "bramleygrade explain 63c5f02c20790018 entry-*.out"
                  << std::endl;
        return exitUsage;
    }
    std::vector<std::string> lines;
    for (std::size_t index = 1; index < arguments.size(); ++index) {
        std::ifstream file(arguments[index]);
        if (!file) {
            std::cerr << arguments[index] << ": cannot be read; give the path of a log file"
                      << std::endl;
            return exitUsage;
        }
        for (std::string line; std::getline(file, line);) {
            lines.push_back(line);
        }
    }
    const job_timeline timeline = explainJob(arguments.front(), lines);
    for (const std::string &line : timeline.lines) {
        std::cout << line << '\n';
    }
    for (const std::string &missingStage : timeline.missing) {
        std::cout << "missing: " << missingStage << '\n';
    }
    if (timeline.unreadableLineCount > 0) {
        std::cout << timeline.unreadableLineCount << " lines could not be read as JSON\n";
    }
    return timeline.lines.empty() ? exitRefused : exitSuccess;
}

} // namespace bramleygrade
