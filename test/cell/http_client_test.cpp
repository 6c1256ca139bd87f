#define BOOST_TEST_MODULE http_client
#include <boost/test/unit_test.hpp>

#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "entry/entry.h"

using namespace bramleygrade;
using boost::asio::ip::tcp;
using bramleygrade::entry::steadyNow;

namespace {

constexpr std::size_t bodyBytes = 4'000;

/// A server that sends one response in parts, one every `interval`, and stops after `sentParts` of
/// `parts`.
struct slow_response
{
    const char *name;
    int parts;
    int sentParts;
    microseconds interval;
    /// Limits of the call, from its start.
    microseconds deadline;
    microseconds completeBy;
    /// Whether the call is answered, and within which time it ends.
    bool isAnswered;
    microseconds endsAfter;
    microseconds endsBefore;
};

struct call_run
{
    explicit call_run(const slow_response &plan)
        : response(plan)
        , acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , socket(loop)
        , timer(loop)
        , client(loop, steadyNow)
    {
        acceptor.async_accept(socket, [this](boost::system::error_code) {
            socket.async_read_some(boost::asio::buffer(request),
                                   [this](boost::system::error_code, std::size_t) { sendPart(); });
        });
    }

    void sendPart()
    {
        if (sent == response.sentParts) {
            return;
        }
        const std::size_t size = bodyBytes / static_cast<std::size_t>(response.parts);
        part = std::string(sent == 0 ? "HTTP/1.1 200 OK\r\nContent-Length: "
                                   + std::to_string(bodyBytes) + "\r\n\r\n"
                                     : "")
            + std::string(size, 'x');
        ++sent;
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(part), ignored);
        timer.expires_after(std::chrono::microseconds(response.interval));
        timer.async_wait([this](boost::system::error_code) { sendPart(); });
    }

    /// Runs the call and returns how long it took.
    microseconds run()
    {
        const timestamp beganAt = steadyNow();
        net::http_call call;
        call.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        call.deadline = beganAt + response.deadline;
        call.completeBy = response.completeBy == 0 ? distantPast : beganAt + response.completeBy;
        call.onPart = [this](std::size_t bytes) { reported = bytes; };
        client.send(std::move(call), [this](net::call_result given) { result = std::move(given); });
        while (!result) {
            loop.run_one();
        }
        return steadyNow() - beganAt;
    }

    slow_response response;
    boost::asio::io_context loop;
    tcp::acceptor acceptor;
    tcp::socket socket;
    boost::asio::steady_timer timer;
    net::http_client client;
    std::array<char, 1'024> request {};
    std::string part;
    int sent = 0;
    std::size_t reported = 0;
    std::optional<net::call_result> result;
};

const slow_response slowResponses[] = {
    {"a response that arrives in time", 4, 4, 10 * millisecond, 500 * millisecond, 0, true, 0,
     500 * millisecond},
    {"a response that is given up at the deadline", 8, 8, 100 * millisecond, 300 * millisecond, 0,
     false, 300 * millisecond, 600 * millisecond},
    {"a response that is arriving at the deadline", 8, 8, 100 * millisecond, 300 * millisecond,
     5 * second, true, 600 * millisecond, 2 * second},
    {"a response that has not begun by the deadline", 8, 0, 100 * millisecond, 300 * millisecond,
     5 * second, false, 300 * millisecond, 600 * millisecond},
    {"a response that is cut off half way", 8, 3, 100 * millisecond, 300 * millisecond, 5 * second,
     false, 1'200 * millisecond, 2 * second},
    {"a response that takes too long", 40, 40, 100 * millisecond, 300 * millisecond, 1 * second,
     false, 1 * second, 1'400 * millisecond},
};

} // namespace

// Guards against calls that are given up while their answer is arriving, and against calls that
// wait for the rest of an answer that does not arrive any more.
BOOST_AUTO_TEST_CASE(responses_that_arrive_slowly)
{
    for (const slow_response &response : slowResponses) {
        BOOST_TEST_CONTEXT(response.name)
        {
            call_run run(response);
            const microseconds took = run.run();
            BOOST_TEST((run.result->outcome == net::call_outcome::answered) == response.isAnswered);
            BOOST_TEST(took >= response.endsAfter);
            BOOST_TEST(took < response.endsBefore);
            BOOST_TEST(run.result->receivedBytes
                       >= (response.isAnswered ? bodyBytes : run.reported));
        }
    }
}

// Guards against a progress report that says nothing about an answer that was given up.
BOOST_AUTO_TEST_CASE(received_bytes_of_an_incomplete_response)
{
    call_run run({"", 8, 3, 20 * millisecond, 300 * millisecond, 0, false, 0, 0});
    run.run();
    BOOST_TEST((run.result->outcome == net::call_outcome::unanswered));
    BOOST_TEST(run.result->receivedBytes == 3 * bodyBytes / 8);
    BOOST_TEST(run.reported == 3 * bodyBytes / 8);
}

// Guards against answers whose fields take far more memory than their bytes, and than the budget.
BOOST_AUTO_TEST_CASE(memory_of_an_answer_with_many_short_fields)
{
    constexpr std::size_t headBytes = 12'000;
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    tcp::socket socket(loop);
    std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n";
    while (head.size() < headBytes) {
        head += "a:\r\n";
    }
    head += "\r\n";
    acceptor.async_accept(socket, [&](boost::system::error_code) {
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(head), ignored);
    });
    net::receive_budget budget {10 * headBytes};
    net::http_client client(loop, steadyNow);
    client.limitReceived(&budget);
    net::http_call call;
    call.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    call.deadline = steadyNow() + 2 * second;
    std::optional<net::call_result> result;
    client.send(std::move(call), [&](net::call_result given) { result = std::move(given); });
    while (!result) {
        loop.run_one();
    }
    BOOST_TEST((result->outcome == net::call_outcome::unanswered));
    BOOST_TEST(client.answersBeyondLimits() == 1U);
    BOOST_TEST(budget.refused == 1U);
    BOOST_TEST(budget.used == 0U);
}
