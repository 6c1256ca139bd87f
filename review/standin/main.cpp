#include <cstdlib>
#include <cstring>
#include <iostream>
#include <random>

#include <boost/asio/ip/tcp.hpp>

#include "cases.h"
#include "record.h"

namespace {

using namespace bramleygrade;
using boost::asio::ip::tcp;

/// Prints free ports of the loopback address, one a line. They lie below those that the system
/// gives to outgoing connections.
int printFreePorts(int count)
{
    constexpr int firstPort = 10'000;
    constexpr int lastPort = 30'000;
    boost::asio::io_context loop;
    std::vector<tcp::acceptor> acceptors;
    std::mt19937 random(std::random_device {}());
    int port = std::uniform_int_distribution<int>(firstPort, lastPort - count)(random);
    for (; static_cast<int>(acceptors.size()) < count && port < lastPort + count; ++port) {
        tcp::acceptor acceptor(loop, tcp::v4());
        boost::system::error_code error;
        acceptor.bind({boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)},
                      error);
        if (!error) {
            std::cout << port << "\n";
            acceptors.push_back(std::move(acceptor));
        }
    }
    return 0;
}

std::string loopback(const char *port)
{
    return std::string("127.0.0.1:") + port;
}

/// Arguments: CASE RECORD STORE_PORT ENTRY_COUNT (CALLER_PORT READY_PORT)... WORKER_PORT...
int runCase(int argc, char **argv)
{
    const review::review_case *chosen = review::findCase(argv[1]);
    if (chosen == nullptr || argc < 5) {
        std::cerr << "usage: standin CASE RECORD STORE_PORT ENTRY_COUNT PORT...\n";
        return 2;
    }
    review::openRecord(argv[2]);
    review::world_settings settings;
    settings.storeAddress = loopback(argv[3]);
    const int entries = std::atoi(argv[4]);
    int at = 5;
    for (int index = 0; index < entries && at + 1 < argc; ++index, at += 2) {
        settings.entries.push_back({loopback(argv[at]), loopback(argv[at + 1])});
    }
    for (; at < argc; ++at) {
        settings.workerAddresses.push_back(loopback(argv[at]));
    }
    const char *trouble = std::getenv("TROUBLE");
    settings.trouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
    if (static_cast<int>(settings.workerAddresses.size()) < chosen->workerCount) {
        std::cerr << "too few worker ports\n";
        return 2;
    }
    boost::asio::io_context loop(1);
    review::cell_world world(loop, settings);
    const std::string error = world.start(chosen->workerCount, chosen->cpuMilli, chosen->routes);
    if (!error.empty()) {
        std::cerr << error << "\n";
        return 2;
    }
    world.whenReady([&] { chosen->run(world); });
    loop.run();
    return world.exitCode();
}

} // namespace

int main(int argc, char **argv)
{
    if (argc == 3 && std::strcmp(argv[1], "ports") == 0) {
        return printFreePorts(std::atoi(argv[2]));
    }
    return argc < 2 ? 2 : runCase(argc, argv);
}
