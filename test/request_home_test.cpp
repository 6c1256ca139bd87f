#define BOOST_TEST_MODULE request_home
#include <boost/test/data/test_case.hpp>
#include <boost/test/included/unit_test.hpp>

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

struct judged_id
{
    timestamp issued;
    request_id_status expected;
};

std::ostream &operator<<(std::ostream &out, const judged_id &judged)
{
    return out << judged.issued;
}

static const judged_id judgedIds[] = {
    {now, request_id_status::unknown_id},
    {now + futureTolerance, request_id_status::unknown_id},
    {now + futureTolerance + millisecond, request_id_status::future_id},
    {authorityStart, request_id_status::issued_before_authority},
    // A former home may have taken ids up to its own idea of the future.
    {authorityStart + futureTolerance, request_id_status::issued_before_authority},
    {authorityStart + futureTolerance + clockOffsetBound,
     request_id_status::issued_before_authority},
    {authorityStart + futureTolerance + clockOffsetBound + millisecond,
     request_id_status::unknown_id},
    {now - requestIdLifetime - millisecond, request_id_status::expired_id},
};

BOOST_DATA_TEST_CASE(a_home_vouches_only_for_ids_issued_in_its_own_time, data::make(judgedIds),
                     judged)
{
    idempotency_state state;
    BOOST_TEST(static_cast<int>(checkRequestId(state, idAt(judged.issued), authorityStart, now))
               == static_cast<int>(judged.expected));
}

static const char *const malformedIds[] = {"",    "-x",   "12",    "12-",
                                           "x-y", "-1-x", "12a-x", "99999999999999999999999-x"};

BOOST_DATA_TEST_CASE(malformed_ids_have_no_time_of_issue, data::make(malformedIds), id)
{
    BOOST_TEST(parseIssueTime(id) < 0);
}

BOOST_AUTO_TEST_CASE(a_repeat_joins_the_first_attempt_and_later_gets_its_answer)
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

BOOST_AUTO_TEST_CASE(not_run_is_final_for_an_id_so_that_a_late_attempt_cannot_run)
{
    idempotency_state state;
    const std::string id = idAt(now);
    recordStart(state, id, 7, now);
    answer outcome;
    outcome.outcome = outcome::not_run;
    recordAnswer(state, id, outcome);
    BOOST_TEST((checkRequestId(state, id, authorityStart, now) == request_id_status::completed));
}

BOOST_AUTO_TEST_CASE(a_late_answer_replaces_only_an_unclear_one)
{
    idempotency_state state;
    const std::string id = idAt(now);
    recordStart(state, id, 7, now);
    answer unclear;
    unclear.outcome = outcome::may_have_run;
    recordAnswer(state, id, unclear);
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
