#define BOOST_TEST_MODULE explain
#include <boost/test/included/unit_test.hpp>

#include "tools/explain.h"

using namespace bramleygrade;

namespace {

std::string line(int at, const std::string &instance, const std::string &event,
                 const std::string &fields)
{
    return "{\"at_ms\":" + std::to_string(at) + ",\"instance\":\"" + instance + "\",\"event\":\""
        + event + "\"" + (fields.empty() ? "" : "," + fields) + "}";
}

const std::string ofJob = "\"job\":\"a\"";

/// A job that went through a takeover, in the order of two files.
const std::vector<std::string> takeover = {
    line(1'000, "entry-1", "job_received", ofJob),
    line(1'020, "entry-1", "job_stored", ofJob),
    line(1'030, "entry-1", "start_ordered", ofJob + ",\"worker\":\"w-1\""),
    line(1'040, "entry-1", "start_ordered", "\"job\":\"b\",\"worker\":\"w-9\""),
    line(1'025, "entry-2", "call_answered", ofJob + ",\"answer\":\"accepted\""),
    line(2'000, "entry-2", "scheduler_silent", "\"scheduler\":\"entry-1\""),
    line(2'100, "entry-2", "claim", "\"epoch\":\"2\""),
    line(2'200, "entry-2", "worker_settled", "\"job\":\"\",\"why\":\"worker=w-1 running=1\""),
    line(2'200, "entry-2", "worker_settled", "\"job\":\"\",\"why\":\"worker=w-9 running=0\""),
    "  2.9 entry-2 " + line(2'900, "entry-2", "job_ended", ofJob),
    "not a line of an entry",
};

bool mentions(const std::vector<std::string> &lines, const std::string &text)
{
    return std::any_of(lines.begin(), lines.end(), [&](const std::string &entry) {
        return entry.find(text) != std::string::npos;
    });
}

} // namespace

BOOST_AUTO_TEST_CASE(a_story_is_sorted_by_time_across_entries)
{
    const job_timeline story = explainJob("a", takeover);
    BOOST_REQUIRE(story.lines.size() == 8U);
    BOOST_TEST(story.lines.front() == "      +0 ms  entry-1  job_received");
    BOOST_TEST(story.lines[2] == "     +25 ms  entry-2  call_answered answer=accepted");
    BOOST_TEST(story.lines.back() == "   +1900 ms  entry-2  job_ended");
    BOOST_TEST(story.missing.empty());
    BOOST_TEST(story.unreadableLineCount == 1U);
}

BOOST_AUTO_TEST_CASE(a_story_holds_beliefs_and_the_workers_of_the_job_only)
{
    const job_timeline story = explainJob("a", takeover);
    BOOST_TEST(mentions(story.lines, "scheduler_silent scheduler=entry-1"));
    BOOST_TEST(mentions(story.lines, "claim epoch=2"));
    BOOST_TEST(mentions(story.lines, "worker=w-1 running=1"));
    BOOST_TEST(!mentions(story.lines, "w-9"));
}

BOOST_AUTO_TEST_CASE(what_is_missing_is_named)
{
    struct row
    {
        const char *name;
        std::size_t kept;
        const char *missing;
    };
    const row rows[] = {{"only received", 1, "never stored"},
                        {"stored", 2, "no task was ever started"},
                        {"started", 3, "the job's end is not in these lines"}};
    for (const row &entry : rows) {
        const std::vector<std::string> lines(
            takeover.begin(), takeover.begin() + static_cast<std::ptrdiff_t>(entry.kept));
        BOOST_TEST(mentions(explainJob("a", lines).missing, entry.missing), entry.name);
    }
    BOOST_TEST(mentions(explainJob("c", takeover).missing, "no line names job c"));
    BOOST_TEST(explainJob("c", takeover).lines.empty());
}
