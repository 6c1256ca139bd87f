#define BOOST_TEST_MODULE slow_takeover_cluster
#include <boost/test/unit_test.hpp>

#include <list>

#include <absl/strings/escaping.h>

#include "cluster_fixture.h"
#include "platform/platform.h"
#include "testing/cell/throttled_link.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;
using bramleygrade::testing::cluster_fixture;
using bramleygrade::testing::cluster_member;
using bramleygrade::testing::limited_side;
using bramleygrade::testing::memory_table;
using bramleygrade::testing::throttled_link;

namespace {

/// 10 Mbit/s, the smallest link that deployments have.
constexpr std::int64_t slowLinkBytesPerSecond = 1'250'000;
/// The table service answers a read with at most this many bytes of values, and says that there is
/// more.
constexpr std::size_t maxPageBytes = 1'000'000;
/// Time within which 3 MB of rows, 4 MB in base64, are read over the link, and a successor is
/// found.
constexpr microseconds takeoverLimit = 8 * second;

/// The table service's interface to read rows, over HTTP.
class row_server
{
public:
    row_server(boost::asio::io_context &loop, const std::string &address, const memory_table &rows)
        : m_table(rows)
        , m_server(loop,
                   [this](const net::http_request &request,
                          const net::http_server::responder &respond) { serve(request, respond); })
    {
        BOOST_REQUIRE_EQUAL(m_server.listen(address), "");
    }

private:
    static std::string parameter(const std::string &target, const std::string &name)
    {
        std::size_t at = target.find("?" + name + "=");
        at = at == std::string::npos ? target.find("&" + name + "=") : at;
        if (at == std::string::npos) {
            return "";
        }
        at += name.size() + 2;
        const std::string value = target.substr(at, target.find('&', at) - at);
        std::string decoded;
        for (std::size_t index = 0; index < value.size(); ++index) {
            if (value[index] == '%') {
                decoded += static_cast<char>(std::stoi(value.substr(index + 1, 2), nullptr, 16));
                index += 2;
            } else {
                decoded += value[index];
            }
        }
        return decoded;
    }

    void serve(const net::http_request &request, const net::http_server::responder &respond) const
    {
        const std::string table = parameter(request.target, "table");
        const std::string from = parameter(request.target, "from");
        const std::string until = parameter(request.target, "target");
        const std::size_t limit = std::stoul(parameter(request.target, "limit"));
        std::string rows;
        std::size_t count = 0;
        std::size_t bytes = 0;
        bool hasMore = false;
        for (const auto &[name, row] : m_table.rows) {
            if (row.table != table || row.key < from || (!until.empty() && row.key >= until)) {
                continue;
            }
            if (count == limit || (count > 0 && bytes + row.value.size() > maxPageBytes)) {
                hasMore = true;
                break;
            }
            rows += (count == 0 ? R"({"table":")" : R"(,{"table":")") + table
                + R"(","part":"cell","key":")" + row.key + R"(","value":")"
                + absl::Base64Escape(row.value) + R"(","ver":)" + std::to_string(row.version) + "}";
            ++count;
            bytes += row.value.size();
        }
        respond({200,
                 {},
                 R"({"rows":[)" + rows + R"(],"ver":)" + std::to_string(m_table.version)
                     + R"(,"hasMore":)" + (hasMore ? "true}" : "false}")});
    }

    const memory_table &m_table;
    net::http_server m_server;
};

/// Three entries, each of which reads the rows over its own slow link.
struct slow_takeover_cluster : cluster_fixture
{
    slow_takeover_cluster()
        : cluster_fixture(3)
        , storeAddress(nextAddress())
        , store(clientLoop, storeAddress, table)
    {
        for (const auto &member : members) {
            entry_state &entry = *member->entry;
            links.emplace_back(clientLoop, slowLinkBytesPerSecond);
            entry.settings.storeAddress = nextAddress();
            links.back().forward(entry.settings.storeAddress, storeAddress,
                                 limited_side::to_client);
            entry.ports.store.read = platform::createStorePort(entry.settings, entry.client).read;
        }
        BOOST_REQUIRE_EQUAL(startError, "");
        BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader(); }));
        runFor(second); // until all entries know each other
    }

    /// Stores jobs that another scheduler has accepted.
    void storeJobs(int jobs, std::size_t payloadBytes)
    {
        for (int index = 0; index < jobs; ++index) {
            cell::job_state job;
            job.spec.queue = "queue";
            job.spec.payload.assign(payloadBytes, 'x');
            cell::step_spec step;
            step.demand = {1'000, 100, 0};
            step.estimate = second;
            job.spec.steps.push_back(step);
            const std::string id = "job-" + std::to_string(100'000 + index);
            table.rows[{jobTable, id}] = {jobTable, id, encodeJob(job, wallNow()), ++table.version,
                                          false};
        }
    }

    std::int64_t countTakeovers()
    {
        std::int64_t takeovers = 0;
        for (const auto &member : members) {
            takeovers +=
                static_cast<std::int64_t>(member->entry->metrics.counters["takeovers_total"]);
        }
        return takeovers;
    }

    std::list<throttled_link> links;
    std::string storeAddress;
    row_server store;
};

struct stored_jobs
{
    const char *name;
    int jobs;
    std::size_t payloadBytes;
};

const stored_jobs storedJobs[] = {
    {"many jobs with small bodies", 3'000, 800},
    {"some jobs with bodies of the usual limit", 46, 65'536},
};

} // namespace

// Guards against entries that pass the leadership on, one to the next, while each of them is
// loading: a successor on a link of the same speed begins again with the first row.
BOOST_AUTO_TEST_CASE(lost_leadership_of_entries_that_load_many_rows_over_slow_links)
{
    for (const auto &[name, jobs, payloadBytes] : storedJobs) {
        BOOST_TEST_CONTEXT(name)
        {
            slow_takeover_cluster cluster;
            cluster.storeJobs(jobs, payloadBytes);
            const std::int64_t takeoversBefore = cluster.countTakeovers();
            cluster.leader()->frozen = true;
            const timestamp frozenAt = steadyNow();
            cluster.runUntil([&] {
                return cluster.leader() != nullptr || steadyNow() > frozenAt + takeoverLimit;
            });
            BOOST_TEST_MESSAGE("after ms: " << (steadyNow() - frozenAt) / millisecond
                                            << ", takeovers: "
                                            << cluster.countTakeovers() - takeoversBefore);
            const cluster_member *successor = cluster.leader();
            BOOST_TEST(successor != nullptr);
            BOOST_TEST((successor == nullptr ? 0 : successor->entry->leaderState->cell.jobs.size())
                       == static_cast<std::size_t>(jobs));
            BOOST_TEST(cluster.countTakeovers() - takeoversBefore == 1);
        }
    }
}
