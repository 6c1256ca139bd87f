#pragma once

#include <string>
#include <vector>

namespace bramleygrade {

/// What the log lines of the entries tell of one job.
struct job_timeline
{
    /// Lines of the job, and between them what the entries believed, by time; ready to print.
    std::vector<std::string> lines;
    /// What is missing from the story, with what to look for.
    std::vector<std::string> missing;
    /// Lines that could not be read as JSON objects.
    std::size_t unreadableLineCount = 0;
};

/// Collects the story of a job from log lines of any number of entries, in any order. Text before
/// the first brace of a line is skipped, so that lines of log collectors can be given as they are.
job_timeline explainJob(const std::string &job, const std::vector<std::string> &logLines);

/// `explain ID FILE...`: prints the story of the job. Returns the exit code.
int explainFiles(const std::vector<std::string> &arguments);

} // namespace bramleygrade
