#include <cstdlib>
#include <iostream>
#include <set>

#include "record.h"
#include "recut.h"
#include "soak.h"

namespace {

using namespace bramleygrade;

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Reads the arguments that follow the ports. Returns false if they are not known.
bool readProfile(int count, char **arguments, soak::soak_settings &run)
{
    static const std::set<std::string> troubles {"pause", "kill",     "held",
                                                 "feed",  "takeover", "unlisted"};
    if (count == 0) {
        return true;
    }
    run.isRecut = std::string(arguments[0]) == "recut";
    if (!run.isRecut || count < 2) {
        return false;
    }
    run.callDelay = std::atoll(arguments[1]) * millisecond;
    run.isCutEarly = std::string(arguments[count - 1]) == "early";
    const int named = run.isCutEarly ? count - 1 : count;
    run.trouble = named == 3 ? arguments[2] : "";
    return named == 2 || (named == 3 && troubles.count(run.trouble) > 0);
}

} // namespace

/// Arguments: SEED SECONDS RECORD PID_FOLDER ENTRIES FIRST_PORT. The ports are, from the first one
/// on: a store port for each entry; caller, readiness, peer and metrics port of each entry; for
/// each entry a port at which it reaches each entry; for each worker a port for each entry.
int main(int argc, char **argv)
{
    soak::soak_settings run;
    if (argc < 7 || !readProfile(argc - 7, argv + 7, run)) {
        std::cerr << "usage: soak SEED SECONDS RECORD PID_FOLDER ENTRIES FIRST_PORT"
                     " [recut DELAY_MS [pause|kill|held|feed|takeover|unlisted] [early]]\n";
        return 2;
    }
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
    world.whenReady([&] { run.isRecut ? soak::runRecut(world, run) : soak::runSoak(world, run); });
    loop.run();
    return world.exitCode();
}
