#define BOOST_TEST_MODULE explain
#include <boost/test/unit_test.hpp>

#include "tools/explain.h"

using namespace bramleygrade;

namespace {

std::string makeLogLine(int atMs, const std::string &instance, const std::string &event,
                        const std::string &fields)
{
    return "{\"at_ms\":" + std::to_string(atMs) + ",\"instance\":\"" + instance + "\",\"event\":\""
        + event + "\"" + (fields.empty() ? "" : "," + fields) + "}";
}

const std::string jobField = "\"job\":\"a\"";

/// Log lines of job `a`, whose scheduler entry-1 is replaced by entry-2 while the job runs. The
/// lines are grouped by entry, as read from two files, and not sorted by time.
const std::vector<std::string> takeoverLog = {
    makeLogLine(1'000, "entry-1", "job_received", jobField),
    makeLogLine(1'020, "entry-1", "job_stored", jobField),
    makeLogLine(1'030, "entry-1", "start_ordered", jobField + ",\"worker\":\"w-1\""),
    makeLogLine(1'040, "entry-1", "start_ordered", "\"job\":\"b\",\"worker\":\"w-9\""),
    makeLogLine(1'025, "entry-2", "call_answered", jobField + ",\"answer\":\"accepted\""),
    makeLogLine(2'000, "entry-2", "scheduler_silent", "\"scheduler\":\"entry-1\""),
    makeLogLine(2'100, "entry-2", "claim", "\"epoch\":\"2\""),
    makeLogLine(2'200, "entry-2", "worker_settled",
                "\"job\":\"\",\"why\":\"worker=w-1 running=1\""),
    makeLogLine(2'200, "entry-2", "worker_settled",
                "\"job\":\"\",\"why\":\"worker=w-9 running=0\""),
    "  2.9 entry-2 " + makeLogLine(2'900, "entry-2", "job_ended", jobField),
    "not a line of an entry",
};

bool containsText(const std::vector<std::string> &lines, const std::string &text)
{
    return std::any_of(lines.begin(), lines.end(), [&](const std::string &line) {
        return line.find(text) != std::string::npos;
    });
}

} // namespace

BOOST_AUTO_TEST_CASE(a_timeline_is_sorted_by_time_across_entries)
{
    const job_timeline timeline = explainJob("a", takeoverLog);
    BOOST_REQUIRE(timeline.lines.size() == 8U);
    BOOST_TEST(timeline.lines.front() == "      +0 ms  entry-1  job_received");
    BOOST_TEST(timeline.lines[2] == "     +25 ms  entry-2  call_answered answer=accepted");
    BOOST_TEST(timeline.lines.back() == "   +1900 ms  entry-2  job_ended");
    BOOST_TEST(timeline.missing.empty());
    BOOST_TEST(timeline.unreadableLineCount == 1U);
}

BOOST_AUTO_TEST_CASE(a_timeline_has_state_events_and_only_workers_of_the_job)
{
    const job_timeline timeline = explainJob("a", takeoverLog);
    BOOST_TEST(containsText(timeline.lines, "scheduler_silent scheduler=entry-1"));
    BOOST_TEST(containsText(timeline.lines, "claim epoch=2"));
    BOOST_TEST(containsText(timeline.lines, "worker=w-1 running=1"));
    BOOST_TEST(!containsText(timeline.lines, "w-9"));
}

BOOST_AUTO_TEST_CASE(missing_events_are_reported)
{
    struct test_case
    {
        const char *name;
        std::size_t lineCount;
        const char *missing;
    };
    const test_case testCases[] = {{"only received", 1, "never stored"},
                                   {"stored", 2, "no task was ever started"},
                                   {"started", 3, "the job's end is not in these lines"}};
    for (const test_case &testCase : testCases) {
        const std::vector<std::string> lines(takeoverLog.begin(),
                                             takeoverLog.begin()
                                                 + static_cast<std::ptrdiff_t>(testCase.lineCount));
        BOOST_TEST(containsText(explainJob("a", lines).missing, testCase.missing), testCase.name);
    }
    BOOST_TEST(containsText(explainJob("c", takeoverLog).missing, "no line names job c"));
    BOOST_TEST(explainJob("c", takeoverLog).lines.empty());
}
