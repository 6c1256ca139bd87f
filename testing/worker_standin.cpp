/// Stand-in for the workers of one rack, one port each, that serve a service and run tasks.
///
/// Any POST that is not under /worker/ is a request of the service: it occupies a slot for
/// `--answer_ms`, then answers with the worker's name and the body. The control port, one above the
/// last worker, serves GET /ledger (log of the requests and tasks that ran) and
/// GET /faults?worker=NAME&fail=0|1&silent=0|1&slow=FACTOR&leave=0|1&failtasks=0|1, which sets
/// faults; NAME `all` selects every worker.

#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>

#include <httplib.h>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_cat.h"
#include "bramleygrade/json_codec.h"
#include "testing/worker_fake.h"

ABSL_FLAG(std::string, prefix, "worker", "names are PREFIX-1, PREFIX-2, ...");
ABSL_FLAG(int, count, 8, "number of workers in the rack");
ABSL_FLAG(int, base_port, 9100, "port of the first worker on 127.0.0.1");
ABSL_FLAG(int, platform_port, 9000, "port of the platform stand-in");
ABSL_FLAG(std::string, failure_domain, "domain-a", "failure domain of the rack");
ABSL_FLAG(std::string, rack, "rack-1", "name of the rack");
ABSL_FLAG(std::string, service, "booking", "service that the workers serve");
ABSL_FLAG(int, slots, 8, "concurrent requests of each worker");
ABSL_FLAG(int, answer_ms, 20, "duration of a request");
ABSL_FLAG(int64_t, cpu_millis, 32000, "CPU capacity of each worker, in thousandths of a core");
ABSL_FLAG(int64_t, memory_mb, 128000, "memory of each worker, in MB");
ABSL_FLAG(int64_t, accelerators, 0, "accelerators of each worker");

namespace bramleygrade {

namespace {

timestamp wallTime()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct request_run
{
    std::string id;
    std::string worker;
    timestamp startedAt;
};

/// Requests that the workers of this process ran, for scripts/verdict.sh.
struct execution_log
{
    std::mutex mutex;
    std::vector<request_run> requests;
    std::atomic<int> fullRefusals {0};
    std::atomic<int> served {0};
};

class worker_standin
{
public:
    worker_standin(int number, execution_log &executionLog)
        : m_executionLog(executionLog)
    {
        m_fake.info.name = absl::StrCat(absl::GetFlag(FLAGS_prefix), "-", number);
        m_fake.info.host = "127.0.0.1";
        m_fake.info.port = absl::GetFlag(FLAGS_base_port) + number - 1;
        m_fake.info.failure_domain = absl::GetFlag(FLAGS_failure_domain);
        m_fake.info.rack = absl::GetFlag(FLAGS_rack);
        m_fake.info.service = absl::GetFlag(FLAGS_service);
        m_fake.info.slots = absl::GetFlag(FLAGS_slots);
        m_fake.info.cpu_millis = absl::GetFlag(FLAGS_cpu_millis);
        m_fake.info.memory_mb = absl::GetFlag(FLAGS_memory_mb);
        m_fake.info.accelerators = absl::GetFlag(FLAGS_accelerators);
    }

    const std::string &name() const { return m_fake.info.name; }

    void start()
    {
        // About 60 connections, more than the slots, so that excess requests get a refusal.
        m_server.new_task_queue = [] { return new httplib::ThreadPool(60); };
        m_server.set_tcp_nodelay(true);
        m_server.set_keep_alive_max_count(1'000'000);
        m_server.set_keep_alive_timeout(20);
        addWorkerRoute("report", [this](const task_order &order, timestamp now) {
            renewLeases(m_fake, order.lease_until, now);
            return true;
        });
        addWorkerRoute("start", [this](const task_order &order, timestamp now) {
            return startTaskOn(m_fake, order, now);
        });
        addWorkerRoute("stop", [this](const task_order &order, timestamp now) {
            stopTaskOn(m_fake, order, now);
            return true;
        });
        addWorkerRoute("checkpoint", [this](const task_order &order, timestamp now) {
            checkpointTaskOn(m_fake, order, now);
            return true;
        });
        addWorkerRoute("forget", [this](const task_order &order, timestamp now) {
            forgetTaskOn(m_fake, order, now);
            return true;
        });
        m_server.Post(".*", [this](const auto &in, auto &out) { serveRequest(in, out); });
        m_thread = std::thread([this] { m_server.listen("127.0.0.1", m_fake.info.port); });
        registerInstance(instance_state::live);
    }

    void setFaults(const httplib::Request &in)
    {
        const auto value = [&in](const char *key, int defaultValue) {
            return in.has_param(key) ? std::stoi(in.get_param_value(key)) : defaultValue;
        };
        m_failsRequests = value("fail", m_failsRequests);
        m_isSilent = value("silent", m_isSilent);
        m_slowFactor = value("slow", m_slowFactor);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_fake.failsTasks = value("failtasks", m_fake.failsTasks) != 0;
        const bool wasLeaving = m_fake.isLeaving;
        m_fake.isLeaving = value("leave", m_fake.isLeaving) != 0;
        if (m_fake.isLeaving && !wasLeaving) {
            m_leftAt = wallTime();
            registerInstance(instance_state::leaving);
        }
    }

    std::string formatWorkerLog()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        advanceTime(m_fake, wallTime());
        std::string text = absl::StrCat("worker ", name(), " overcommits ", m_fake.overcommits,
                                        " late_after_leaving ", m_servedAfterLeaving.load(), "\n");
        const auto add = [&text, this](const fake_task &task) {
            absl::StrAppend(&text, "task ", task.order.job, " ", task.order.task, " ",
                            task.order.incarnation, " ", name(), " ", task.startedAt, " ",
                            task.phase == task_phase::running ? 0 : task.endedAt, " ",
                            wire::EnumNametask_phase(task.phase), "\n");
        };
        for (const fake_task &task : m_fake.forgottenTasks) {
            add(task);
        }
        for (const auto &[key, task] : m_fake.tasks) {
            add(task);
        }
        return text;
    }

private:
    template <typename Handler>
    void addWorkerRoute(const char *action, Handler handler)
    {
        m_server.Post(absl::StrCat("/worker/", action), [this, handler](const auto &in, auto &out) {
            if (m_isSilent != 0) {
                std::this_thread::sleep_for(std::chrono::seconds(30));
                return;
            }
            const auto order = parseJson<task_order>(in.body.empty() ? "{}" : in.body);
            const std::lock_guard<std::mutex> lock(m_mutex);
            const timestamp now = wallTime();
            advanceTime(m_fake, now);
            out.status = order && handler(*order, now) ? 200 : 409;
            out.set_content(toJson(makeReport(m_fake, m_active, order ? order->known_version : 0)),
                            "application/json");
        });
    }

    /// Registers the worker and its state in the platform's instance list.
    void registerInstance(instance_state state)
    {
        instance listed = m_fake.info;
        listed.state = state;
        httplib::Client platform("127.0.0.1", absl::GetFlag(FLAGS_platform_port));
        platform.Post("/register", toJson(listed), "application/json");
    }

    void serveRequest(const httplib::Request &in, httplib::Response &out)
    {
        constexpr timestamp leavingGrace = 5 * second;
        if (m_isSilent != 0) {
            std::this_thread::sleep_for(std::chrono::seconds(30));
            return;
        }
        if (m_failsRequests != 0) {
            out.status = 500;
            return;
        }
        const std::string startBy = in.get_header_value("Bramley-Start-By");
        const bool isLate = !startBy.empty() && std::stoll(startBy) < wallTime();
        if (isLate || ++m_active > absl::GetFlag(FLAGS_slots)) {
            m_active -= isLate ? 0 : 1;
            ++m_executionLog.fullRefusals;
            out.status = 503;
            return;
        }
        if (m_leftAt != 0) {
            out.set_header("Bramley-Leaving", "true");
            m_servedAfterLeaving += wallTime() > m_leftAt + leavingGrace ? 1 : 0;
        }
        const std::string id = in.get_header_value("Bramley-Request-Id");
        if (!id.empty()) {
            const std::lock_guard<std::mutex> lock(m_executionLog.mutex);
            m_executionLog.requests.push_back({id, name(), wallTime()});
        }
        ++m_executionLog.served;
        std::this_thread::sleep_for(
            std::chrono::milliseconds(absl::GetFlag(FLAGS_answer_ms) * m_slowFactor));
        --m_active;
        out.set_content("served by " + name() + ": " + in.body, "text/plain");
    }

    execution_log &m_executionLog;
    std::mutex m_mutex;
    worker_fake m_fake;
    std::atomic<int> m_active {0};
    std::atomic<int> m_failsRequests {0};
    std::atomic<int> m_isSilent {0};
    std::atomic<int> m_slowFactor {1};
    std::atomic<timestamp> m_leftAt {0};
    std::atomic<int> m_servedAfterLeaving {0};
    httplib::Server m_server;
    std::thread m_thread;
};

std::string formatExecutionLog(execution_log &executionLog,
                               std::vector<std::unique_ptr<worker_standin>> &workers)
{
    std::string text = absl::StrCat("served ", executionLog.served.load(), " full_refusals ",
                                    executionLog.fullRefusals.load(), "\n");
    {
        const std::lock_guard<std::mutex> lock(executionLog.mutex);
        for (const request_run &run : executionLog.requests) {
            absl::StrAppend(&text, "request ", run.id, " ", run.worker, " ", run.startedAt, "\n");
        }
    }
    for (auto &worker : workers) {
        text += worker->formatWorkerLog();
    }
    return text;
}

int run()
{
    execution_log executionLog;
    std::vector<std::unique_ptr<worker_standin>> workers;
    for (int number = 1; number <= absl::GetFlag(FLAGS_count); ++number) {
        workers.push_back(std::make_unique<worker_standin>(number, executionLog));
        workers.back()->start();
    }
    httplib::Server control;
    control.Get("/ledger", [&](const auto &, auto &out) {
        out.set_content(formatExecutionLog(executionLog, workers), "text/plain");
    });
    control.Get("/faults", [&workers](const auto &in, auto &out) {
        for (auto &worker : workers) {
            const std::string wanted = in.get_param_value("worker");
            if (wanted == worker->name() || wanted == "all") {
                worker->setFaults(in);
            }
        }
        out.set_content("ok\n", "text/plain");
    });
    const int port = absl::GetFlag(FLAGS_base_port) + absl::GetFlag(FLAGS_count);
    return control.listen("127.0.0.1", port) ? 0 : 1;
}

} // namespace

} // namespace bramleygrade

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    return bramleygrade::run();
}
