#pragma once

#include <functional>
#include <string>
#include <vector>

/// \file
/// The commands by which operators drive the cell.

namespace bramleygrade {

constexpr int exitSuccess = 0;
constexpr int exitRefused = 1;
constexpr int exitUsage = 2;
constexpr int exitUnknown = 3;

/// One subcommand of the binary; `run` gets the arguments behind its name and returns the exit
/// code.
struct subcommand
{
    std::string help;
    std::function<int(const std::vector<std::string> &)> run;
};

int applyDocument(const std::vector<std::string> &arguments);
int getDocument(const std::vector<std::string> &arguments);
int submitJob(const std::vector<std::string> &arguments);
int showJobs(const std::vector<std::string> &arguments);
int cancelJobs(const std::vector<std::string> &arguments);
int showStatus(const std::vector<std::string> &arguments);
int showDump(const std::vector<std::string> &arguments);
int checkFiles(const std::vector<std::string> &arguments);
int drainEntry(const std::vector<std::string> &arguments);

} // namespace bramleygrade
