#define BOOST_TEST_MODULE hostile_callers
#include <boost/test/unit_test.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "cell/hostile_peers.h"

using namespace bramleygrade::testing;

namespace {

// The crowd and the bounds. They were fixed before the limits of the servers existed.
constexpr std::size_t mostBytesSent = 300'000'000;
constexpr int clientCount = 16;
constexpr long memoryBoundMb = 150;
constexpr long descriptorBound = 400;
constexpr auto crowdTime = std::chrono::seconds(5);

const std::string post = "POST /v1/services/booking/x HTTP/1.1\r\nHost: a\r\nBramley-Team: t\r\n";
const std::string chunkedPost = post + "Transfer-Encoding: chunked\r\n\r\n";

const endless_answer endlessRequests[] = {
    {"request_line", "GET /", filler},
    {"header", "GET / HTTP/1.1\r\nX-Header: ", filler},
    {"headers", "GET / HTTP/1.1\r\n", "X-Header: " + filler + "\r\n"},
    {"extension", chunkedPost + "1;name=", filler},
    {"zeros", chunkedPost, std::string(1'000, '0')},
    {"trailer", chunkedPost + "0\r\nX-Trailer: ", filler},
    {"trailers", chunkedPost + "0\r\n", "X-Trailer: " + filler + "\r\n"},
    {"chunks", chunkedPost, "3e8\r\n" + filler + "\r\n"},
    {"body", post + "Content-Length: 300000000\r\n\r\n", filler},
};

/// Sends a request without end until the program closes the connection.
struct hostile_client
{
    hostile_client(boost::asio::io_context &loop, const tcp::endpoint &endpoint,
                   const endless_answer &request, std::size_t &bytesLeft)
        : socket(loop)
        , part(request.beginning)
        , left(bytesLeft)
    {
        while (rest.size() < 65'536) {
            rest += request.rest;
        }
        socket.connect(endpoint);
        send(part);
    }

    void send(const std::string &text)
    {
        if (left < text.size()) {
            return;
        }
        left -= text.size();
        boost::asio::async_write(socket, boost::asio::buffer(text),
                                 [this](boost::system::error_code error, std::size_t) {
                                     if (!error) {
                                         send(rest);
                                     }
                                 });
    }

    tcp::socket socket;
    std::string part;
    std::string rest;
    std::size_t &left;
};

/// A program of the own interface, on ports of its own.
struct entry_run
{
    explicit entry_run(const std::string &name)
    {
        static std::uint16_t next = 23'000; // below the ephemeral ports
        port = next;
        next = static_cast<std::uint16_t>(next + 4);
        const std::string path = "hostile-callers-" + std::to_string(getpid()) + ".json";
        std::ofstream(path) << R"({"name": "entry-1", "failure_domain": "domain-a", "host": ")"
                            << ownAddress() << R"(", "caller_port": )" << port
                            << R"(, "operator_port": )" << port + 1 << R"(, "peer_port": )"
                            << port + 2 << R"(, "table_host": ")" << ownAddress()
                            << R"(", "table_port": )" << port + 3
                            << R"(, "cell_key": "loopback-cell-key-0001"})";
        const auto &suite = boost::unit_test::framework::master_test_suite();
        BOOST_REQUIRE_EQUAL(suite.argc, 2);
        program = std::make_unique<started_program>(
            std::vector<std::string> {suite.argv[1], "entry", "--settings", path},
            "hostile-callers-" + name);
        for (int attempt = 0; attempt < 100 && !isHealthy(); ++attempt) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }

    tcp::endpoint endpoint(int offset) const
    {
        return {boost::asio::ip::make_address(ownAddress()),
                static_cast<std::uint16_t>(port + offset)};
    }

    bool isHealthy() const
    {
        const std::string answer = askHealth();
        return answer.rfind("HTTP/1.1 200", 0) == 0;
    }

    std::string askHealth() const
    {
        return exchange(endpoint(0), "GET /health HTTP/1.1\r\nHost: a\r\n\r\n");
    }

    std::uint16_t port = 0;
    std::unique_ptr<started_program> program;
};

} // namespace

// Guards against an entry that collects what callers, operators or peers send without end.
BOOST_DATA_TEST_CASE(memory_of_an_entry_whose_callers_send_without_end,
                     boost::unit_test::data::make({0, 1, 2}) * endlessRequests, server, request)
{
    const entry_run entry(request.name);
    BOOST_REQUIRE(entry.isHealthy());
    boost::asio::io_context loop;
    std::size_t bytesLeft = mostBytesSent;
    std::vector<std::unique_ptr<hostile_client>> crowd;
    crowd.reserve(clientCount);
    for (int number = 0; number < clientCount; ++number) {
        crowd.push_back(
            std::make_unique<hostile_client>(loop, entry.endpoint(server), request, bytesLeft));
    }
    loop.run_for(crowdTime);
    BOOST_REQUIRE(entry.program->lives());
    BOOST_TEST(entry.program->mostMemoryMb() < memoryBoundMb);
    BOOST_TEST(entry.program->openDescriptors() < descriptorBound);
    crowd.clear();
    BOOST_TEST(entry.isHealthy());
}

// Guards against an entry that collects what its table sends without end.
BOOST_DATA_TEST_CASE(memory_of_an_entry_whose_table_answers_without_end, endlessAnswers, answer)
{
    const entry_run entry(answer.name);
    BOOST_REQUIRE(entry.isHealthy());
    boost::asio::io_context loop;
    const hostile_server table(loop, entry.endpoint(3), answer, mostBytesSent);
    loop.run_for(crowdTime);
    BOOST_TEST(table.answersBegun() > 0);
    BOOST_REQUIRE(entry.program->lives());
    BOOST_TEST(entry.program->mostMemoryMb() < memoryBoundMb);
    BOOST_TEST(entry.program->openDescriptors() < descriptorBound);
    BOOST_TEST(entry.isHealthy());
}
