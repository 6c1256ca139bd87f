#define BOOST_TEST_MODULE scheduler_admission
#include <boost/test/unit_test.hpp>

#include "admission_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;
using namespace bramleygrade::testing;

BOOST_FIXTURE_TEST_CASE(a_scheduler_that_is_behind_holds_the_call, admission_fixture)
{
    lead();
    isConfigReadable = false;
    const std::string more = std::string(privateQueue)
        + R"(,{"name":"new","host":"h","pathPrefix":"/n/","service":"s"})";
    const auto held = forward(makeCall(call_kind::submit, "r9", 3, "new"));
    BOOST_TEST(!held->has_value());
    BOOST_TEST(reads == 1); // of the configuration
    BOOST_TEST(cell::findJob(entry.leaderState->cell, jobId) == nullptr);
    store_result result;
    result.outcome = store_outcome::done;
    result.rows = {makeRow(3, R"(["r9"])", more)};
    pendingReads.front()(result);
    const cell::job_state *job = cell::findJob(entry.leaderState->cell, jobId);
    BOOST_REQUIRE(job != nullptr);
    BOOST_TEST(job->spec.team == "red");
    BOOST_TEST(!held->has_value()); // until the job is stored
}

BOOST_FIXTURE_TEST_CASE(a_held_call_is_refused_at_its_deadline, admission_fixture)
{
    lead();
    isConfigReadable = false;
    const auto held = forward(makeCall(call_kind::submit, "r1", 3), second);
    monitorHeldCalls(entry, steadyNow());
    BOOST_TEST(!held->has_value());
    monitorHeldCalls(entry, steadyNow() + second);
    BOOST_REQUIRE(held->has_value());
    BOOST_TEST(((*held)->kind == answer_kind::refused));
    BOOST_TEST((*held)->retryAfter > 0);
    BOOST_TEST(cell::findJob(entry.leaderState->cell, jobId) == nullptr);
    BOOST_TEST(hasLogged(R"("event":"held_call_refused")"));
    // A scheduler that is replaced does not keep the call.
    const auto other = forward(makeCall(call_kind::submit, "r1", 3), second);
    entry.leaderState.reset();
    entry.role = entry_role::follower;
    monitorHeldCalls(entry, steadyNow());
    BOOST_REQUIRE(other->has_value());
    BOOST_TEST(((*other)->kind == answer_kind::not_scheduler));
}

BOOST_FIXTURE_TEST_CASE(a_scheduler_that_is_ahead_checks_by_its_own_configuration,
                        admission_fixture)
{
    lead();
    applyConfigRow(entry, makeRow(3, R"(["r1"])", privateQueue));
    struct test_case
    {
        const char *name;
        call_kind kind;
        std::string key;
        std::string queue;
        answer_kind expected;
    };
    const test_case testCases[] = {
        {"valid key", call_kind::pending, "r1", "private", answer_kind::pending},
        {"revoked key", call_kind::pending, "r2", "private", answer_kind::unauthenticated},
        {"revoked key, submission", call_kind::submit, "r2", "private",
         answer_kind::unauthenticated},
        {"no key", call_kind::pending, "", "private", answer_kind::unauthenticated},
        {"removed queue", call_kind::submit, "r1", "gone", answer_kind::no_such_queue},
        {"public queue", call_kind::pending, "", "open", answer_kind::pending},
    };
    for (const test_case &testCase : testCases) {
        for (const std::int64_t version : {0, 2, 3}) {
            const auto answer =
                forward(makeCall(testCase.kind, testCase.key, version, testCase.queue));
            BOOST_REQUIRE_MESSAGE(answer->has_value(), testCase.name);
            BOOST_TEST(((*answer)->kind == testCase.expected), testCase.name);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(only_the_team_of_a_job_may_use_it, admission_fixture)
{
    lead();
    addStoredJob("red");
    for (const call_kind kind : {call_kind::state, call_kind::submit, call_kind::cancel}) {
        BOOST_TEST((forwardedKind(kind, "b1") == answer_kind::forbidden));
        const auto open = forward(makeCall(kind, "", entry.config.version, "open"));
        BOOST_REQUIRE(open->has_value());
        BOOST_TEST(((*open)->kind == answer_kind::forbidden)); // by way of a public queue
    }
    BOOST_TEST(hasLogged(R"("event":"call_forbidden")"));
    BOOST_TEST((forwardedKind(call_kind::state, "r2") == answer_kind::state));
    BOOST_TEST((forwardedKind(call_kind::submit, "r1") == answer_kind::accepted));
}

BOOST_FIXTURE_TEST_CASE(jobs_without_a_team_may_be_used_with_any_valid_key, admission_fixture)
{
    lead();
    addStoredJob("");
    BOOST_TEST((forwardedKind(call_kind::state, "b1") == answer_kind::state));
    BOOST_TEST((forwardedKind(call_kind::submit, "r1") == answer_kind::accepted));
    BOOST_TEST((forwardedKind(call_kind::state, "x") == answer_kind::unauthenticated));
}

BOOST_FIXTURE_TEST_CASE(answers_from_the_rows_are_for_the_team_of_the_job, admission_fixture)
{
    cell::job_state job;
    job.spec = makeCall(call_kind::submit, "", 0).spec;
    job.spec.team = "red";
    struct test_case
    {
        const char *name;
        stored_row row;
        int ownStatus;
        int otherStatus;
    };
    const ended_row ended {cell::job_phase::completed, 1, "red"};
    const ended_row endedBefore {cell::job_phase::completed, 1, ""};
    const test_case testCases[] = {
        {"ended", {endedTable, jobId, encodeEnded(ended), 1, false}, 200, 403},
        {"ended in place", {jobTable, jobId, encodeEnded(ended), 1, false}, 200, 403},
        {"live", {jobTable, jobId, encodeJob(job, 1), 1, false}, 200, 403},
        {"from before teams", {endedTable, jobId, encodeEnded(endedBefore), 1, false}, 200, 200},
    };
    for (const bool isScheduler : {true, false}) {
        if (isScheduler) {
            lead();
        } else {
            entry.leaderState.reset();
            entry.role = entry_role::follower;
        }
        for (const test_case &testCase : testCases) {
            rows = {testCase.row};
            confirmNow();
            const auto own = serve("GET", jobPath, "r1");
            const auto other = serve("GET", jobPath, "b1");
            if (!isScheduler) {
                // No scheduler is known, so the calls wait until they are looked up.
                expireForwarded(entry, steadyNow() + 1'550 * millisecond);
                expireForwarded(entry, steadyNow() + 1'550 * millisecond);
            }
            BOOST_TEST(own->status == testCase.ownStatus, testCase.name);
            BOOST_TEST(other->status == testCase.otherStatus, testCase.name);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(an_ended_job_of_another_team_is_not_submitted_again, admission_fixture)
{
    lead();
    for (const bool isOwnJob : {true, false}) {
        const auto answer = forward(makeCall(call_kind::submit, isOwnJob ? "r1" : "b1", 2));
        entry.leaderState->nextWriteAt = distantPast;
        advanceWrites(entry);
        BOOST_REQUIRE(answerWrite);
        store_result conflict;
        conflict.outcome = store_outcome::conflict;
        conflict.rows = {
            {endedTable, jobId, encodeEnded({cell::job_phase::completed, 1, "red"}), 30, false}};
        std::exchange(answerWrite, {})(conflict);
        BOOST_REQUIRE(answer->has_value());
        BOOST_TEST(
            ((*answer)->kind == (isOwnJob ? answer_kind::accepted : answer_kind::forbidden)));
    }
}
