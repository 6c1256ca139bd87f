#define BOOST_TEST_MODULE request_home
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/request_home.h"

using namespace bramleygrade;
namespace data = boost::unit_test::data;

namespace {

constexpr timestamp authorityStart = 1000 * second;
constexpr timestamp now = authorityStart + 20 * second;

std::string idAt(timestamp issued)
{
    return std::to_string(issued / millisecond) + "-x";
}

} // namespace

struct id_case
{
    timestamp issued;
    request_id_status expected;
};

std::ostream &operator<<(std::ostream &out, const id_case &testCase)
{
    return out << testCase.issued;
}

static const id_case idCases[] = {
    {now, request_id_status::unknown_id},
    {now + futureTolerance, request_id_status::unknown_id},
    {now + futureTolerance + millisecond, request_id_status::future_id},
    {authorityStart, request_id_status::issued_before_authority},
    // A former owner may have run ids that were ahead of its own clock by `futureTolerance`, and
    // its clock may have been ahead of this one by `clockOffsetBound`.
    {authorityStart + futureTolerance, request_id_status::issued_before_authority},
    {authorityStart + futureTolerance + clockOffsetBound,
     request_id_status::issued_before_authority},
    {authorityStart + futureTolerance + clockOffsetBound + millisecond,
     request_id_status::unknown_id},
    {now - requestIdLifetime - millisecond, request_id_status::expired_id},
};

BOOST_DATA_TEST_CASE(a_new_id_is_accepted_only_if_issued_under_the_present_authority,
                     data::make(idCases), testCase)
{
    idempotency_state state;
    BOOST_TEST(static_cast<int>(checkRequestId(state, idAt(testCase.issued), authorityStart, now))
               == static_cast<int>(testCase.expected));
}

static const char *const malformedIds[] = {"",    "-x",   "12",    "12-",
                                           "x-y", "-1-x", "12a-x", "99999999999999999999999-x"};

BOOST_DATA_TEST_CASE(a_malformed_id_has_no_issue_time, data::make(malformedIds), id)
{
    BOOST_TEST(parseIssueTime(id) < 0);
}

BOOST_AUTO_TEST_CASE(a_retry_finds_the_running_request_and_later_its_answer)
{
    idempotency_state state;
    const std::string id = idAt(now);
    recordStart(state, id, 7, now);
    BOOST_TEST((checkRequestId(state, id, authorityStart, now) == request_id_status::in_progress));
    answer outcome;
    outcome.body = "seat 12";
    recordAnswer(state, id, outcome);
    BOOST_TEST((checkRequestId(state, id, authorityStart, now) == request_id_status::completed));
    BOOST_TEST(state.remembered.at(id).outcome.body == "seat 12");
}

BOOST_AUTO_TEST_CASE(not_run_is_final_for_an_id_so_that_a_delayed_attempt_cannot_run)
{
    idempotency_state state;
    const std::string id = idAt(now);
    recordStart(state, id, 7, now);
    answer outcome;
    outcome.outcome = outcome::not_run;
    recordAnswer(state, id, outcome);
    BOOST_TEST((checkRequestId(state, id, authorityStart, now) == request_id_status::completed));
}

BOOST_AUTO_TEST_CASE(a_late_answer_replaces_only_may_have_run)
{
    idempotency_state state;
    const std::string id = idAt(now);
    recordStart(state, id, 7, now);
    answer unclear;
    unclear.outcome = outcome::may_have_run;
    recordAnswer(state, id, unclear);
    answer complete;
    complete.body = "seat 12";
    replaceAnswer(state, id, complete);
    BOOST_TEST(state.remembered.at(id).outcome.body == "seat 12");
    answer other;
    other.body = "seat 13";
    replaceAnswer(state, id, other);
    BOOST_TEST(state.remembered.at(id).outcome.body == "seat 12");
}

BOOST_AUTO_TEST_CASE(records_are_erased_only_after_their_id_has_expired)
{
    idempotency_state state;
    const std::string id = idAt(now);
    recordStart(state, id, 7, now);
    recordAnswer(state, id, answer {});
    const timestamp expired = now + requestIdLifetime + second;
    eraseExpiredRecords(state, expired);
    BOOST_TEST(
        (checkRequestId(state, id, authorityStart, expired) == request_id_status::completed));
    eraseExpiredRecords(state, now + 2 * requestIdLifetime);
    BOOST_TEST(state.remembered.empty());
    BOOST_TEST((checkRequestId(state, id, authorityStart, now + 2 * requestIdLifetime)
                == request_id_status::expired_id));
}
