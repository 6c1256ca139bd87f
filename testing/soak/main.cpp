#include <cstdlib>
#include <iostream>
#include <optional>

#include "record.h"
#include "recut.h"
#include "soak.h"

namespace {

using namespace bramleygrade;

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Parses the arguments that follow the ports: a profile, or none for the faults by chance.
tl::expected<std::optional<soak::recut_settings>, std::string>
parseProfile(const std::vector<std::string> &arguments)
{
    if (arguments.empty()) {
        return std::nullopt;
    }
    if (arguments.front() != "recut") {
        return tl::make_unexpected("the profile " + arguments.front() + " is unknown");
    }
    return soak::parseRecut({arguments.begin() + 1, arguments.end()});
}

int printUsage(const std::string &error)
{
    std::cerr << error
              << "\nusage: soak SEED SECONDS RECORD PID_FOLDER ENTRIES FIRST_PORT"
                 " [recut DELAY_MS [WORD...]]\n";
    for (const auto &[word, meaning] : soak::recutWords()) {
        std::cerr << "  " << word << ": " << meaning << "\n";
    }
    return 2;
}

} // namespace

/// Arguments: SEED SECONDS RECORD PID_FOLDER ENTRIES FIRST_PORT. The ports are, from the first one
/// on: a store port for each entry; caller, readiness, peer and metrics port of each entry; for
/// each entry a port at which it reaches each entry; for each worker a port for each entry.
int main(int argc, char **argv)
{
    if (argc < 7) {
        return printUsage("too few arguments");
    }
    const auto recut = parseProfile({argv + 7, argv + argc});
    if (!recut) {
        return printUsage(recut.error());
    }
    soak::soak_settings run;
    run.seed = static_cast<std::uint64_t>(std::atoll(argv[1]));
    run.length = std::atoll(argv[2]) * second;
    const int entries = std::atoi(argv[5]);
    int port = std::atoi(argv[6]);
    soak::openRecord(argv[3]);
    soak::world_settings settings;
    settings.pidFolder = argv[4];
    for (int entry = 0; entry < entries; ++entry) {
        settings.storeAddresses.push_back(loopback(port++));
    }
    for (int entry = 0; entry < entries; ++entry, port += 4) {
        settings.entries.push_back({loopback(port), loopback(port + 1)});
        settings.peerAddresses.push_back(loopback(port + 2));
    }
    for (int entry = 0; entry < entries; ++entry) {
        settings.peerLinks.emplace_back();
        for (int other = 0; other < entries; ++other) {
            settings.peerLinks.back().push_back(loopback(port++));
        }
    }
    for (int worker = 0; worker < soak::workerCount; ++worker) {
        settings.workerAddresses.emplace_back();
        for (int entry = 0; entry < entries; ++entry) {
            settings.workerAddresses.back().push_back(loopback(port++));
        }
    }
    boost::asio::io_context loop(1);
    soak::cell_world world(loop, settings);
    const std::string error = world.start(soak::workerCount, 32'000, soak::soakRoutes());
    if (!error.empty()) {
        std::cerr << error << "\n";
        return 2;
    }
    world.whenReady(
        [&] { *recut ? soak::runRecut(world, run, **recut) : soak::runSoak(world, run); });
    loop.run();
    return world.exitCode();
}
