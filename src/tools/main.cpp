#include <iostream>
#include <map>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "daemon/entry_daemon.h"
#include "daemon/settings.h"
#include "entry/daemon.h"
#include "platform.h"
#include "tools/explain.h"
#include "tools/operator_tools.h"

ABSL_FLAG(std::string, settings, "", "settings file of the entry");

namespace bramleygrade {

namespace {

int runEntryTool(const std::vector<std::string> &)
{
    const auto settings = parseSettingsFile(absl::GetFlag(FLAGS_settings));
    if (!settings) {
        std::cerr << settings.error().message << std::endl;
        return exitUsage;
    }
    return runEntry(*settings);
}

int runCellTool(const std::vector<std::string> &)
{
    return entry::runCellEntry(absl::GetFlag(FLAGS_settings), platform::createPorts);
}

int printVersion(const std::vector<std::string> &)
{
    std::cout << "bramleygrade " BRAMLEYGRADE_VERSION << std::endl;
    return exitSuccess;
}

const std::map<std::string, subcommand> &allTools()
{
    static const std::map<std::string, subcommand> tools {
        {"entry", {"--settings FILE: runs one entry", runEntryTool}},
        {"cell", {"--settings FILE: runs one cell entry on the platform", runCellTool}},
        {"apply", {"FILE [--expected N]: puts a service document in force", applyDocument}},
        {"get", {"SERVICE: prints the document in force", getDocument}},
        {"submit", {"FILE: submits a job", submitJob}},
        {"job", {"ID...: prints the state of jobs", showJobs}},
        {"cancel", {"ID...: cancels jobs", cancelJobs}},
        {"status", {": prints the cell at a glance, and what is wrong", showStatus}},
        {"dump", {": prints the whole state of one entry as JSON", showDump}},
        {"check",
         {"FILE...: checks settings, documents or jobs without applying them", checkFiles}},
        {"explain",
         {"ID FILE...: tells the story of a job from the entries' logs, and what is missing",
          explainFiles}},
        {"drain", {": hands everything over and ends one entry", drainEntry}},
        {"version", {": prints the version", printVersion}},
    };
    return tools;
}

std::string usage()
{
    std::string text = "bramleygrade COMMAND [ARGUMENTS] [FLAGS]\n";
    for (const auto &[name, subcommand] : allTools()) {
        text += "  " + name + " " + subcommand.help + "\n";
    }
    text += "operator commands take --entry HOST:PORT and --cell_key KEY, and --json for programs;"
            "\nexit codes: 0 done, 1 refused, 2 wrong usage, 3 unknown whether it took effect";
    return text;
}

int run(int argc, char **argv)
{
    absl::SetProgramUsageMessage(usage());
    std::vector<char *> rest = absl::ParseCommandLine(argc, argv);
    if (rest.size() < 2 || allTools().count(rest[1]) == 0) {
        std::cerr << usage() << std::endl;
        return exitUsage;
    }
    const std::vector<std::string> arguments(rest.begin() + 2, rest.end());
    return allTools().at(rest[1]).run(arguments);
}

} // namespace

} // namespace bramleygrade

int main(int argc, char **argv)
{
    return bramleygrade::run(argc, argv);
}
