#pragma once

#include <functional>
#include <string>
#include <vector>

/// \file
/// Command-line commands for operators of the cell.

namespace bramleygrade {

// Exit codes of the commands.
constexpr int exitSuccess = 0;
constexpr int exitRefused = 1;
constexpr int exitUsage = 2;
/// No usable answer was received; the command may have taken effect.
constexpr int exitUnknown = 3;

/// One subcommand of the binary. `run` takes the arguments after its name and returns the
/// exit code.
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
