#include "tools/explain.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

#include <rapidjson/document.h>

#include "tools/operator_tools.h"

namespace bramleygrade {

namespace {

/// Beliefs this long before the job's first line are shown too, milliseconds.
constexpr std::int64_t contextBefore = 1'000;

/// Events without a job that change what an entry believes.
const char *const beliefs[] = {"store_",       "scheduler_", "claim",   "started",      "stopping",
                               "stepped_down", "config_",    "paused",  "stopped",      "handover_",
                               "reload",       "log_lines_", "worker_", "member_silent"};

struct log_line
{
    std::int64_t at = 0;
    std::string instance;
    std::string event;
    std::string job;
    /// The other fields, NAME=VALUE.
    std::string rest;
};

std::string textOf(const rapidjson::Value &value)
{
    if (value.IsString()) {
        return value.GetString();
    }
    return value.IsInt64() ? std::to_string(value.GetInt64()) : "";
}

bool readLine(const std::string &text, log_line &line)
{
    const std::size_t brace = text.find('{');
    if (brace == std::string::npos) {
        return false;
    }
    rapidjson::Document document;
    document.Parse(text.c_str() + brace, text.size() - brace);
    if (document.HasParseError() || !document.IsObject()) {
        return false;
    }
    for (const auto &field : document.GetObject()) {
        const std::string name = field.name.GetString();
        const std::string value = textOf(field.value);
        if (name == "at_ms") {
            line.at = field.value.IsInt64() ? field.value.GetInt64() : 0;
        } else if (name == "instance") {
            line.instance = value;
        } else if (name == "event") {
            line.event = value;
        } else if (name == "job") {
            line.job = value;
        } else if (!value.empty()) {
            line.rest.append(" ").append(name).append("=").append(value);
        }
    }
    return true;
}

bool isBelief(const log_line &line, const std::set<std::string> &workers)
{
    const bool named = std::any_of(std::begin(beliefs), std::end(beliefs), [&](const char *prefix) {
        return line.event.rfind(prefix, 0) == 0;
    });
    if (!line.job.empty() || !named) {
        return false;
    }
    // There are as many lines of workers as workers: only those that had the job's tasks matter.
    return line.event.rfind("worker_", 0) != 0
        || std::any_of(workers.begin(), workers.end(), [&](const std::string &worker) {
               return line.rest.find("worker=" + worker) != std::string::npos;
           });
}

std::set<std::string> workersOf(const std::vector<log_line> &lines)
{
    const std::string field = "worker=";
    std::set<std::string> workers;
    for (const log_line &line : lines) {
        const std::size_t place = line.rest.find(field);
        if (place != std::string::npos) {
            const std::size_t first = place + field.size();
            workers.insert(line.rest.substr(first, line.rest.find(' ', first) - first));
        }
    }
    return workers;
}

std::string formatLine(const log_line &line, std::int64_t since)
{
    const std::string offset = (line.at < since ? "" : "+") + std::to_string(line.at - since);
    const std::string pad(offset.size() < 8 ? 8 - offset.size() : 0, ' ');
    return pad + offset + " ms  " + line.instance + "  " + line.event + line.rest;
}

std::vector<std::string> findGaps(const std::vector<log_line> &lines)
{
    struct stage
    {
        const char *event;
        const char *missing;
    };
    const stage stages[] = {
        {"job_received",
         "no line says that the job came in: give the log of the entry that was the "
         "scheduler then (scheduler_known names it)"},
        {"job_stored",
         "the job was never stored: look for store_lost, call_given_up and "
         "call_refused; a refused job has not run"},
        {"start_ordered",
         "no task was ever started: look for advice_asked, start_refused and "
         "worker_settled, or the workers had no room"},
        {"job_ended",
         "the job's end is not in these lines: it still runs, or the log of a later "
         "scheduler is missing"},
        {"call_answered",
         "no entry tells what the caller was answered: give the log of the entry "
         "that the caller was connected to"},
    };
    std::vector<std::string> gaps;
    for (const stage &entry : stages) {
        const bool present = std::any_of(lines.begin(), lines.end(), [&](const log_line &line) {
            return line.event == entry.event;
        });
        if (!present) {
            gaps.emplace_back(entry.missing);
        }
    }
    return gaps;
}

} // namespace

job_timeline explainJob(const std::string &job, const std::vector<std::string> &logLines)
{
    job_timeline story;
    std::vector<log_line> all;
    std::vector<log_line> own;
    for (const std::string &text : logLines) {
        log_line line;
        if (!readLine(text, line)) {
            ++story.unreadableLineCount;
            continue;
        }
        if (line.job == job) {
            own.push_back(line);
        }
        all.push_back(std::move(line));
    }
    if (own.empty()) {
        story.missing.push_back("no line names job " + job
                                + ": check the id, and give the logs of all entries");
        return story;
    }
    const auto byTime = [](const log_line &a, const log_line &b) { return a.at < b.at; };
    std::stable_sort(all.begin(), all.end(), byTime);
    const std::int64_t first = std::min_element(own.begin(), own.end(), byTime)->at;
    const std::int64_t last = std::max_element(own.begin(), own.end(), byTime)->at;
    const std::set<std::string> workers = workersOf(own);
    for (const log_line &line : all) {
        const bool near = line.at >= first - contextBefore && line.at <= last;
        if (line.job == job || (near && isBelief(line, workers))) {
            story.lines.push_back(formatLine(line, first));
        }
    }
    story.missing = findGaps(own);
    return story;
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
    const job_timeline story = explainJob(arguments.front(), lines);
    for (const std::string &line : story.lines) {
        std::cout << line << '\n';
    }
    for (const std::string &gap : story.missing) {
        std::cout << "missing: " << gap << '\n';
    }
    if (story.unreadableLineCount > 0) {
        std::cout << story.unreadableLineCount << " lines could not be read as JSON\n";
    }
    return story.lines.empty() ? exitRefused : exitSuccess;
}

} // namespace bramleygrade
