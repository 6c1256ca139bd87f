#define BOOST_TEST_MODULE json_codec
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

#include "bramleygrade/json_codec.h"
#include "rpc/peer_rpc.h"

using namespace bramleygrade;
namespace data = boost::unit_test::data;

struct malformed_json
{
    const char *text;
    const char *expected;
};

std::ostream &operator<<(std::ostream &out, const malformed_json &bad)
{
    return out << bad.text;
}

static const malformed_json badDocuments[] = {
    {"{\n \"servce\": \"x\"}", "2: 14: error: unknown field: servce"},
    {"{ \"team\": 7 }", "expecting"},
    {"{ \"policy\": \"fastest\" }", "unknown enum value"},
    {"{ \"service\": \"x\"", "expecting"},
    {"", "input file is empty"},
    {"[1, 2]", "expecting"},
};

BOOST_DATA_TEST_CASE(malformed_json_is_rejected_with_its_reason, data::make(badDocuments), bad)
{
    const auto parsed = parseJson<service_document>(bad.text);
    BOOST_REQUIRE(!parsed);
    BOOST_TEST(parsed.error().message.find(bad.expected) != std::string::npos,
               "expected \"" << bad.expected << "\" in \"" << parsed.error().message << "\"");
    BOOST_TEST(parsed.error().message.find("correct this line") != std::string::npos);
}

// Guards against processes that end by a stack overflow in a parser: the libraries behind these two
// have bounds of their own.
BOOST_AUTO_TEST_CASE(lost_process_that_reads_deeply_nested_json)
{
    const std::string deepArrays(1'000'000, '[');
    std::string deepObjects;
    for (int level = 0; level < 200'000; ++level) {
        deepObjects += R"({"body":)";
    }
    peer_rpc_server server([](const std::string &) { return 1; });
    for (const std::string &deep : {deepArrays, R"({"body":)" + deepArrays, deepObjects}) {
        BOOST_TEST(!parseJson<peer_message>(deep).has_value());
        BOOST_TEST(server.handle(deep).find("error") != std::string::npos);
    }
    const std::string call =
        R"({"jsonrpc":"2.0","id":1,"method":"deliver","params":{"batch":"x"}})";
    BOOST_TEST(server.handle(call).find(R"("result":1)") != std::string::npos);
}

// Guards against a parser that holds several copies of a text of any length.
BOOST_AUTO_TEST_CASE(texts_beyond_a_length_are_rejected)
{
    constexpr std::size_t longest = 8ul * 1024 * 1024;
    const std::string beginning = R"({"service":")";
    std::string escapedQuotes;
    while (escapedQuotes.size() <= longest) {
        escapedQuotes += R"(\")";
    }
    struct test_case
    {
        const char *name;
        std::string text;
        bool isReadable;
    };
    const test_case testCases[] = {
        {"at the limit", beginning + std::string(longest, 'a') + R"("})", true},
        {"beyond the limit", beginning + std::string(longest + 1, 'a') + R"("})", false},
        {"escaped quotes", beginning + escapedQuotes + R"("})", false},
        {"no quotes", std::string(longest + 1, 'a'), false},
    };
    for (const test_case &testCase : testCases) {
        const auto parsed = parseJson<service_document>(testCase.text);
        BOOST_TEST(parsed.has_value() == testCase.isReadable, testCase.name);
        const std::string message = parsed ? "" : parsed.error().message;
        BOOST_TEST((message.find("is longer than 8388608 bytes") == std::string::npos)
                       == testCase.isReadable,
                   testCase.name);
    }
}

BOOST_AUTO_TEST_CASE(comments_are_allowed)
{
    const auto parsed = parseJson<service_document>("{ // comment\n \"service\": \"booking\" }");
    BOOST_REQUIRE(parsed);
    BOOST_TEST(parsed->service == "booking");
}

BOOST_AUTO_TEST_CASE(a_message_round_trips_through_json)
{
    peer_message message;
    message.from = "entry-1#7";
    message.to = "entry-2#9";
    message.sent_at = 12;
    promise_grant grant;
    grant.asked_at = 99;
    grant.claimed.push_back(std::make_unique<shard_epoch>());
    grant.claimed.back()->shard = "rack-\"1\"";
    grant.claimed.back()->epoch = 3;
    message.body.Set(grant);
    const auto parsed = parseJson<peer_message>(toJson(message));
    BOOST_REQUIRE(parsed);
    BOOST_TEST((*parsed == message));
}

BOOST_AUTO_TEST_CASE(corrupted_json_is_parsed_or_rejected_with_a_message)
{
    std::mt19937 random(7);
    const std::string good = R"({"from":"a","to":"b","body_type":"load_report","body":)"
                             R"({"services":[{"service":"x","free_slots":3}]}})";
    int accepted = 0;
    for (int round = 0; round < 20'000; ++round) {
        std::string text = good;
        for (unsigned count = 1 + random() % 4; count > 0; --count) {
            const std::size_t place = random() % text.size();
            if (random() % 2 == 0) {
                text[place] = static_cast<char>(random() % 256);
            } else {
                text.erase(place, 1 + random() % 5);
            }
        }
        const auto parsed = parseJson<peer_message>(text);
        accepted += parsed ? 1 : 0;
        BOOST_REQUIRE(parsed || !parsed.error().message.empty());
    }
    BOOST_TEST(accepted < 20'000);
}
