#define BOOST_TEST_MODULE admission
#include <boost/test/included/unit_test.hpp>

#include "entry/authentication/admission.h"
#include "entry/authentication/confirmation_exchange.h"
#include "platform/platform.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;

namespace {

const char jobId[] = "5c0e7a21d94b36f8";
const char jobBody[] = R"({"spec":"x","steps":[{"count":1,"cpu":500}]})";

/// Returns a configuration row with the private queue `private`, the public queue `open`, the
/// queues in `more`, and the teams red and blue; `redKeys` is a JSON list.
stored_row makeRow(int version, const std::string &redKeys, const std::string &more = "")
{
    const std::string value = R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"open","host":"h","pathPrefix":"/open/","service":"s",)"
          R"("public":true})"
        + more + R"(],"tenants":[{"name":"red","apiKeys":)" + redKeys
        + R"(},{"name":"blue","apiKeys":["b1"]}]})";
    return {"op", "config", value, version, false};
}

const char privateQueue[] = R"(,{"name":"private","host":"h","pathPrefix":"/p/","service":"s"})";

/// An entry that is not started, with a store that the test answers.
struct admission_fixture
{
    admission_fixture()
        : entry(loop, makeSettings())
    {
        platform_codec &codec = entry.ports.codec;
        codec.decode = platform::decodeCallerRequest;
        codec.encode = platform::encodeCallerAnswer;
        codec.decodeConfig = platform::decodeConfiguration;
        codec.configTable = "op";
        codec.configKey = "config";
        entry.ports.store.read = [this](const row_range &range, timestamp,
                                        const store_completion &done) {
            ++reads;
            if (range.table == "op" && !isConfigReadable) {
                pendingReads.push_back(done);
                return;
            }
            store_result result;
            result.outcome = store_outcome::done;
            for (const stored_row &row : rows) {
                if (row.table == range.table) {
                    result.rows.push_back(row);
                }
            }
            done(result);
        };
        entry.ports.store.write = [this](const table_write &, timestamp,
                                         const store_completion &done) { answerWrite = done; };
        applyConfigRow(entry, makeRow(2, R"(["r1","r2"])", privateQueue));
        confirmNow();
    }

    static cell_settings makeSettings()
    {
        cell_settings settings;
        settings.name = "entry-1";
        settings.peerAddress = "10.0.0.1:1";
        settings.logLinesPerSecond = 1'000;
        settings.revocationLimit = 5 * second;
        return settings;
    }

    void confirmNow() { confirmFromStore(entry, steadyNow(), entry.configRowVersion); }

    void lead()
    {
        entry.leaderState = std::make_unique<leader_state>();
        entry.role = entry_role::scheduler;
        cell::changeConfig(entry.leaderState->cell, entry.config);
    }

    /// Serves a caller's request. The response has status 0 while there is no answer.
    std::shared_ptr<net::http_response> serve(const std::string &method, const std::string &path,
                                              const net::header_list &headers)
    {
        net::http_request request;
        request.method = method;
        request.target = path;
        request.host = "h";
        request.headers = headers;
        request.body = method == "POST" ? jobBody : "";
        const auto response = std::make_shared<net::http_response>();
        response->status = 0;
        serveCaller(entry, request,
                    [response](const net::http_response &given) { *response = given; });
        return response;
    }

    std::shared_ptr<net::http_response> serve(const std::string &method, const std::string &path,
                                              const std::string &key)
    {
        return serve(method, path, net::header_list {{"Authorization", "Token " + key}});
    }

    static caller_call makeCall(call_kind kind, const std::string &key, std::int64_t version,
                                const std::string &queue = "private")
    {
        caller_call call;
        call.kind = kind;
        call.queue = queue;
        call.job = jobId;
        call.spec.steps.emplace_back();
        call.key = key;
        call.configVersion = version;
        return call;
    }

    /// Hands a forwarded call to the scheduler. The answer is null while there is none.
    std::shared_ptr<std::optional<caller_answer>> forward(const caller_call &call,
                                                          microseconds wait = second)
    {
        const auto answer = std::make_shared<std::optional<caller_answer>>();
        handleCall(entry, call, steadyNow() + wait,
                   [answer](const caller_answer &given) { *answer = given; });
        return answer;
    }

    answer_kind forwardedKind(call_kind kind, const std::string &key)
    {
        const auto answer = forward(makeCall(kind, key, entry.config.version));
        return *answer ? (*answer)->kind : answer_kind::unknown;
    }

    bool hasLogged(const std::string &text) const
    {
        return entry.log.pending.find(text) != std::string::npos;
    }

    /// Adds a job of the team that is stored.
    void addStoredJob(const std::string &team)
    {
        cell::job_spec spec = makeCall(call_kind::submit, "", 0).spec;
        spec.id = jobId;
        spec.queue = "private";
        spec.team = team;
        cell::scheduler &cell = entry.leaderState->cell;
        cell::acceptJob(cell, spec, *cell::findQueue(entry.config, "private"), steadyNow());
        cell::findJob(cell, jobId)->stored = true;
    }

    boost::asio::io_context loop;
    entry_state entry;
    std::vector<stored_row> rows;
    bool isConfigReadable = true;
    std::vector<store_completion> pendingReads;
    store_completion answerWrite;
    int reads = 0;
};

const std::string jobPath = std::string("/p/") + jobId;

} // namespace

// Guards against calls that get in without a valid key, and against keys in the log.
BOOST_FIXTURE_TEST_CASE(calls_without_a_valid_key_are_rejected_with_a_reason, admission_fixture)
{
    lead();
    const std::string longKey(10'000, 'k');
    struct test_case
    {
        const char *name;
        std::string path;
        net::header_list headers;
        int status;
    };
    const test_case testCases[] = {
        {"valid", "/p/", {{"Authorization", "Token r1"}}, 200},
        {"missing header", "/p/", {}, 401},
        {"another scheme", "/p/", {{"Authorization", "Bearer r1"}}, 401},
        {"unknown key", "/p/", {{"Authorization", "Token secret-key"}}, 401},
        {"header given twice",
         "/p/",
         {{"Authorization", "Token r1"}, {"Authorization", "Token r1"}},
         401},
        {"key of 10 KB", "/p/", {{"Authorization", "Token " + longKey}}, 401},
        {"malformed request without a key", "/p/xyz", {}, 401},
        {"malformed request with a key", "/p/xyz", {{"Authorization", "Token r1"}}, 400},
        {"public queue", "/open/", {}, 200},
        {"public queue, unknown key", "/open/", {{"Authorization", "Token x"}}, 200},
        {"no such queue", "/x/", {}, 404},
        {"no such queue, header given twice",
         "/x/",
         {{"Authorization", "Token r1"}, {"Authorization", "Token r1"}},
         404},
    };
    for (const test_case &testCase : testCases) {
        entry.log.pending.clear();
        const auto response = serve("GET", testCase.path, testCase.headers);
        BOOST_TEST(response->status == testCase.status, testCase.name);
        if (testCase.status == 401) {
            BOOST_TEST(response->body.find("\"error\"") != std::string::npos, testCase.name);
            BOOST_TEST(hasLogged(R"("event":"call_unauthenticated")"), testCase.name);
        }
        BOOST_TEST(!hasLogged("secret-key"), testCase.name);
        BOOST_TEST(!hasLogged("kkkk"), testCase.name);
    }
}

// Guards against a key that works more than the limit after its revocation, at an entry that can
// no longer read the configuration.
BOOST_FIXTURE_TEST_CASE(calls_with_keys_are_refused_once_the_confirmation_has_expired,
                        admission_fixture)
{
    lead();
    entry.confirmation = {};
    confirmFromStore(entry, steadyNow() - 4'800 * millisecond, entry.configRowVersion);
    BOOST_TEST(serve("GET", "/p/", "r1")->status == 200);
    entry.confirmation = {};
    confirmFromStore(entry, steadyNow() - 4'900 * millisecond, entry.configRowVersion);
    const auto response = serve("GET", "/p/", "r1");
    BOOST_TEST(response->status == 503);
    BOOST_TEST(!net::findHeader(response->headers, "Retry-After").empty());
    BOOST_TEST(serve("GET", "/open/", net::header_list {})->status == 200);
    monitorConfirmation(entry, steadyNow());
    BOOST_TEST(hasLogged(R"("event":"config_unconfirmed")"));
    confirmNow();
    BOOST_TEST(serve("GET", "/p/", "r1")->status == 200);
    BOOST_TEST(hasLogged(R"("event":"config_confirmed")"));
    BOOST_TEST(hasLogged(R"("by":"store")"));
    entry.confirmation = {};
    entry.settings.revocationLimit = 0;
    BOOST_TEST(serve("GET", "/p/", "r1")->status == 200); // no limit is set
}

// A read that shows an older row than the one in force is stale and confirms nothing.
BOOST_FIXTURE_TEST_CASE(stale_reads_do_not_confirm, admission_fixture)
{
    applyConfigRow(entry, makeRow(3, R"(["r1"])", privateQueue));
    entry.confirmation = {};
    confirmFromStore(entry, steadyNow(), 2);
    BOOST_TEST(entry.confirmation.confirmedAt == distantPast);
    hearOfVersion(entry, 4, announcedVersionDelay); // another entry has a newer one
    confirmFromStore(entry, steadyNow(), 3);
    BOOST_TEST(entry.confirmation.confirmedAt == distantPast);
    applyConfigRow(entry, makeRow(4, R"(["r1"])", privateQueue));
    confirmFromStore(entry, steadyNow(), 4);
    BOOST_TEST(entry.confirmation.confirmedAt != distantPast);
}

BOOST_FIXTURE_TEST_CASE(a_lower_version_replaces_nothing, admission_fixture)
{
    applyConfigRow(entry, makeRow(5, R"(["r1"])", privateQueue));
    stored_row lower = makeRow(4, R"(["r2"])", privateQueue);
    lower.version = 9; // written later
    applyConfigRow(entry, lower);
    BOOST_TEST(entry.config.version == 5);
    BOOST_TEST(
        (admit(currentKeys(entry), "private", "r2").outcome == admission_outcome::unauthenticated));
}

// Guards against a peer's age that is left out, and against a version that is not passed on.
BOOST_FIXTURE_TEST_CASE(a_peer_is_told_the_age_and_a_newer_row, admission_fixture)
{
    entry.confirmation = {};
    confirmFromStore(entry, steadyNow() - 3 * second, entry.configRowVersion);
    confirm_reply reply = answerConfirmQuery(entry, {"entry-2", 2});
    BOOST_TEST(reply.version == 2);
    BOOST_TEST(reply.age >= 3 * second);
    BOOST_TEST(reply.row.empty());
    reply = *decodeConfirmReply(encodeConfirmReply(answerConfirmQuery(entry, {"entry-2", 1})));
    BOOST_TEST(reply.row == entry.configRow);
    BOOST_TEST(reply.rowVersion == 2);
    entry.confirmation = {};
    BOOST_TEST(answerConfirmQuery(entry, {"entry-2", 2}).age == -1);
    answerConfirmQuery(entry, {"entry-2", 7});
    BOOST_TEST(entry.confirmation.newestVersion == 7);
}

// Guards against a 404 for a queue that only the scheduler does not know yet.
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

// Guards against calls that an entry admits by an older version than the scheduler has.
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

// Guards against a team that sees, ends or repeats the job of another.
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

// Guards against answers from the rows, which every entry can read, to another team.
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

// Guards against a repeated submission of a job that has ended, by a team that it does not belong
// to.
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

// Guards against a 401 for a submission whose earlier attempt may have taken effect.
BOOST_FIXTURE_TEST_CASE(a_call_that_may_have_taken_effect_is_not_rejected, admission_fixture)
{
    const auto submission = serve("POST", jobPath, "r2");
    entry.forwardedCalls.back()->mayHaveTakenEffect = true;
    applyConfigRow(entry, makeRow(3, R"(["r1"])", privateQueue));
    lead(); // this entry becomes the scheduler and checks the call
    expireForwarded(entry, steadyNow());
    BOOST_TEST(submission->status == 504);
}

// Guards against calls that wait at an entry while their key is revoked or their queue is removed.
BOOST_FIXTURE_TEST_CASE(waiting_calls_are_checked_again_when_a_version_arrives, admission_fixture)
{
    const auto revoked = serve("POST", jobPath, "r2");
    const auto kept = serve("POST", jobPath, "r1");
    const auto inFlight = serve("POST", jobPath, "r2");
    entry.forwardedCalls.back()->inFlight = true;
    const auto stateInFlight = serve("GET", jobPath, "r2");
    entry.forwardedCalls.back()->inFlight = true;
    applyConfigRow(entry, makeRow(3, R"(["r1"])", privateQueue));
    BOOST_TEST(revoked->status == 401);
    BOOST_TEST(kept->status == 0);
    BOOST_TEST(entry.forwardedCalls.front()->call.configVersion == 3);
    BOOST_TEST(inFlight->status == 0); // may have taken effect
    BOOST_TEST(stateInFlight->status == 401);
    applyConfigRow(entry, makeRow(4, R"(["r1"])"));
    BOOST_TEST(kept->status == 404);
    BOOST_TEST(inFlight->status == 0);
}

// A configuration without teams is served as before: no key, no field and no message is added.
BOOST_FIXTURE_TEST_CASE(without_teams_nothing_differs, admission_fixture)
{
    entry_state other(loop, makeSettings());
    other.ports = entry.ports;
    const std::string value =
        std::string(R"({"version":1,"routes":[{"name":"open","host":"h","pathPrefix":"/open/",)"
                    R"("service":"s"})")
        + privateQueue + "]}";
    other.members["entry-2"] = "127.0.0.1:1";
    applyConfigRow(other, {"op", "config", value, 1, false});
    confirmFromStore(other, steadyNow() - 3'600 * second, 1);
    net::http_request request;
    request.method = "GET";
    request.target = jobPath;
    request.host = "h";
    serveCaller(other, request, [](const net::http_response &) {});
    BOOST_REQUIRE(other.forwardedCalls.size() == 1U);
    const caller_call &call = other.forwardedCalls.front()->call;
    BOOST_TEST(encodeCall({call, 7})
               == R"({"wait_us":7,"kind":1,"queue":"private","job":"5c0e7a21d94b36f8"})");
    BOOST_TEST(encodeHeartbeat(makeHeartbeat(other)).find("config") == std::string::npos);
    BOOST_TEST(encodeEnded({cell::job_phase::completed, 5, ""}) == R"({"phase":2,"wall":5})");
    monitorConfirmation(other, steadyNow());
    BOOST_TEST(other.metrics.counters["peer_calls_total{side=\"client\"}"] == 0U);
    BOOST_TEST(other.configRow.empty());
}

// The scheduler checks the key again, so the forwarded call carries what it needs.
BOOST_AUTO_TEST_CASE(forwarded_calls_carry_team_key_and_version)
{
    caller_call call;
    call.kind = call_kind::cancel;
    call.team = "red";
    call.key = "r1";
    call.configVersion = 8;
    const auto decoded = decodeCall(encodeCall({call, 7}));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->call.team == "red");
    BOOST_TEST(decoded->call.key == "r1");
    BOOST_TEST(decoded->call.configVersion == 8);
}
