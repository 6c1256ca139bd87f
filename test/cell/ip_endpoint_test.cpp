#define BOOST_TEST_MODULE ip_endpoint
#include <boost/test/unit_test.hpp>

#include <string>

#include "net/ip_endpoint.h"

using namespace bramleygrade;

namespace {

struct test_case
{
    std::string text;
    /// "" if the text is rejected.
    const char *host;
    int port;
};

const test_case testCases[] = {
    {"10.0.0.1:80", "10.0.0.1", 80},
    {"127.0.0.1:1", "127.0.0.1", 1},
    {"127.0.0.1:65535", "127.0.0.1", 65'535},
    {"::1:80", "::1", 80},
    {"10.0.0.1:0", "", 0},
    {"10.0.0.1:-1", "", 0},
    {"10.0.0.1:+80", "", 0},
    {"10.0.0.1: 80", "", 0},
    {"10.0.0.1:80 ", "", 0},
    {"10.0.0.1:80x", "", 0},
    {"10.0.0.1:0x50", "", 0},
    {"10.0.0.1:80.5", "", 0},
    {"10.0.0.1:65536", "", 0},
    {"10.0.0.1:65616", "", 0},
    {"10.0.0.1:4294967376", "", 0},
    {"10.0.0.1:18446744073709551696", "", 0},
    {std::string("10.0.0.1:80\0", 12), "", 0},
    {"10.0.0.1:", "", 0},
    {"10.0.0.1", "", 0},
    {"10.0.0.256:80", "", 0},
    {"worker.example:80", "", 0},
    {":80", "", 0},
    {":", "", 0},
    {"", "", 0},
};

} // namespace

// Guards against calls to another port than the one in the text: 65,616 and 4,294,967,376 were read
// as port 80 where the number was cut to 16 or 32 bits, and so was `80x`.
BOOST_AUTO_TEST_CASE(limit_address_that_reads_as_another_port)
{
    for (const test_case &testCase : testCases) {
        const auto endpoint = net::parseIpEndpoint(testCase.text);
        BOOST_TEST((endpoint ? endpoint->host.to_string() : "") == testCase.host, testCase.text);
        BOOST_TEST((endpoint ? endpoint->port : 0) == testCase.port, testCase.text);
    }
}
