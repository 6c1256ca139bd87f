#define BOOST_TEST_MODULE caller_keys
#include <boost/test/unit_test.hpp>

#include "entry/authentication/caller_keys.h"
#include "entry/authentication/config_confirmation.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;

namespace {

cell::cell_config makeConfig(const std::vector<cell::team_policy> &teams)
{
    cell::cell_config config;
    config.version = 3;
    config.requiresKeys = true;
    config.teams = teams;
    cell::queue_policy queue;
    queue.name = "private";
    config.queues.push_back(queue);
    queue.name = "public";
    queue.isPublic = true;
    config.queues.push_back(queue);
    queue.name = "both"; // two routes of this name, one of them public
    config.queues.push_back(queue);
    queue.isPublic = false;
    config.queues.push_back(queue);
    return config;
}

cell::team_policy makeTeam(const std::string &name, const std::vector<std::string> &keys)
{
    cell::team_policy team;
    team.name = name;
    team.keys = keys;
    return team;
}

caller_keys indexTeams(const std::vector<cell::team_policy> &teams)
{
    std::vector<cell::config_problem> problems;
    return indexCallerKeys(makeConfig(teams), problems);
}

constexpr microseconds limit = 5 * second;

} // namespace

// Guards against callers that act for a team whose key they do not have.
BOOST_AUTO_TEST_CASE(keys_admit_calls_of_their_team_only)
{
    using outcome = admission_outcome;
    const std::string longKey(10'000, 'k');
    const caller_keys keys = indexTeams({makeTeam("red", {"r1", "r2", "shared"}),
                                         makeTeam("blue", {"b1", "shared", longKey}),
                                         makeTeam("green", {"shared"}), makeTeam("empty", {})});
    struct test_case
    {
        const char *name;
        std::string queue;
        std::string key;
        admission expected;
    };
    const test_case testCases[] = {
        {"key of a team", "private", "r2", {outcome::admitted, "red"}},
        {"key of another team", "private", "b1", {outcome::admitted, "blue"}},
        {"unknown key", "private", "r3", {outcome::unauthenticated, ""}},
        {"part of a key", "private", "r", {outcome::unauthenticated, ""}},
        {"key in another case", "private", "R1", {outcome::unauthenticated, ""}},
        {"no key", "private", "", {outcome::unauthenticated, ""}},
        {"key of three teams", "private", "shared", {outcome::unauthenticated, ""}},
        {"key of 10 KB", "private", longKey, {outcome::unauthenticated, ""}},
        {"public queue", "public", "", {outcome::admitted, ""}},
        {"public queue, key of a team", "public", "r1", {outcome::admitted, ""}},
        {"queue with a public and a private route", "both", "", {outcome::unauthenticated, ""}},
        {"no such queue", "other", "r1", {outcome::no_such_queue, ""}},
        {"no such queue, no key", "other", "", {outcome::no_such_queue, ""}},
    };
    for (const test_case &testCase : testCases) {
        BOOST_TEST((admit(keys, testCase.queue, testCase.key) == testCase.expected), testCase.name);
    }
}

BOOST_AUTO_TEST_CASE(a_configuration_without_teams_needs_no_keys)
{
    cell::cell_config config = makeConfig({});
    config.requiresKeys = false;
    std::vector<cell::config_problem> problems;
    const caller_keys keys = indexCallerKeys(config, problems);
    BOOST_TEST((admit(keys, "private", "") == admission {}));
    BOOST_TEST(mayUseJob(keys, "red", ""));
    BOOST_TEST(problems.empty());
}

// Guards against faults that an operator cannot see, and against keys in the log.
BOOST_AUTO_TEST_CASE(faults_of_teams_are_reported_without_their_keys)
{
    std::vector<cell::config_problem> problems;
    const std::string longKey(10'000, 'k');
    indexCallerKeys(makeConfig({makeTeam("red", {"secret"}), makeTeam("blue", {"secret", longKey}),
                                makeTeam("empty", {}), makeTeam("red", {"r2"})}),
                    problems);
    BOOST_REQUIRE(problems.size() == 4U);
    BOOST_TEST(problems[0].team == "blue");
    BOOST_TEST(problems[0].problem.find("'red'") != std::string::npos);
    BOOST_TEST(problems[1].team == "blue");
    BOOST_TEST(problems[1].problem.find("10000 bytes") != std::string::npos);
    BOOST_TEST(problems[2].team == "empty");
    BOOST_TEST(problems[3].team == "red");
    for (const cell::config_problem &problem : problems) {
        BOOST_TEST(problem.problem.find("secret") == std::string::npos);
        BOOST_TEST(problem.problem.find("kkkk") == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(jobs_are_used_by_their_team_only)
{
    const caller_keys keys = indexTeams({makeTeam("red", {"r1"}), makeTeam("blue", {"b1"})});
    BOOST_TEST(mayUseJob(keys, "red", "red"));
    BOOST_TEST(!mayUseJob(keys, "red", "blue"));
    BOOST_TEST(!mayUseJob(keys, "red", "")); // a caller of a public queue
    BOOST_TEST(mayUseJob(keys, "", "blue")); // stored before jobs had teams
    BOOST_TEST(mayUseJob(keys, "", ""));
}

// Guards against keys that work more than the limit after their revocation. True times; this
// entry's clock runs 2 % slow.
BOOST_AUTO_TEST_CASE(a_confirmation_expires_within_the_limit_on_a_slow_clock)
{
    constexpr timestamp start = 1'000 * second;
    const microseconds own = expiryOf(start, limit) - start;
    const auto elapsed = static_cast<microseconds>(static_cast<double>(own) / 0.98);
    BOOST_TEST(elapsed <= limit);
    BOOST_TEST(own > limit * 95 / 100);
}

BOOST_AUTO_TEST_CASE(the_deadline_counts_from_the_beginning_of_what_confirms)
{
    constexpr timestamp start = 1'000 * second;
    config_confirmation confirmation;
    BOOST_TEST(isExpired(confirmation, limit, start));
    BOOST_TEST(!isExpired(confirmation, 0, start)); // no limit
    confirm(confirmation, start, limit, "store");
    BOOST_TEST(!isExpired(confirmation, limit, start + 4 * second));
    BOOST_TEST(isExpired(confirmation, limit, start + limit));
    // An answer that waited while the process was frozen confirms nothing later.
    confirm(confirmation, start - second, limit, "peer");
    BOOST_TEST(confirmation.confirmedAt == start);
    BOOST_TEST(confirmation.by == "store");
    confirm(confirmation, start + second, limit, "peer");
    BOOST_TEST(!isExpired(confirmation, limit, start + limit));
    BOOST_TEST(isExpired(confirmation, limit, start + limit + second));
    BOOST_TEST(confirmation.by == "peer");
}

// Guards against questions while the store answers, and against too many of them while it does not.
BOOST_AUTO_TEST_CASE(peers_are_asked_only_when_the_confirmation_is_old)
{
    constexpr timestamp start = 1'000 * second;
    const std::map<std::string, std::string> members = {
        {"a", "a:1"}, {"b", "b:1"}, {"c", "c:1"}, {"self", "s:1"}};
    config_confirmation confirmation;
    confirm(confirmation, start, limit, "store");
    struct test_case
    {
        const char *name;
        microseconds after;
        microseconds limit;
        bool isDue;
    };
    const test_case testCases[] = {
        {"new", 0, limit, false},
        {"two polls old", 2 * pollDuration(1'500 * millisecond, limit), limit, false},
        {"just below 0.4 of the limit", 2 * second - 1, limit, false},
        {"0.4 of the limit", 2 * second, limit, true},
        {"without a limit", 60 * second, 0, false},
    };
    for (const test_case &testCase : testCases) {
        BOOST_TEST(isAskDue(confirmation, 3, testCase.limit, start + testCase.after)
                       == testCase.isDue,
                   testCase.name);
    }
    timestamp now = start + 2 * second;
    std::set<std::string> asked;
    for (int round = 0; round < 3; ++round) {
        BOOST_TEST(isAskDue(confirmation, 3, limit, now));
        const auto peers = beginAsk(confirmation, 3, members, "self", "a", now);
        BOOST_TEST(peers.size() == (round == 0 ? 1U : 2U));
        for (const auto &[name, address] : peers) {
            BOOST_TEST(name != "self");
            asked.insert(name);
        }
        BOOST_TEST(!isAskDue(confirmation, 3, limit, now + second - 1));
        now += second;
    }
    BOOST_TEST(asked.size() == 3U); // all peers get their turn
}

BOOST_AUTO_TEST_CASE(a_version_that_another_entry_has_is_asked_for)
{
    constexpr timestamp start = 1'000 * second;
    const std::map<std::string, std::string> members = {
        {"a", "a:1"}, {"b", "b:1"}, {"self", "s:1"}};
    config_confirmation confirmation;
    confirm(confirmation, start, limit, "store");
    noteVersion(confirmation, 3, 3, start, 600 * millisecond);
    BOOST_TEST(!isAskDue(confirmation, 3, limit, start + second));
    noteVersion(confirmation, 3, 4, start, 600 * millisecond);
    noteVersion(confirmation, 3, 4, start + 500 * millisecond, 600 * millisecond);
    BOOST_TEST(!isAskDue(confirmation, 3, limit, start + 599 * millisecond));
    BOOST_TEST(isAskDue(confirmation, 3, limit, start + 600 * millisecond));
    BOOST_TEST(isAskDue(confirmation, 3, 0, start + 600 * millisecond)); // also without a limit
    BOOST_TEST(!isAskDue(confirmation, 4, limit, start + 600 * millisecond));
    const auto peers = beginAsk(confirmation, 3, members, "self", "b", start + 600 * millisecond);
    BOOST_REQUIRE(peers.size() == 2U);
    BOOST_TEST(peers.front().first == "b"); // the scheduler has announced it
    // A call that another entry admitted by version 5 waits for it.
    noteVersion(confirmation, 3, 5, start + 2 * second, 0);
    BOOST_TEST(isAskDue(confirmation, 3, limit, start + 2 * second));
}

BOOST_AUTO_TEST_CASE(long_polls_are_short_enough_to_confirm_in_time)
{
    BOOST_TEST(pollDuration(1'500 * millisecond, 0) == 1'500 * millisecond);
    BOOST_TEST(pollDuration(1'500 * millisecond, limit) == 750 * millisecond);
    BOOST_TEST(pollDuration(1'500 * millisecond, 60 * second) == 1'500 * millisecond);
    BOOST_TEST(pollDuration(1'500 * millisecond, millisecond) == 100 * millisecond);
}
