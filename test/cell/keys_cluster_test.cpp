#define BOOST_TEST_MODULE keys_cluster
#include <boost/test/unit_test.hpp>

#include <list>
#include <set>

#include "cluster_fixture.h"
#include "config_store.h"
#include "platform/platform.h"

using namespace bramleygrade;
using namespace bramleygrade::entry;
using bramleygrade::testing::cluster_fixture;
using bramleygrade::testing::cluster_member;
using bramleygrade::testing::config_store;
using bramleygrade::testing::store_fault;

namespace {

constexpr microseconds limit = 5 * second;
/// Time within which a version is in force everywhere.
constexpr microseconds adoptionLimit = 3 * second;

struct recorded_call
{
    std::string entry;
    std::string path;
    std::string key;
    timestamp sentAt = 0;
    timestamp answeredAt = 0;
    int status = -1;
};

/// Entries of a cell with keys, whose configuration the test publishes.
struct keyed_cluster : cluster_fixture
{
    explicit keyed_cluster(int entries)
        : cluster_fixture(entries)
    {
        publish(2, R"(["r1","r2"])");
        for (const auto &member : members) {
            entry_state &entry = *member->entry;
            entry.settings.revocationLimit = limit;
            entry.ports.codec.decode = platform::decodeCallerRequest;
            entry.ports.codec.encode = platform::encodeCallerAnswer;
            entry.ports.codec.decodeConfig = platform::decodeConfiguration;
            entry.ports.codec.configTable = "op";
            entry.ports.codec.configKey = "config";
            entry.ports.store =
                store.wrapPort(entry.settings.name, member->loop, entry.ports.store);
        }
        BOOST_REQUIRE_EQUAL(startError, "");
        BOOST_REQUIRE(runUntil([this] { return hasAgreedLeader() && isInForce(2); }));
        runFor(second); // until all entries know each other
    }

    void publish(int version, const std::string &redKeys, const std::string &more = "")
    {
        store.publish(R"({"version":)" + std::to_string(version)
                      + R"(,"routes":[{"name":"private","host":"127.0.0.1","pathPrefix":"/p/",)"
                        R"("service":"s"},{"name":"open","host":"127.0.0.1","pathPrefix":"/open/",)"
                        R"("service":"s","public":true})"
                      + more + R"(],"tenants":[{"name":"red","apiKeys":)" + redKeys + "}]}");
    }

    bool isInForce(std::int64_t version, const std::set<std::string> &except = {})
    {
        return std::all_of(members.begin(), members.end(), [&](const auto &member) {
            return except.count(member->entry->settings.name) > 0
                || member->entry->config.version >= version;
        });
    }

    /// Returns the followers, in the order of their names.
    std::vector<cluster_member *> followers()
    {
        std::vector<cluster_member *> found;
        for (const auto &member : members) {
            if (member.get() != leader()) {
                found.push_back(member.get());
            }
        }
        return found;
    }

    void setFault(const cluster_member &member, store_fault fault)
    {
        store.faults[member.entry->settings.name] = fault;
    }

    /// Sends a caller's request; the answer is recorded in `calls`.
    recorded_call &send(const cluster_member &to, const std::string &method,
                        const std::string &path, const std::string &key)
    {
        calls.push_back({to.entry->settings.name, path, key, steadyNow(), 0, -1});
        recorded_call &call = calls.back();
        net::http_call request;
        request.address = to.entry->settings.callerAddress;
        request.method = method;
        request.target = path;
        if (!key.empty()) {
            request.headers = {{"Authorization", "Token " + key}};
        }
        if (method == "POST") {
            request.body = R"({"spec":"x","steps":[{"count":1,"cpu":500}]})";
        }
        request.deadline = steadyNow() + 20 * second;
        client.send(std::move(request), [&call](const net::call_result &result) {
            call.status = result.outcome == net::call_outcome::answered ? result.status : 0;
            call.answeredAt = steadyNow();
        });
        return call;
    }

    int sendAndWait(const cluster_member &to, const std::string &method, const std::string &path,
                    const std::string &key)
    {
        const recorded_call &call = send(to, method, path, key);
        runUntil([&] { return call.status != -1; });
        return call.status;
    }

    /// Sends calls with each key to every entry, every 50 ms until `until`.
    void sendCallsUntil(timestamp until, const std::vector<std::string> &keys)
    {
        while (steadyNow() < until) {
            for (const auto &member : members) {
                for (const std::string &key : keys) {
                    send(*member, "GET", key.empty() ? "/open/" : "/p/", key);
                }
            }
            runFor(50 * millisecond);
        }
    }

    /// Returns the number of calls with this status that match.
    template <typename Condition>
    std::ptrdiff_t countCalls(int status, Condition matches)
    {
        return std::count_if(calls.begin(), calls.end(), [&](const recorded_call &call) {
            return call.status == status && matches(call);
        });
    }

    config_store store;
    std::list<recorded_call> calls;
};

} // namespace

// Guards against a revoked key that works at an entry which the store rejects, which gets no
// answer from it, which reads 3 s stale, or which was frozen; and against entries that refuse their
// callers although a peer can confirm the configuration.
BOOST_AUTO_TEST_CASE(revoked_keys_end_everywhere_and_the_others_keep_working)
{
    keyed_cluster cluster(6);
    const auto followers = cluster.followers();
    BOOST_REQUIRE(followers.size() == 5U);
    cluster.setFault(*followers[0], store_fault::rejecting);
    cluster.setFault(*followers[1], store_fault::silent);
    cluster.setFault(*followers[2], store_fault::stale);
    cluster_member &frozen = *followers[3];
    const std::string frozenName = frozen.entry->settings.name;
    // Longer than the limit, so that only peers can have confirmed the configuration.
    cluster.sendCallsUntil(steadyNow() + limit + 2 * second, {"r1", "r2", ""});
    BOOST_TEST(cluster.countCalls(200, [](const auto &) { return true; })
               == static_cast<std::ptrdiff_t>(cluster.calls.size()));

    frozen.frozen = true;
    cluster.publish(3, R"(["r1"])");
    const timestamp revokedAt = steadyNow();
    timestamp inForceAt = distantFuture;
    while (steadyNow() < revokedAt + adoptionLimit) {
        cluster.sendCallsUntil(steadyNow() + 1, {"r1", "r2"});
        if (inForceAt == distantFuture && cluster.isInForce(3, {frozenName})) {
            inForceAt = steadyNow();
        }
    }
    BOOST_TEST_MESSAGE("in force everywhere after ms: " << (inForceAt - revokedAt) / millisecond);
    BOOST_TEST(inForceAt <= revokedAt + adoptionLimit);
    cluster.sendCallsUntil(revokedAt + limit + 2 * second, {"r1", "r2"});
    frozen.frozen = false;
    cluster.sendCallsUntil(revokedAt + limit + 4 * second, {"r1", "r2"});
    cluster.runUntil(
        [&] { return cluster.countCalls(-1, [](const auto &) { return true; }) == 0; });

    BOOST_TEST(cluster.countCalls(200, [&](const auto &call) {
        return call.key == "r2" && call.sentAt > revokedAt + limit;
    }) == 0);
    // Valid keys keep working at the entries that run.
    BOOST_TEST(
        cluster.countCalls(
            200, [&](const auto &call) { return call.key == "r1" && call.entry != frozenName; })
        == static_cast<std::ptrdiff_t>(
            std::count_if(cluster.calls.begin(), cluster.calls.end(), [&](const auto &call) {
                return call.key == "r1" && call.entry != frozenName;
            })));
    BOOST_TEST(cluster.sendAndWait(frozen, "GET", "/p/", "r1") == 200); // confirmed again
    BOOST_TEST(cluster.sendAndWait(frozen, "GET", "/p/", "r2") == 401);
}

// Guards against entries that confirm each other for ever while the store is silent to all.
BOOST_AUTO_TEST_CASE(calls_with_keys_are_refused_while_the_store_is_silent_to_all)
{
    keyed_cluster cluster(3);
    const timestamp silentAt = steadyNow();
    for (const auto &member : cluster.members) {
        cluster.setFault(*member, store_fault::silent);
    }
    cluster.sendCallsUntil(silentAt + limit + second, {"r1", ""});
    const timestamp refusedFrom = silentAt + limit;
    BOOST_TEST(cluster.countCalls(200, [&](const auto &call) {
        return call.key == "r1" && call.sentAt >= refusedFrom;
    }) == 0);
    BOOST_TEST(cluster.countCalls(503, [&](const auto &call) {
        return call.key == "r1" && call.sentAt >= refusedFrom
            && call.answeredAt < call.sentAt + 200 * millisecond;
    }) > 0);
    BOOST_TEST(cluster.countCalls(200, [](const auto &call) { return call.key.empty(); })
               == static_cast<std::ptrdiff_t>(
                   std::count_if(cluster.calls.begin(), cluster.calls.end(),
                                 [](const auto &call) { return call.key.empty(); })));
    for (const auto &member : cluster.members) {
        cluster.setFault(*member, store_fault::none);
    }
    cluster.runFor(adoptionLimit);
    for (const auto &member : cluster.members) {
        BOOST_TEST(cluster.sendAndWait(*member, "GET", "/p/", "r1") == 200);
    }
}

// Guards against an entry that is cut off from the store and from all entries and goes on serving.
BOOST_AUTO_TEST_CASE(an_entry_without_store_and_peers_refuses_calls_with_keys)
{
    keyed_cluster cluster(3);
    cluster_member &cutOff = *cluster.followers().front();
    const timestamp cutOffAt = steadyNow();
    cluster.setFault(cutOff, store_fault::silent);
    while (steadyNow() < cutOffAt + limit + second) {
        // No message passes between this entry and the others.
        for (const auto &member : cluster.members) {
            for (auto &[name, address] : member->entry->members) {
                if (member.get() == &cutOff || name == cutOff.entry->settings.name) {
                    address = "127.0.0.1:1"; // nobody listens there
                }
            }
        }
        cluster.send(cutOff, "GET", "/p/", "r1");
        cluster.runFor(50 * millisecond);
    }
    const recorded_call &last = cluster.send(cutOff, "GET", "/p/", "r1");
    cluster.runUntil([&] { return last.status != -1; });
    BOOST_TEST(last.status == 503);
    BOOST_TEST(last.answeredAt < last.sentAt + 200 * millisecond);
    BOOST_TEST(cluster.countCalls(200, [&](const auto &call) {
        return call.sentAt > cutOffAt + limit;
    }) == 0);
}

// Guards against a 404 for a queue that only the scheduler does not know yet, and against a key
// that the scheduler knows to be revoked while the entry does not.
BOOST_AUTO_TEST_CASE(a_scheduler_one_version_behind_or_ahead_of_its_entry)
{
    keyed_cluster cluster(3);
    cluster_member &scheduler = *cluster.leader();
    cluster_member &follower = *cluster.followers().front();
    cluster.setFault(scheduler, store_fault::stale);
    cluster.publish(3, R"(["r1"])",
                    R"(,{"name":"new","host":"127.0.0.1","pathPrefix":"/n/","service":"s"})");
    BOOST_REQUIRE(cluster.runUntil([&] { return follower.entry->config.version == 3; }));
    BOOST_TEST(scheduler.entry->config.version == 2);
    BOOST_TEST(cluster.sendAndWait(follower, "POST", "/n/5c0e7a21d94b36f8", "r1") == 200);
    BOOST_TEST(scheduler.entry->config.version == 3);
    BOOST_TEST(cluster.table.rows.at({jobTable, "5c0e7a21d94b36f8"}).value.find(R"("team":"red")")
               != std::string::npos);

    cluster.setFault(scheduler, store_fault::none);
    cluster.setFault(follower, store_fault::stale);
    cluster.publish(4, R"(["r3"])");
    BOOST_REQUIRE(cluster.runUntil([&] { return scheduler.entry->config.version == 4; }));
    BOOST_TEST(follower.entry->config.version == 3);
    BOOST_TEST(cluster.sendAndWait(follower, "POST", "/p/5c0e7a21d94b36f9", "r1") == 401);
    BOOST_TEST(cluster.table.rows.count({jobTable, "5c0e7a21d94b36f9"}) == 0U);
}
