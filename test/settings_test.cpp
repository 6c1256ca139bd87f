#define BOOST_TEST_MODULE settings
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "daemon/settings.h"

using namespace bramleygrade;
namespace data = boost::unit_test::data;

static const std::string validSettings = R"({
    // Settings of one entry.
    "name": "entry-1", "failure_domain": "domain-a", "host": "127.0.0.1",
    "caller_port": 7000, "operator_port": 7001, "peer_port": 7002,
    "table_host": "127.0.0.1", "table_port": 9000, "cell_key": "0123456789abcdef"
})";

struct invalid_setting
{
    const char *from;
    const char *to;
    const char *expected;
};

std::ostream &operator<<(std::ostream &out, const invalid_setting &bad)
{
    return out << bad.to;
}

static const invalid_setting invalidSettings[] = {
    {"\"entry-1\"", "\"\"", "name:"},
    {"\"entry-1\"", "\"entry#1\"", "name:"},
    {"\"domain-a\"", "\"\"", "failure_domain:"},
    {"\"host\": \"127.0.0.1\"", "\"host\": \"localhost\"", "host:"},
    {"7001", "70010", "caller_port"},
    {"7001", "7000", "must differ"},
    {"0123456789abcdef", "short", "cell_key:"},
    {"\"table_port\": 9000", "\"table_prot\": 9000", "line 5"},
    {"\"table_port\": 9000", "\"table_port\": 9000, \"log_level\": \"loud\"", "log_level:"},
};

BOOST_AUTO_TEST_CASE(valid_settings_are_accepted_with_defaults)
{
    const auto settings = parseSettings("file", validSettings);
    BOOST_REQUIRE(settings);
    BOOST_TEST(settings->caller_port == 7000);
    BOOST_TEST(settings->log_level == "info");
}

BOOST_DATA_TEST_CASE(an_invalid_setting_is_reported_with_its_field, data::make(invalidSettings),
                     bad)
{
    std::string text = validSettings;
    text.replace(text.find(bad.from), std::string(bad.from).size(), bad.to);
    const auto settings = parseSettings("entry.json", text);
    BOOST_REQUIRE(!settings);
    BOOST_TEST(settings.error().message.find("entry.json") == 0u);
    BOOST_TEST(settings.error().message.find(bad.expected) != std::string::npos,
               "expected \"" << bad.expected << "\" in \"" << settings.error().message << "\"");
}

BOOST_AUTO_TEST_CASE(a_missing_settings_file_is_reported_with_its_path)
{
    const auto settings = parseSettingsFile("no-such-file.json");
    BOOST_REQUIRE(!settings);
    BOOST_TEST(settings.error().message.find("no-such-file.json") == 0u);
}
