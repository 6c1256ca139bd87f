#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>

#include "admission_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;
using namespace bramleygrade::testing;

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

// Guards against an answer that waited in the socket of a frozen process and confirms what was
// true only when the poll or read began.
BOOST_FIXTURE_TEST_CASE(reads_and_polls_confirm_as_of_their_beginning, admission_fixture)
{
    store_completion answerWatch;
    microseconds duration = 0;
    entry.ports.store.watch = [&](const std::string &, std::int64_t, microseconds wait,
                                  const read_limits &, const store_completion &done) {
        answerWatch = done;
        duration = wait;
    };
    entry.confirmation = {};
    isConfigReadable = false;
    watchConfig(entry); // reads first
    const timestamp readBeganBy = steadyNow();
    const auto wait = [this] { loop.run_for(std::chrono::milliseconds(20)); };
    store_result result;
    result.outcome = store_outcome::done;
    result.version = 2;
    result.rows = {makeRow(2, R"(["r1","r2"])", privateQueue)};
    wait();
    pendingReads.back()(result);
    BOOST_TEST(entry.confirmation.confirmedAt <= readBeganBy);
    BOOST_REQUIRE(answerWatch);
    BOOST_TEST(duration == 750 * millisecond);
    const timestamp pollBeganBy = steadyNow();
    const timestamp confirmedByRead = entry.confirmation.confirmedAt;
    result.rows.clear(); // unchanged
    loop.restart();
    wait();
    std::exchange(answerWatch, {})(result);
    BOOST_TEST(entry.confirmation.confirmedAt > confirmedByRead);
    BOOST_TEST(entry.confirmation.confirmedAt <= pollBeganBy);
    // A page that others follow may lack the configuration row.
    const timestamp confirmedByPoll = entry.confirmation.confirmedAt;
    result.hasMore = true;
    std::exchange(answerWatch, {})(result);
    BOOST_TEST(entry.confirmation.confirmedAt == confirmedByPoll);
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
    reply =
        *decodeConfirmReply(encodeConfirmReply(answerConfirmQuery(entry, {"entry-2", 1, true})));
    BOOST_TEST(reply.row == entry.configRow);
    BOOST_TEST(reply.rowVersion == 2);
    entry.confirmation = {};
    BOOST_TEST(answerConfirmQuery(entry, {"entry-2", 2}).age == -1);
    answerConfirmQuery(entry, {"entry-2", 7});
    BOOST_TEST(entry.confirmation.newestVersion == 7);
}

// Guards against a link that is filled by rows: a question each second brought two of them, which
// were given up half way, and the next question brought them again.
BOOST_FIXTURE_TEST_CASE(lost_links_filled_by_rows_that_were_not_wanted, admission_fixture)
{
    const confirm_reply reply = answerConfirmQuery(entry, {"entry-2", 1, false});
    BOOST_TEST(reply.version == 2);
    BOOST_TEST(reply.row.empty());
    // An entry of an earlier release does not say whether it wants the row.
    BOOST_TEST(decodeConfirmQuery(R"({"sender":"entry-2","version":1})")->wantsRow);
    BOOST_TEST(!decodeConfirmQuery(encodeConfirmQuery({"entry-2", 1, false}))->wantsRow);
}

// Guards against an entry that sends its row to all others at once.
BOOST_AUTO_TEST_CASE(rows_are_served_to_few_entries_at_a_time)
{
    const config_transfers transfers;
    std::vector<std::shared_ptr<void>> rows;
    for (int row = 0; row < 4; ++row) {
        rows.push_back(serveRow(transfers));
        BOOST_TEST((rows.back() != nullptr));
    }
    BOOST_TEST((serveRow(transfers) == nullptr));
    rows.pop_back(); // one has arrived
    BOOST_TEST((serveRow(transfers) != nullptr));
}

// Guards against an entry that waits for its next question after one peer has not sent the row, and
// against entries that all read it from the scheduler.
BOOST_AUTO_TEST_CASE(the_scheduler_is_the_last_source_of_a_row)
{
    config_transfers transfers;
    transfers.sources = {"entry-1", "entry-2", "entry-3"};
    BOOST_TEST(takeSource(transfers, "entry-1") == "entry-2");
    BOOST_TEST(takeSource(transfers, "entry-1") == "entry-3");
    BOOST_TEST(takeSource(transfers, "entry-1") == "entry-1");
    BOOST_TEST(takeSource(transfers, "entry-1").empty());
}

namespace {

/// What has arrived of the store's answer since `beganAt` = 1 s.
struct store_progress
{
    const char *name;
    std::size_t bytes;
    timestamp partAt;
    timestamp now;
    bool isDelivering;
};

const store_progress storeProgress[] = {
    {"the first part", 500, second, second + 599 * millisecond, true},
    {"nothing after the first part", 500, second, second + 600 * millisecond, false},
    {"a slow link", 1'000'000, 9 * second, 9 * second + 500 * millisecond, true},
    {"a link that is held up", 1'000'000, 3 * second, 3 * second + 600 * millisecond, false},
    {"a trickle", 60'000, 4 * second, 4 * second, false},
};

} // namespace

// Guards against a second copy from a peer that delays the copy from the store, and against an
// entry that waits for a store that has stopped sending, or sends hardly anything.
BOOST_AUTO_TEST_CASE(the_store_counts_as_delivering_while_parts_arrive)
{
    BOOST_TEST(!isStoreDelivering(config_transfers {}, second));
    for (const store_progress &progress : storeProgress) {
        config_transfers transfers;
        noteStorePart(transfers, 500, second);
        noteStorePart(transfers, progress.bytes, progress.partAt);
        BOOST_TEST(isStoreDelivering(transfers, progress.now) == progress.isDelivering,
                   progress.name);
        endStoreTransfer(transfers);
        BOOST_TEST(!isStoreDelivering(transfers, progress.now), progress.name);
    }
}

// Guards against a 404 for a queue that only the scheduler does not know yet.
// Guards against calls that an entry admits by an older version than the scheduler has.
// Guards against a team that sees, ends or repeats the job of another.
// Guards against answers from the rows, which every entry can read, to another team.
// Guards against a repeated submission of a job that has ended, by a team that it does not belong
// to.
// Guards against a 401 or 404 for a submission whose earlier attempt may have taken effect.
BOOST_AUTO_TEST_CASE(a_call_that_may_have_taken_effect_is_not_rejected)
{
    for (const char *queues : {privateQueue, ""}) {
        admission_fixture fixture;
        entry_state &entry = fixture.entry;
        const auto submission = fixture.serve("POST", jobPath, "r2");
        entry.forwardedCalls.back()->mayHaveTakenEffect = true;
        applyConfigRow(entry, makeRow(3, R"(["r1"])", queues));
        BOOST_TEST(submission->status == 0);
        fixture.lead(); // this entry becomes the scheduler and checks the call
        expireForwarded(entry, steadyNow());
        BOOST_TEST(submission->status == 504);
    }
}

// Guards against a state call that goes on with a revoked key because it was sent before.
BOOST_FIXTURE_TEST_CASE(a_call_that_changes_nothing_is_rejected_at_any_time, admission_fixture)
{
    const auto state = serve("GET", jobPath, "r2");
    entry.forwardedCalls.back()->mayHaveTakenEffect = true;
    applyConfigRow(entry, makeRow(3, R"(["r1"])", privateQueue));
    BOOST_TEST(state->status == 401);
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
