#include <iostream>
#include <map>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "daemon/entry_daemon.h"
#include "daemon/settings.h"
#include "entry/daemon.h"
#include "platform.h"
#include "tools/check_config.h"
#include "tools/explain.h"
#include "tools/operator_tools.h"

ABSL_FLAG(std::string, settings, "", "settings file of the entry");

namespace bramleygrade {

namespace {

int runEntrySubcommand(const std::vector<std::string> &)
{
    const auto settings = parseSettingsFile(absl::GetFlag(FLAGS_settings));
    if (!settings) {
        std::cerr << settings.error().message << std::endl;
        return exitUsage;
    }
    return runEntry(*settings);
}

int runCellSubcommand(const std::vector<std::string> &)
{
    return entry::runCellEntry(absl::GetFlag(FLAGS_settings), platform::createPorts);
}

int printVersion(const std::vector<std::string> &)
{
    std::cout << "bramleygrade " BRAMLEYGRADE_VERSION << std::endl;
    return exitSuccess;
}

const std::map<std::string, subcommand> &allSubcommands()
{
    static const std::map<std::string, subcommand> subcommands {
        {"entry", {"--settings FILE: runs one entry", runEntrySubcommand}},
        {"cell", {"--settings FILE: runs one cell entry on the platform", runCellSubcommand}},
        {"apply", {"FILE [--expected N]: applies a service document", applyDocument}},
        {"get", {"SERVICE: prints the service document that is in force", getDocument}},
        {"submit", {"FILE: submits a job", submitJob}},
        {"job", {"ID...: prints the state of jobs", showJobs}},
        {"cancel", {"ID...: cancels jobs", cancelJobs}},
        {"status", {": prints a summary of the cell and its current problems", showStatus}},
        {"dump", {": prints the whole state of one entry as JSON", showDump}},
        {"check",
         {"FILE...: checks settings, documents or jobs without applying them", checkFiles}},
        {"check-config",
         {"FILE [--in-force FILE]: checks a configuration of the platform and prints what it "
          "changes; exit codes: 0 fine, 1 findings, 2 unreadable",
          checkConfig}},
        {"explain",
         {"ID FILE...: prints the timeline of a job from the entries' logs, and what is missing "
          "from it",
          explainFiles}},
        {"drain", {": hands over all work of one entry, then stops the entry", drainEntry}},
        {"version", {": prints the version", printVersion}},
    };
    return subcommands;
}

std::string usage()
{
    std::string text = "bramleygrade COMMAND [ARGUMENTS] [FLAGS]\n";
    for (const auto &[name, subcommand] : allSubcommands()) {
        text += "  " + name + " " + subcommand.help + "\n";
    }
    text +=
        "operator commands accept --entry HOST:PORT, --cell_key KEY and --json (answers as JSON);"
        "\nexit codes: 0 done, 1 refused, 2 wrong usage, 3 unknown whether it took effect";
    return text;
}

int run(int argc, char **argv)
{
    absl::SetProgramUsageMessage(usage());
    // Its option has a hyphen, which the flags library does not allow.
    if (argc > 1 && std::string(argv[1]) == "check-config") {
        return checkConfig({argv + 2, argv + argc});
    }
    std::vector<char *> positionalArguments = absl::ParseCommandLine(argc, argv);
    if (positionalArguments.size() < 2 || allSubcommands().count(positionalArguments[1]) == 0) {
        std::cerr << usage() << std::endl;
        return exitUsage;
    }
    const std::vector<std::string> arguments(positionalArguments.begin() + 2,
                                             positionalArguments.end());
    return allSubcommands().at(positionalArguments[1]).run(arguments);
}

} // namespace

} // namespace bramleygrade

int main(int argc, char **argv)
{
    return bramleygrade::run(argc, argv);
}
