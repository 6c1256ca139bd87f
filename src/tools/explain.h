#pragma once

#include <string>
#include <vector>

namespace bramleygrade {

/// Timeline of one job, built from the log lines of the entries.
struct job_timeline
{
    /// Printable lines, sorted by time: the events of the job and the events that changed an
    /// entry's view of the cell in the meantime.
    std::vector<std::string> lines;
    /// Stages of the job that the log lines do not show, each with what to look for.
    std::vector<std::string> missing;
    /// Number of log lines that could not be read as JSON objects.
    std::size_t unreadableLineCount = 0;
};

/// Builds the timeline of a job from log lines of any number of entries, in any order. Text before
/// the first brace of a line is skipped, so that lines prefixed by a log collector are accepted.
job_timeline explainJob(const std::string &job, const std::vector<std::string> &logLines);

/// Runs `explain ID FILE...`: prints the timeline of the job and what is missing from it. Returns
/// the exit code, which is `exitRefused` if no line names the job.
int explainFiles(const std::vector<std::string> &arguments);

} // namespace bramleygrade
