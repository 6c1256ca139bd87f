/// Stand-in for the platform: a transactional table, an object store and a lagging instance list.
///
/// POST /table takes a table_request and returns a table_response. POST /list returns the instances
/// as they were `list_lag_ms` ago. POST /register adds or replaces an instance,
/// GET /unregister?name= removes one. PUT and GET /objects/NAME store and return an object.
/// GET /faults?outage=0|1&slow_ms=N&lose_percent=N&list_lag_ms=N sets faults. GET /stats returns
/// the counts of reads, writes, refused transactions and lost answers.

#include <atomic>
#include <chrono>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include <httplib.h>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "bramleygrade/json_codec.h"
#include "testing/table_fake.h"

ABSL_FLAG(int, port, 9000, "port on 127.0.0.1");
ABSL_FLAG(int, writes_per_second, 400, "limit of write transactions per second");
ABSL_FLAG(int, reads_per_second, 2000, "limit of read-only transactions per second");

namespace bramleygrade {

namespace {

using monotonic_clock = std::chrono::steady_clock;

/// Token bucket with a fixed refill rate and a capacity of one second's tokens.
class token_bucket
{
public:
    explicit token_bucket(int perSecond)
        : m_perSecond(perSecond)
        , m_tokens(perSecond)
    {
    }

    bool tryTake()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto now = monotonic_clock::now();
        const std::chrono::duration<double> passed = now - m_filledAt;
        m_filledAt = now;
        m_tokens = std::min<double>(m_perSecond, m_tokens + passed.count() * m_perSecond);
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    std::mutex m_mutex;
    const int m_perSecond;
    double m_tokens;
    monotonic_clock::time_point m_filledAt = monotonic_clock::now();
};

struct instance_list_snapshot
{
    monotonic_clock::time_point at;
    std::map<std::string, instance> instances;
};

class platform_standin
{
public:
    platform_standin()
        : m_writes(absl::GetFlag(FLAGS_writes_per_second))
        , m_reads(absl::GetFlag(FLAGS_reads_per_second))
    {
    }

    int run()
    {
        m_server.new_task_queue = [] { return new httplib::ThreadPool(64); };
        m_server.set_tcp_nodelay(true);
        m_server.set_keep_alive_max_count(1'000'000);
        m_server.Post("/table", [this](const auto &in, auto &out) { transact(in, out); });
        m_server.Post("/list", [this](const auto &in, auto &out) { serveInstanceList(in, out); });
        m_server.Post("/register",
                      [this](const auto &in, auto &out) { registerInstance(in, out); });
        m_server.Get("/unregister",
                     [this](const auto &in, auto &out) { unregisterInstance(in, out); });
        m_server.Get("/faults", [this](const auto &in, auto &out) { setFaults(in, out); });
        m_server.Get("/stats", [this](const auto &in, auto &out) { serveStats(in, out); });
        m_server.Put(R"(/objects/(.+))", [this](const auto &in, auto &out) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_objects[in.matches[1]] = in.body;
            out.set_content("ok\n", "text/plain");
        });
        m_server.Get(R"(/objects/(.+))", [this](const auto &in, auto &out) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const auto found = m_objects.find(in.matches[1]);
            out.status = found == m_objects.end() ? 404 : 200;
            out.set_content(found == m_objects.end() ? "" : found->second, "text/plain");
        });
        return m_server.listen("127.0.0.1", absl::GetFlag(FLAGS_port)) ? 0 : 1;
    }

private:
    void transact(const httplib::Request &in, httplib::Response &out)
    {
        const auto request = parseJson<table_request>(in.body);
        if (!request) {
            out.status = 400;
            out.set_content(request.error().message, "text/plain");
            return;
        }
        const bool isWrite = !request->writes.empty();
        if (m_outage || !(isWrite ? m_writes : m_reads).tryTake()) {
            ++m_refused;
            out.status = m_outage ? 503 : 429;
            return;
        }
        ++(isWrite ? m_writeCount : m_readCount);
        std::this_thread::sleep_for(std::chrono::milliseconds(m_slowMs));
        std::string text;
        bool isLost = false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            text = toJson(executeTransaction(m_table, *request));
            isLost = isWrite && static_cast<int>(m_random() % 100) < m_losePercent;
        }
        if (isLost) {
            ++m_lost;
            std::this_thread::sleep_for(std::chrono::seconds(4));
            out.status = 504;
            return;
        }
        out.set_content(text, "application/json");
    }

    void serveInstanceList(const httplib::Request &in, httplib::Response &out)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto asOf = monotonic_clock::now() - std::chrono::milliseconds(m_listLagMs);
        while (m_snapshots.size() > 1 && m_snapshots[1].at <= asOf) {
            m_snapshots.pop_front();
        }
        const std::string tag = m_snapshots.empty()
            ? "none"
            : std::to_string(m_snapshots.front().at.time_since_epoch().count());
        out.set_header("ETag", tag);
        if (in.get_header_value("If-None-Match") == tag) {
            out.status = 304;
            return;
        }
        instance_list visibleList;
        if (!m_snapshots.empty() && m_snapshots.front().at <= asOf) {
            for (const auto &[name, listed] : m_snapshots.front().instances) {
                visibleList.instances.push_back(std::make_unique<instance>(listed));
            }
        }
        out.set_content(toJson(visibleList), "application/json");
    }

    void editInstances(const std::function<void(std::map<std::string, instance> &)> &edit)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        edit(m_instances);
        m_snapshots.push_back({monotonic_clock::now(), m_instances});
    }

    void registerInstance(const httplib::Request &in, httplib::Response &out)
    {
        const auto listed = parseJson<instance>(in.body);
        if (!listed) {
            out.status = 400;
            out.set_content(listed.error().message, "text/plain");
            return;
        }
        editInstances([&listed](auto &instances) { instances[listed->name] = *listed; });
    }

    void unregisterInstance(const httplib::Request &in, httplib::Response &)
    {
        editInstances([&in](auto &instances) { instances.erase(in.get_param_value("name")); });
    }

    void setFaults(const httplib::Request &in, httplib::Response &out)
    {
        const auto set = [&in](const char *name, std::atomic<int> &value) {
            if (in.has_param(name)) {
                value = std::stoi(in.get_param_value(name));
            }
        };
        set("outage", m_outage);
        set("slow_ms", m_slowMs);
        set("lose_percent", m_losePercent);
        set("list_lag_ms", m_listLagMs);
        out.set_content("ok\n", "text/plain");
    }

    void serveStats(const httplib::Request &, httplib::Response &out)
    {
        out.set_content("reads " + std::to_string(m_readCount) + " writes "
                            + std::to_string(m_writeCount) + " refused " + std::to_string(m_refused)
                            + " lost " + std::to_string(m_lost) + "\n",
                        "text/plain");
    }

    httplib::Server m_server;
    token_bucket m_writes;
    token_bucket m_reads;
    std::mutex m_mutex;
    table_fake m_table;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, instance> m_instances;
    std::deque<instance_list_snapshot> m_snapshots;
    std::mt19937 m_random {1};
    std::atomic<int> m_outage {0};
    std::atomic<int> m_slowMs {2};
    std::atomic<int> m_losePercent {0};
    std::atomic<int> m_listLagMs {2000};
    std::atomic<int> m_readCount {0};
    std::atomic<int> m_writeCount {0};
    std::atomic<int> m_refused {0};
    std::atomic<int> m_lost {0};
};

} // namespace

} // namespace bramleygrade

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    return bramleygrade::platform_standin().run();
}
