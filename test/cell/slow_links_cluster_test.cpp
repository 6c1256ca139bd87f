#define BOOST_TEST_MODULE slow_links_cluster
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
using bramleygrade::testing::throttled_link;

namespace {

/// Time after which a key that was withdrawn must not be accepted any more.
constexpr microseconds revocationLimit = 5 * second;
/// Time within which a version is in force everywhere.
constexpr microseconds adoptionLimit = 3 * second;
/// 10 Mbit/s, as small instances have.
constexpr std::int64_t slowLinkBytesPerSecond = 1'250'000;
/// Two entries share it: each receives a part of 8 kB every 0.4 s, so that the store never counts
/// as held up.
constexpr std::int64_t trickleBytesPerSecond = 40'000;

/// The table service's interface to the configuration row, over HTTP.
class config_server
{
public:
    config_server(boost::asio::io_context &loop, const std::string &address)
        : m_loop(loop)
        , m_server(loop,
                   [this](const net::http_request &request,
                          const net::http_server::responder &respond) { serve(request, respond); })
    {
        BOOST_REQUIRE_EQUAL(m_server.listen(address), "");
    }

    void publish(const std::string &value)
    {
        ++m_version;
        m_row = R"({"table":"op","part":"","key":"config","value":")" + absl::Base64Escape(value)
            + R"(","ver":)" + std::to_string(m_version) + "}";
        auto waiting = std::exchange(m_waiting, {});
        for (const auto &poll : waiting) {
            answer(*poll, m_row);
        }
    }

    std::size_t rowBytes() const { return m_row.size(); }

private:
    struct waiting_poll
    {
        net::http_server::responder respond;
        boost::asio::steady_timer endsAt;
        bool isAnswered = false;
    };

    static std::int64_t parameter(const std::string &target, const std::string &name)
    {
        const std::size_t at = target.find(name + "=");
        return at == std::string::npos ? 0 : std::stoll(target.substr(at + name.size() + 1));
    }

    void answer(waiting_poll &poll, const std::string &row)
    {
        if (!std::exchange(poll.isAnswered, true)) {
            poll.respond({200,
                          {},
                          R"({"rows":[)" + row + R"(],"ver":)" + std::to_string(m_version)
                              + R"(,"hasMore":false})"});
        }
    }

    void serve(const net::http_request &request, const net::http_server::responder &respond)
    {
        const auto poll = std::make_shared<waiting_poll>(
            waiting_poll {respond, boost::asio::steady_timer(m_loop)});
        const bool isRead = request.target.rfind("/rows-get", 0) == 0;
        if (isRead || parameter(request.target, "after") < m_version) {
            answer(*poll, m_row);
            return;
        }
        m_waiting.push_back(poll);
        poll->endsAt.expires_after(std::chrono::milliseconds(parameter(request.target, "waitMs")));
        poll->endsAt.async_wait([this, poll](boost::system::error_code) {
            m_waiting.remove(poll);
            answer(*poll, "");
        });
    }

    boost::asio::io_context &m_loop;
    net::http_server m_server;
    std::int64_t m_version = 100;
    std::string m_row;
    std::list<std::shared_ptr<waiting_poll>> m_waiting;
};

/// Returns a configuration with one team and this many queues that get no jobs.
std::string configurationOf(int version, int idleQueues)
{
    std::string text = R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"q","host":"127.0.0.1","pathPrefix":"/p/","service":"s"})";
    for (int index = 0; index < idleQueues; ++index) {
        const std::string name = std::to_string(100'000 + index);
        text.append(R"(,{"name":"r-idle-)").append(name);
        text.append(R"(","host":"idle.example","pathPrefix":"/)").append(name);
        text +=
            R"(/","service":"s","priority":2,"maxAttempts":3,"slackFactor":1.5,)"
            R"("targetLatencyMs":2500,"timeoutMs":30000,"retryBudget":0.1,"maxBodyBytes":65536})";
    }
    return text + R"(],"tenants":[{"name":"red","apiKeys":["r1"]}]})";
}

/// Makes the entry read the configuration over HTTP, and all other tables from memory.
void readConfigurationOverHttp(entry_state &entry, const std::string &storeAddress)
{
    entry.settings.revocationLimit = revocationLimit;
    entry.settings.storeAddress = storeAddress;
    entry.ports.codec.decode = platform::decodeCallerRequest;
    entry.ports.codec.encode = platform::encodeCallerAnswer;
    entry.ports.codec.decodeConfig = platform::decodeConfiguration;
    entry.ports.codec.configTable = "op";
    entry.ports.codec.configKey = "config";
    const store_port rows = entry.ports.store;
    const store_port http = platform::createStorePort(entry.settings, entry.client);
    entry.ports.store.read = [rows, http](const row_range &range, const read_limits &limits,
                                          const store_completion &done) {
        (range.table == "op" ? http : rows).read(range, limits, done);
    };
    entry.ports.store.watch = [rows, http](const std::string &name, std::int64_t after,
                                           microseconds wait, const read_limits &limits,
                                           const store_completion &done) {
        (name == "op" ? http : rows).watch(name, after, wait, limits, done);
    };
}

/// Three entries with keys. All that the last one receives from the store and from the others
/// passes one slow link.
struct slow_link_cluster : cluster_fixture
{
    slow_link_cluster()
        : cluster_fixture(0)
        , link(clientLoop, slowLinkBytesPerSecond)
        , storeAddress(nextAddress())
        , store(clientLoop, storeAddress)
    {
        publish(2, 0);
        // Entries with more of a processor are preferred as the scheduler.
        add("entry-1", 500);
        add("entry-2", 500);
        add("entry-3", 120);
        const std::string storeOverLink = nextAddress();
        link.forward(storeOverLink, storeAddress, limited_side::to_client);
        for (const auto &member : members) {
            entry_state &entry = *member->entry;
            const bool isSlow = member == members.back();
            readConfigurationOverHttp(entry, isSlow ? storeOverLink : storeAddress);
            advertiseOverLink(entry, isSlow ? limited_side::to_target : limited_side::to_client);
        }
        BOOST_REQUIRE_EQUAL(startError, "");
        BOOST_REQUIRE(runUntil([this] {
            return hasAgreedLeader() && leader() != members.back().get() && isInForce(2);
        }));
        runFor(second); // until all entries know each other
    }

    entry_state &slowEntry() { return *members.back()->entry; }

    void publish(int version, int idleQueues)
    {
        store.publish(configurationOf(version, idleQueues));
    }

    bool isInForce(std::int64_t version)
    {
        return std::all_of(members.begin(), members.end(), [&](const auto &member) {
            return member->entry->config.version >= version;
        });
    }

    /// Asks for the queue's waiting jobs with a valid key; writes the status of the answer.
    void callWithKey(const cluster_member &to, int &status)
    {
        net::http_call request;
        request.address = to.entry->settings.callerAddress;
        request.target = "/p/";
        request.headers = {{"Authorization", "Token r1"}};
        request.deadline = steadyNow() + 3 * second;
        client.send(std::move(request),
                    [&status](const net::call_result &result) { status = result.status; });
    }

    throttled_link link;
    std::string storeAddress;
    config_server store;

private:
    /// Makes the other entries reach this one over the link.
    void advertiseOverLink(entry_state &entry, limited_side side)
    {
        const std::string advertised = nextAddress();
        link.forward(advertised, entry.settings.peerAddress, side);
        entry.settings.peerAddress = advertised;
        entry.members[entry.settings.name] = advertised;
    }
};

/// Entries with keys, with fast links to each other.
struct separated_cluster : cluster_fixture
{
    explicit separated_cluster(int entries)
        : cluster_fixture(0)
        , storeAddress(nextAddress())
        , otherAddress(nextAddress())
        , store(clientLoop, storeAddress)
    {
        store.publish(configurationOf(2, 0));
        for (int index = 0; index < entries; ++index) {
            add("entry-" + std::to_string(index + 1), index == 0 ? 500 : 250);
            readConfigurationOverHttp(*members.back()->entry, storeAddress);
        }
        BOOST_REQUIRE_EQUAL(startError, "");
        BOOST_REQUIRE(
            runUntil([this] { return hasAgreedLeader() && countInForce(2) == members.size(); }));
        runFor(2 * second); // until all entries know each other
        // The scheduler alone keeps its way to the store.
        const cluster_member *lead = leader();
        for (const auto &member : members) {
            if (member.get() != lead) {
                member->entry->settings.storeAddress = otherAddress;
            }
        }
        runFor(second); // until the polls on the former way have ended
    }

    std::size_t countInForce(std::int64_t version)
    {
        return static_cast<std::size_t>(
            std::count_if(members.begin(), members.end(), [&](const auto &member) {
                return member->entry->config.version >= version;
            }));
    }

    /// Publishes version 3 and runs until it is in force everywhere, or the keys of an entry that
    /// is still behind have expired. Returns whether it is in force everywhere.
    bool isAdoptedInTime(int idleQueues)
    {
        store.publish(configurationOf(3, idleQueues));
        const timestamp publishedAt = steadyNow();
        runUntil([&] {
            return countInForce(3) == members.size() || steadyNow() > publishedAt + revocationLimit;
        });
        BOOST_TEST_MESSAGE("in force at "
                           << countInForce(3) << " of " << members.size()
                           << " after ms: " << (steadyNow() - publishedAt) / millisecond);
        return countInForce(3) == members.size();
    }

    std::string storeAddress;
    /// Where the other entries look for the store. Nothing listens there.
    std::string otherAddress;
    config_server store;
    throttled_link link {clientLoop, trickleBytesPerSecond};
};

struct large_configuration
{
    const char *name;
    int idleQueues;
    /// Time before the version is published, which changes how long the entry's long poll has been
    /// open by then.
    microseconds pause;
};

const large_configuration largeConfigurations[] = {
    {"the first size at which most entries fell behind", 2'800, 0},
    {"the largest size of that day", 4'200, 0},
    // Of 0 to 1,250 ms in steps of 250, those at which reads that end at their deadline fail.
    {"the largest size of that day, a quarter of a second later", 4'200, 250 * millisecond},
    {"the largest size of that day, a second later", 4'200, 1 * second},
};

} // namespace

// Guards against entries that never get a configuration which their link carries in a second: each
// read was given up after 0.8 s and began again, beside two copies from peers each second and
// heartbeats that named every queue. Such entries refused all calls with keys.
BOOST_AUTO_TEST_CASE(lost_entries_that_never_complete_a_large_configuration)
{
    for (const auto &[name, idleQueues, pause] : largeConfigurations) {
        BOOST_TEST_CONTEXT(name)
        {
            slow_link_cluster cluster;
            cluster.runFor(pause);
            cluster.publish(3, idleQueues);
            const timestamp publishedAt = steadyNow();
            const std::int64_t carriedBefore = cluster.link.carriedBytes();
            BOOST_TEST(cluster.runUntil([&] {
                return cluster.slowEntry().config.version == 3
                    || steadyNow() > publishedAt + adoptionLimit;
            }));
            BOOST_TEST_MESSAGE("adopted after ms: " << (steadyNow() - publishedAt) / millisecond);
            BOOST_TEST(cluster.slowEntry().config.version == 3);
            const std::int64_t carried = cluster.link.carriedBytes() - carriedBefore;
            BOOST_TEST_MESSAGE("row bytes: " << cluster.store.rowBytes()
                                             << ", carried: " << carried);
            // From the store, and from a peer if the store is slow.
            BOOST_TEST(carried <= 2 * static_cast<std::int64_t>(cluster.store.rowBytes()));
        }
    }
}

// Guards against the answers that callers saw: 503 until the end, for every call with a key.
BOOST_AUTO_TEST_CASE(lost_answers_of_entries_behind_a_large_configuration)
{
    slow_link_cluster cluster;
    const timestamp beganAt = steadyNow();
    std::list<int> statuses;
    int version = 2;
    // Two versions in succession, as when an operator adds queues and changes them again.
    for (const microseconds at : {0 * second, 2 * second + 400 * millisecond}) {
        while (steadyNow() < beganAt + at) {
            cluster.runFor(50 * millisecond);
            cluster.callWithKey(*cluster.members.back(), statuses.emplace_back(-1));
        }
        cluster.publish(++version, 2'800);
    }
    while (steadyNow() < beganAt + 2 * revocationLimit) {
        cluster.runFor(50 * millisecond);
        cluster.callWithKey(*cluster.members.back(), statuses.emplace_back(-1));
    }
    cluster.runUntil([&] { return std::count(statuses.begin(), statuses.end(), -1) == 0; });
    BOOST_TEST(cluster.slowEntry().config.version == version);
    BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200)
               == static_cast<std::ptrdiff_t>(statuses.size()));
}

// Guards against heartbeats that grow with the queues of the configuration, also with those that
// have no jobs: 57 kB each with 4,200 queues, 380 kB a second to every entry.
BOOST_AUTO_TEST_CASE(lost_links_filled_by_heartbeats_that_name_idle_queues)
{
    slow_link_cluster cluster;
    // Most heartbeats carry no numbers of pending jobs; those that are compared here do.
    const auto measure = [&cluster] {
        entry_state &entry = *cluster.leader()->entry;
        entry.leaderState->nextPendingAt = distantPast;
        const heartbeat_message heartbeat = makeHeartbeat(entry);
        BOOST_TEST(heartbeat.pendingVersion == entry.config.version);
        return encodeHeartbeat(heartbeat).size();
    };
    const std::size_t before = measure();
    cluster.publish(3, 4'200);
    BOOST_REQUIRE(cluster.runUntil([&] { return cluster.leader()->entry->config.version == 3; }));
    const std::size_t after = measure();
    BOOST_TEST(after <= before + 100); // the member list is in some heartbeats only
}

// Guards against a configuration that spreads among the entries one row after the other: the
// scheduler's answer comes first at each of them, its budget allows one row a second, and who gets
// none waits a second instead of asking the other peer that has the row.
BOOST_AUTO_TEST_CASE(lost_entries_that_get_a_large_configuration_only_from_peers)
{
    separated_cluster cluster(24);
    BOOST_TEST(cluster.isAdoptedInTime(2'800));
}

// Guards against an entry that asks no peer because the store sends a little now and then.
BOOST_AUTO_TEST_CASE(lost_entries_that_wait_for_a_store_that_trickles)
{
    separated_cluster cluster(3);
    cluster.link.forward(cluster.otherAddress, cluster.storeAddress, limited_side::to_client);
    cluster.runFor(second);
    BOOST_TEST(cluster.isAdoptedInTime(2'800));
}
