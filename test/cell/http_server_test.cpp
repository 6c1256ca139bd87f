#define BOOST_TEST_MODULE http_server
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <list>

#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "net/http_server.h"

using namespace bramleygrade;
using boost::asio::ip::tcp;

namespace {

/// A server that keeps the requests it has read; those to /held are not answered.
struct recording_server
{
    explicit recording_server(const net::server_limits &limits)
        : server(
            loop,
            [this](const net::http_request &request, const net::http_server::responder &respond) {
                requests.push_back(request);
                if (request.target == "/held") {
                    waiting.push_back(respond);
                } else {
                    respond({200, {}, ""});
                }
            },
            limits)
    {
        const auto self = static_cast<unsigned>(getpid());
        static std::uint16_t used = 0;
        host = "127." + std::to_string(1 + self / 65'536 % 128) + '.'
            + std::to_string(self / 256 % 256) + '.' + std::to_string(self % 256);
        port = static_cast<std::uint16_t>(21'000 + used++);
        BOOST_REQUIRE_EQUAL(server.listen(host + ':' + std::to_string(port)), "");
    }

    /// Handles events until none is left for a while.
    void settle()
    {
        for (int quiet = 0; quiet < 3;) {
            loop.restart();
            quiet = loop.run_for(std::chrono::milliseconds(10)) == 0 ? quiet + 1 : 0;
        }
    }

    boost::asio::io_context loop;
    net::http_server server;
    std::string host;
    std::uint16_t port = 0;
    std::vector<net::http_request> requests;
    std::vector<net::http_server::responder> waiting;
};

/// A client that sends at once and looks for answers when asked.
struct plain_client
{
    explicit plain_client(recording_server &to)
        : server(to)
        , socket(ownLoop)
    {
        socket.connect({boost::asio::ip::make_address(to.host), to.port});
        server.settle();
    }

    void send(const std::string &text)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(text), ignored);
        server.settle();
    }

    /// Returns what has arrived.
    std::string received()
    {
        std::string text(4'096, ' ');
        boost::system::error_code error;
        socket.non_blocking(true);
        text.resize(socket.read_some(boost::asio::buffer(text), error));
        isClosed = error && error != boost::asio::error::would_block;
        socket.non_blocking(false);
        return text;
    }

    bool hasBeenClosed()
    {
        while (!received().empty()) { }
        return isClosed;
    }

    recording_server &server;
    boost::asio::io_context ownLoop;
    tcp::socket socket;
    bool isClosed = false;
};

std::string post(const std::string &target, std::size_t bytes)
{
    return "POST " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes)
        + "\r\n\r\n";
}

const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string statusOf(const std::string &answer)
{
    return answer.size() < 12 ? "none" : answer.substr(9, 3);
}

const char *const trailers[] = {"Host: b", "X-Api-Key: stolen", "X-Deadline-Ms: 9",
                                "Content-Type: b"};

struct framing_case
{
    const char *name;
    std::string sent;
    const char *status;
};

std::ostream &operator<<(std::ostream &out, const framing_case &given)
{
    return out << given.name;
}

const std::string longText(30'000, 'b');

/// Fields as they arrive one by one; each is complete.
std::string manyFields(std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes) {
        text += "a: " + std::string(27, 'b') + "\r\n";
    }
    return text;
}

const framing_case framings[] = {
    {"chunks with extensions and trailers", chunked + "1;a=b\r\nx\r\n0;c=d\r\ne: f\r\n\r\n", "200"},
    {"a long trailer", chunked + "0\r\na: " + longText, "431"},
    {"trailers", chunked + "0\r\n" + manyFields(30'000), "431"},
    {"a long chunk extension", chunked + "1;a=" + longText, "431"},
    {"a long extension of the last chunk", chunked + "0;a=" + longText, "431"},
    {"a long chunk size", chunked + std::string(30'000, '0'), "431"},
    {"a long body", post("/", 5'000), "413"},
    {"a long chunk", chunked + "1001\r\n", "413"},
    {"a long header", "GET / HTTP/1.1\r\nHost: a\r\n" + manyFields(17'000) + "\r\n", "431"},
    {"a long target", "GET /" + longText + " HTTP/1.1\r\n\r\n", "431"},
    {"no HTTP", "hello\r\n\r\n", "400"},
};

net::server_limits smallLimits()
{
    net::server_limits limits;
    limits.maxBodyBytes = 4'096;
    return limits;
}

net::server_limits limitsOfMemory(std::size_t bytes)
{
    net::server_limits limits;
    limits.maxHeldBytes = bytes;
    return limits;
}

} // namespace

// Guards against fields behind the body that replace or add what decides about a request.
BOOST_DATA_TEST_CASE(trailers_are_not_among_the_fields, boost::unit_test::data::make(trailers),
                     trailer)
{
    recording_server server(smallLimits());
    plain_client client(server);
    client.send(chunked + "3\r\nabc\r\n0\r\n" + std::string(trailer) + "\r\n\r\n");
    BOOST_TEST(statusOf(client.received()) == "200");
    BOOST_REQUIRE(server.requests.size() == 1);
    BOOST_TEST(server.requests[0].body == "abc");
    BOOST_TEST(server.requests[0].host == "a");
    BOOST_TEST(server.requests[0].headers.size() == 2U);
}

// Guards against what stands beside header and body being collected without a limit.
BOOST_DATA_TEST_CASE(each_part_of_a_request_has_a_limit, boost::unit_test::data::make(framings),
                     given)
{
    recording_server server(smallLimits());
    plain_client client(server);
    client.send(given.sent);
    BOOST_TEST(statusOf(client.received()) == given.status);
    BOOST_TEST(server.requests.size() == (given.status == std::string("200") ? 1U : 0U));
}

// Guards against a header without end of which each field arrives by itself, with the first byte
// of the next one.
BOOST_AUTO_TEST_CASE(fields_one_by_one_count_as_one_header)
{
    recording_server server(smallLimits());
    plain_client client(server);
    client.send("GET / HTTP/1.1\r\na");
    std::size_t sent = 0;
    while (sent < 30'000 && !client.hasBeenClosed()) {
        client.send(": " + std::string(400, 'b') + "\r\na");
        sent += 405;
    }
    BOOST_TEST(sent <= 17'000U);
    BOOST_TEST(server.requests.empty());
}

// Guards against requests that never end and keep the memory from those that do.
BOOST_AUTO_TEST_CASE(the_request_that_has_arrived_longest_makes_room)
{
    recording_server server(limitsOfMemory(100'000));
    plain_client first(server);
    plain_client second(server);
    plain_client third(server);
    for (plain_client *const client : {&first, &second}) {
        client->send(post("/", 40'000) + std::string(39'999, 'a'));
    }
    third.send(post("/", 40'000) + std::string(40'000, 'a'));
    const std::string refusal = first.received();
    BOOST_TEST(statusOf(refusal) == "503");
    BOOST_TEST(refusal.find("Retry-After: 1\r\n") != std::string::npos);
    BOOST_TEST(first.hasBeenClosed());
    BOOST_TEST(statusOf(third.received()) == "200");
    BOOST_TEST(second.received() == "");
    second.send("a");
    BOOST_TEST(statusOf(second.received()) == "200");
    BOOST_TEST(server.requests.size() == 2U);
    BOOST_TEST(server.server.refusals().forMemory == 1U);
}

// Guards against a refusal of a request that is being handled, which may take effect.
BOOST_AUTO_TEST_CASE(requests_that_are_handled_keep_their_memory)
{
    recording_server server(limitsOfMemory(100'000));
    plain_client handled(server);
    plain_client other(server);
    handled.send(post("/held", 70'000) + std::string(70'000, 'a'));
    BOOST_TEST(server.waiting.size() == 1U);
    other.send(post("/", 70'000) + std::string(70'000, 'a'));
    BOOST_TEST(statusOf(other.received()) == "503");
    BOOST_TEST(server.requests.size() == 1U);
    server.waiting[0]({200, {}, ""});
    server.settle();
    BOOST_TEST(statusOf(handled.received()) == "200");
    plain_client later(server);
    later.send(post("/", 70'000) + std::string(70'000, 'a'));
    BOOST_TEST(statusOf(later.received()) == "200");
}

// Guards against a limit for all servers that one of them does not heed, or memory that is not
// given back.
BOOST_AUTO_TEST_CASE(servers_share_a_budget)
{
    net::receive_budget shared {100'000, 50'000, 0};
    recording_server server(limitsOfMemory(200'000));
    server.server.share(shared);
    plain_client first(server);
    first.send(post("/", 70'000) + std::string(100, 'a'));
    BOOST_TEST(statusOf(first.received()) == "503");
    BOOST_TEST(shared.used == 50'000U);
    release(shared, 50'000);
    plain_client second(server);
    second.send(post("/", 70'000) + std::string(100, 'a'));
    BOOST_TEST(shared.used >= 70'000U);
    second.socket.close();
    server.settle();
    BOOST_TEST(shared.used == 0U);
    plain_client third(server);
    third.send(post("/", 70'000) + std::string(70'000, 'a'));
    BOOST_TEST(statusOf(third.received()) == "200");
    BOOST_TEST(shared.used == 0U);
}

// Guards against connections that wait for nothing and keep others out.
BOOST_AUTO_TEST_CASE(connections_without_a_request_are_closed_first)
{
    net::server_limits limits;
    limits.maxConnections = 3;
    recording_server server(limits);
    plain_client used(server);
    used.send(post("/", 0));
    BOOST_TEST(statusOf(used.received()) == "200");
    plain_client handled(server);
    handled.send(post("/held", 0));
    std::list<plain_client> idle;
    for (int count = 0; count < 4; ++count) {
        idle.emplace_back(server);
    }
    BOOST_TEST(idle.front().hasBeenClosed());
    BOOST_TEST(!idle.back().hasBeenClosed());
    used.send(post("/", 0));
    BOOST_TEST(statusOf(used.received()) == "200");
    server.waiting[0]({200, {}, ""});
    server.settle();
    BOOST_TEST(statusOf(handled.received()) == "200");
    BOOST_TEST(server.server.refusals().forConnections == 3U);
}
