#define BOOST_TEST_MODULE connection_limits
#include <boost/test/unit_test.hpp>

#include <list>

#include <sys/resource.h>

#include <boost/asio/ip/tcp.hpp>

#include "entry/entry.h"
#include "net/http_server.h"

using namespace bramleygrade;
using boost::asio::ip::tcp;
using bramleygrade::entry::steadyNow;

namespace {

constexpr std::uint16_t firstPort = 24'000;

std::string listenAddress()
{
    static std::uint16_t used = 0;
    return "0.0.0.0:" + std::to_string(firstPort + getpid() % 500 * 4 + used++);
}

/// A server that answers every request at once, reached by any address of the loopback network.
struct answering_server
{
    explicit answering_server(boost::asio::io_context &loop)
        : server(loop,
                 [this](const net::http_request &, const net::http_server::responder &respond) {
                     ++requests;
                     respond({200, {}, "{}"});
                 })
    {
        server.onClose([this](const std::string &) { ++closed; });
        const std::string address = listenAddress();
        port = address.substr(address.rfind(':') + 1);
        BOOST_REQUIRE_EQUAL(server.listen(address), "");
    }

    std::string addressOf(int worker) const
    {
        return "127.0.0." + std::to_string(worker + 1) + ":" + port;
    }

    net::http_server server;
    std::string port;
    int requests = 0;
    int closed = 0;
};

/// Lowers the number of descriptors that the process may have, for its scope.
struct descriptor_limit
{
    explicit descriptor_limit(rlim_t most)
    {
        getrlimit(RLIMIT_NOFILE, &before);
        rlimit lowered = before;
        lowered.rlim_cur = most;
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &before); }
    descriptor_limit(const descriptor_limit &) = delete;
    descriptor_limit &operator=(const descriptor_limit &) = delete;

    rlimit before {};
};

void runFor(boost::asio::io_context &loop, microseconds time)
{
    loop.restart();
    loop.run_for(std::chrono::microseconds(time));
}

} // namespace

// Guards against a scheduler that cannot reach its workers any more: each keeps idle connections,
// until the process has no descriptor left.
BOOST_AUTO_TEST_CASE(lost_workers_beyond_the_descriptors_of_the_process)
{
    boost::asio::io_context loop;
    answering_server workers(loop);
    net::http_client client(loop, steadyNow);
    constexpr int workerCount = 200;
    constexpr std::size_t mostConnections = 40;
    client.limitConnections(mostConnections);
    // Both ends of each connection are in this process.
    const descriptor_limit descriptors(2 * mostConnections + 40);
    int answered = 0;
    for (int worker = 0; worker < workerCount; ++worker) {
        bool done = false;
        net::http_call call;
        call.address = workers.addressOf(worker);
        call.deadline = steadyNow() + second;
        client.send(std::move(call), [&](const net::call_result &result) {
            done = true;
            answered += result.status == 200 ? 1 : 0;
        });
        while (!done) {
            loop.restart();
            loop.run_one();
        }
    }
    BOOST_TEST(answered == workerCount);
    runFor(loop, 50 * millisecond);
    BOOST_TEST(workers.closed >= workerCount - static_cast<int>(mostConnections));
}

// Guards against a limit that closes connections in use, or those that were used last.
BOOST_AUTO_TEST_CASE(connections_used_longest_ago_are_closed_first)
{
    boost::asio::io_context loop;
    answering_server workers(loop);
    net::http_client client(loop, steadyNow);
    client.limitConnections(3);
    const auto callInTurn = [&](const std::vector<int> &order) {
        for (const int worker : order) {
            net::http_call call;
            call.address = workers.addressOf(worker);
            call.deadline = steadyNow() + second;
            int status = -1;
            client.send(std::move(call),
                        [&](const net::call_result &result) { status = result.status; });
            while (status == -1) {
                loop.restart();
                loop.run_one();
            }
            BOOST_TEST(status == 200);
        }
    };
    callInTurn({0, 1, 2, 0, 3}); // closes the connection to 1
    const std::uint64_t opened = client.connectionsOpened();
    callInTurn({0, 2, 3});
    BOOST_TEST(client.connectionsOpened() == opened);
    callInTurn({1});
    BOOST_TEST(client.connectionsOpened() == opened + 1);

    int answered = 0;
    for (int worker = 10; worker < 20; ++worker) { // all at once
        net::http_call call;
        call.address = workers.addressOf(worker);
        call.deadline = steadyNow() + second;
        client.send(std::move(call), [&](const net::call_result &result) {
            answered += result.status == 200 ? 1 : 0;
        });
    }
    runFor(loop, 200 * millisecond);
    BOOST_TEST(answered == 10);
}

// Guards against a server that uses all of its processor to accept a connection for which it has no
// descriptor.
BOOST_AUTO_TEST_CASE(a_server_without_descriptors_accepts_later)
{
    boost::asio::io_context serverLoop;
    answering_server workers(serverLoop);
    boost::asio::io_context loop;
    std::list<tcp::socket> sockets;
    const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(),
                                 static_cast<std::uint16_t>(std::stoi(workers.port)));
    tcp::socket probe(loop, tcp::v4());
    const int next = probe.native_handle();
    {
        const descriptor_limit descriptors(static_cast<rlim_t>(next) + 1);
        probe.connect(endpoint); // the kernel accepts it, the server cannot
        serverLoop.restart();
        const std::size_t handlers = serverLoop.run_for(std::chrono::milliseconds(500));
        BOOST_TEST(handlers <= 22U); // an attempt and a pause every 50 ms
    }
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    boost::system::error_code error;
    probe.write_some(boost::asio::buffer(request), error);
    BOOST_TEST(!error);
    runFor(serverLoop, 200 * millisecond);
    BOOST_TEST(workers.requests == 1);
}
