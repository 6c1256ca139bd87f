#define BOOST_TEST_MODULE forwarding
#include <boost/test/unit_test.hpp>

#include <list>
#include <set>

#include "cluster_fixture.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;

namespace {

/// An entry that forwards its callers' calls to a scheduler played by the test, which receives the
/// calls on `schedulerServer` and answers each with the state `completed`.
struct forwarding_fixture
{
    forwarding_fixture()
        : entry(loop, makeSettings())
        , schedulerServer(
              loop,
              [this](const net::http_request &request, const net::http_server::responder &respond) {
                  serve(request, respond);
              },
              {64U << 10U, 8U << 10U, 60 * second})
    {
        entry.ports.store = table.makePort(entry.settings.name, loop);
        entry.ports.codec.decode = [](const net::http_request &request, const cell::cell_config &) {
            return testing::decodeTestRequest(request);
        };
        entry.ports.codec.encode = [this](const caller_answer &answer) {
            phase = answer.phase;
            return testing::encodeStatus(answer);
        };
        entry.scheduler = {"scheduler", schedulerAddress()};
        BOOST_REQUIRE_EQUAL(schedulerServer.listen(entry.scheduler.address), "");
    }

    static cell_settings makeSettings()
    {
        cell_settings settings;
        settings.name = "entry-1";
        settings.logLinesPerSecond = 0;
        return settings;
    }

    /// Returns an unused address. Concurrent test processes use different port ranges.
    static std::string schedulerAddress()
    {
        constexpr int firstPort = 22'000;
        constexpr int portsPerProcess = 8;
        constexpr int processes = 1'000;
        static int used = 0;
        return "127.0.0.1:"
            + std::to_string(firstPort + (getpid() % processes) * portsPerProcess + used++);
    }

    void serve(const net::http_request &request, const net::http_server::responder &respond)
    {
        ++received;
        if (isSilent || silentPeers.count(request.peer) > 0) {
            return;
        }
        peers.insert(request.peer);
        caller_answer answer;
        answer.kind = answer_kind::state;
        answer.phase = cell::job_phase::completed;
        respond({200, {}, encodeAnswer(answer)});
    }

    /// Makes the entry the scheduler, or lets it load the rows to become it.
    void lead(entry_role role)
    {
        entry.leaderState = std::make_unique<leader_state>();
        entry.role = role;
    }

    void putEndedRow(const char *inTable)
    {
        const std::string value = encodeEnded({cell::job_phase::completed, 0});
        table.rows[{inTable, "a"}] = {inTable, "a", value, ++table.version, false};
    }

    void putJobRow()
    {
        cell::job_state job;
        job.spec.steps.emplace_back();
        table.rows[{jobTable, "a"}] = {jobTable, "a", encodeJob(job, 0), ++table.version, false};
    }

    void putProgressRow(bool begun)
    {
        cell::job_state job;
        job.spec.steps.emplace_back();
        cell::ensureOccurrence(job, 0);
        job.begun = begun;
        table.rows[{progressTable, "a"}] = {progressTable, "a", encodeProgress(job).rows.front(),
                                            ++table.version, false};
    }

    /// Serves a caller's request; writes the status of the answer to `status` on arrival.
    void call(const char *method, int &status)
    {
        net::http_request request;
        request.method = method;
        request.target = "/a";
        serveCaller(entry, request,
                    [&status](const net::http_response &response) { status = response.status; });
    }

    /// Serves calls that are in progress at the same time and returns the answers.
    std::list<int> callAndWait(const char *method, int count = 1)
    {
        std::list<int> statuses(static_cast<std::size_t>(count), -1);
        entry.schedulerSeenAt = isSchedulerKnown ? steadyNow() : distantPast;
        for (int &status : statuses) {
            call(method, status);
        }
        while (std::count(statuses.begin(), statuses.end(), -1) > 0) {
            loop.restart();
            loop.run_for(std::chrono::milliseconds(10));
            entry.schedulerSeenAt = isSchedulerKnown ? steadyNow() : distantPast;
            expireForwarded(entry, steadyNow());
        }
        return statuses;
    }

    boost::asio::io_context loop;
    testing::memory_table table;
    entry_state entry;
    net::http_server schedulerServer;
    /// Number of requests that the scheduler has received.
    int received = 0;
    /// Phase in the newest answer to a caller.
    cell::job_phase phase = cell::job_phase::queued;
    /// Remote addresses of the connections on which the scheduler has answered.
    std::set<std::string> peers;
    /// Remote addresses of the connections on which the scheduler no longer answers.
    std::set<std::string> silentPeers;
    bool isSilent = false;
    bool isSchedulerKnown = true;
};

using statuses = std::list<int>;

} // namespace

// Guards against calls that wait until the caller's deadline on a connection that delivers nothing
// any more, although the scheduler answers on new connections.
BOOST_FIXTURE_TEST_CASE(lost_answer_on_a_silent_connection, forwarding_fixture)
{
    constexpr int burst = 4;
    BOOST_TEST(callAndWait("GET", burst) == statuses(burst, 200));
    silentPeers = peers;
    BOOST_REQUIRE(silentPeers.size() == std::size_t {burst});
    received = 0;
    BOOST_TEST(callAndWait("GET") == statuses {200});
    BOOST_TEST(received <= 2);
    BOOST_TEST(callAndWait("GET", burst) == statuses(burst, 200));
}

// Guards against state calls that get no answer, or a refusal, while no scheduler answers, although
// the rows show that the job was accepted.
BOOST_FIXTURE_TEST_CASE(lost_answer_while_no_scheduler_answers, forwarding_fixture)
{
    isSilent = true;
    for (const bool known : {true, false}) {
        isSchedulerKnown = known;
        table.rows.clear();
        putEndedRow(endedTable);
        BOOST_TEST(callAndWait("GET") == statuses {200});
        BOOST_TEST((phase == cell::job_phase::completed));
        table.rows.clear();
        putEndedRow(jobTable); // ended in place
        BOOST_TEST(callAndWait("GET") == statuses {200});
        BOOST_TEST((phase == cell::job_phase::completed));
        table.rows.clear();
        putJobRow();
        BOOST_TEST(callAndWait("GET") == statuses {200});
        BOOST_TEST((phase == cell::job_phase::queued));
        putProgressRow(false); // its start was ordered
        BOOST_TEST(callAndWait("GET") == statuses {200});
        BOOST_TEST((phase == cell::job_phase::queued));
        putProgressRow(true);
        BOOST_TEST(callAndWait("GET") == statuses {200});
        BOOST_TEST((phase == cell::job_phase::running));
    }
}

BOOST_FIXTURE_TEST_CASE(lost_answer_while_the_rows_are_loaded, forwarding_fixture)
{
    lead(entry_role::loading);
    putEndedRow(endedTable);
    BOOST_TEST(callAndWait("GET") == statuses {200});
}

// Guards against a scheduler that was replaced while it was paused and does not know the jobs that
// its successor has accepted.
BOOST_FIXTURE_TEST_CASE(lost_job_accepted_by_a_successor, forwarding_fixture)
{
    lead(entry_role::scheduler);
    putJobRow();
    BOOST_TEST(callAndWait("GET") == statuses {200});
    BOOST_TEST((phase == cell::job_phase::queued));
    caller_call cancellation;
    cancellation.kind = call_kind::cancel;
    cancellation.job = "a";
    caller_answer answer;
    answer.kind = answer_kind::bad_request;
    handleCall(entry, cancellation, distantFuture,
               [&answer](const caller_answer &given) { answer = given; });
    loop.restart();
    loop.run_for(std::chrono::milliseconds(10));
    BOOST_TEST((answer.kind == answer_kind::unknown));
}

BOOST_FIXTURE_TEST_CASE(a_job_that_ends_between_the_reads_of_a_lookup_is_found, forwarding_fixture)
{
    lead(entry_role::scheduler);
    putJobRow();
    int reads = 0;
    entry.ports.store.read = [this, &reads, read = entry.ports.store.read](
                                 const row_range &range, const read_limits &limits,
                                 const store_completion &done) {
        if (++reads == 2) {
            table.rows.clear();
            putEndedRow(endedTable);
        }
        read(range, limits, done);
    };
    BOOST_TEST(callAndWait("GET") == statuses {200});
    BOOST_TEST((phase == cell::job_phase::completed));
}

BOOST_FIXTURE_TEST_CASE(only_the_scheduler_says_that_there_is_no_such_job, forwarding_fixture)
{
    isSilent = true;
    BOOST_TEST(callAndWait("GET") == statuses {504});
    lead(entry_role::scheduler);
    BOOST_TEST(callAndWait("GET") == statuses {410});
}

BOOST_FIXTURE_TEST_CASE(a_call_that_changes_a_job_is_sent_once, forwarding_fixture)
{
    isSilent = true;
    BOOST_TEST(callAndWait("POST") == statuses {504});
    BOOST_TEST(received == 1);
}
