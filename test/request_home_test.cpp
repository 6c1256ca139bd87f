#define BOOST_TEST_MODULE request_home
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>

#include "core/request_home.h"

using namespace bramleygrade;
namespace data = boost::unit_test::data;

namespace {

constexpr timestamp vouchFrom = 1000 * second;
constexpr timestamp now = vouchFrom + 20 * second;

std::string idAt(timestamp issued)
{
    return std::to_string(issued / millisecond) + "-x";
}

} // namespace

struct judged_id
{
    timestamp issued;
    home_verdict expected;
};

std::ostream &operator<<(std::ostream &out, const judged_id &judged)
{
    return out << judged.issued;
}

static const judged_id judgedIds[] = {
    {now, home_verdict::unknownId},
    {now + futureTolerance, home_verdict::unknownId},
    {now + futureTolerance + millisecond, home_verdict::isFromFuture},
    {vouchFrom, home_verdict::cannotVouch},
    // A former home may have taken ids up to its own idea of the future.
    {vouchFrom + futureTolerance, home_verdict::cannotVouch},
    {vouchFrom + futureTolerance + clockOffsetBound, home_verdict::cannotVouch},
    {vouchFrom + futureTolerance + clockOffsetBound + millisecond, home_verdict::unknownId},
    {now - requestIdLifetime - millisecond, home_verdict::isExpired},
};

BOOST_DATA_TEST_CASE(a_home_vouches_only_for_ids_issued_in_its_own_time, data::make(judgedIds),
                     judged)
{
    request_home_state state;
    BOOST_TEST(static_cast<int>(judgeRequestId(state, idAt(judged.issued), vouchFrom, now))
               == static_cast<int>(judged.expected));
}

static const char *const malformedIds[] = {"",    "-x",   "12",    "12-",
                                           "x-y", "-1-x", "12a-x", "99999999999999999999999-x"};

BOOST_DATA_TEST_CASE(malformed_ids_have_no_time_of_issue, data::make(malformedIds), id)
{
    BOOST_TEST(issueTimeOf(id) < 0);
}

BOOST_AUTO_TEST_CASE(a_repeat_joins_the_first_attempt_and_later_gets_its_answer)
{
    request_home_state state;
    const std::string id = idAt(now);
    rememberRunning(state, id, 7, now);
    BOOST_TEST((judgeRequestId(state, id, vouchFrom, now) == home_verdict::runs));
    answer outcome;
    outcome.body = "seat 12";
    rememberAnswer(state, id, outcome);
    BOOST_TEST((judgeRequestId(state, id, vouchFrom, now) == home_verdict::wasAnswered));
    BOOST_TEST(state.remembered.at(id).outcome.body == "seat 12");
}

BOOST_AUTO_TEST_CASE(not_run_is_final_for_an_id_so_that_a_late_attempt_cannot_run)
{
    request_home_state state;
    const std::string id = idAt(now);
    rememberRunning(state, id, 7, now);
    answer outcome;
    outcome.outcome = outcome::not_run;
    rememberAnswer(state, id, outcome);
    BOOST_TEST((judgeRequestId(state, id, vouchFrom, now) == home_verdict::wasAnswered));
}

BOOST_AUTO_TEST_CASE(a_late_answer_replaces_only_an_unclear_one)
{
    request_home_state state;
    const std::string id = idAt(now);
    rememberRunning(state, id, 7, now);
    answer unclear;
    unclear.outcome = outcome::may_have_run;
    rememberAnswer(state, id, unclear);
    answer whole;
    whole.body = "seat 12";
    replaceAnswer(state, id, whole);
    BOOST_TEST(state.remembered.at(id).outcome.body == "seat 12");
    answer other;
    other.body = "seat 13";
    replaceAnswer(state, id, other);
    BOOST_TEST(state.remembered.at(id).outcome.body == "seat 12");
}

BOOST_AUTO_TEST_CASE(ids_are_forgotten_only_after_they_have_expired)
{
    request_home_state state;
    const std::string id = idAt(now);
    rememberRunning(state, id, 7, now);
    rememberAnswer(state, id, answer {});
    const timestamp expired = now + requestIdLifetime + second;
    forgetExpired(state, expired);
    BOOST_TEST((judgeRequestId(state, id, vouchFrom, expired) == home_verdict::wasAnswered));
    forgetExpired(state, now + 2 * requestIdLifetime);
    BOOST_TEST(state.remembered.empty());
    BOOST_TEST((judgeRequestId(state, id, vouchFrom, now + 2 * requestIdLifetime)
                == home_verdict::isExpired));
}
