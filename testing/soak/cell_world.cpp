#include "cell_world.h"

#include <algorithm>
#include <csignal>
#include <fstream>

#include "entry/json_text.h"
#include "record.h"

namespace bramleygrade::soak {

namespace {

using entry::put;

constexpr microseconds tickInterval = 20 * millisecond;
constexpr microseconds readyTimeout = 20 * second;
/// Time that clients wait for an answer.
constexpr microseconds callDeadline = 3 * second;
constexpr int clientRetries = 4;
/// A worker's clock may be 2 % slow.
constexpr double slowClockRate = 0.98;
constexpr microseconds retryPause = 500 * millisecond;
/// When clients ask for the state of a job after its acceptance.
constexpr microseconds stateQuestions[] = {300 * millisecond, 3 * second};
/// Age from which accepted jobs that have not begun must be counted as pending.
constexpr microseconds pendingAge = 5 * second;

std::string encodeConfig(const std::vector<route> &routes)
{
    return entry::writeObject([&](entry::json_writer &out) {
        put(out, "version", 7);
        out.Key("routes");
        out.StartArray();
        for (const route &queue : routes) {
            out.StartObject();
            put(out, "name", queue.name);
            put(out, "host", queue.host);
            put(out, "pathPrefix", queue.prefix);
            put(out, "kind", std::string("unsafe"));
            put(out, "timeoutMs", 3'000);
            put(out, "targetLatencyMs", queue.latencyTargetMs);
            put(out, "priority", queue.priority);
            put(out, "service", std::string(serviceName));
            put(out, "maxAttempts", queue.maxAttempts);
            put(out, "slackFactor", queue.slackFactor);
            out.EndObject();
        }
        out.EndArray();
        out.Key("services");
        out.StartArray();
        out.StartObject();
        put(out, "name", std::string(serviceName));
        put(out, "healthPath", std::string("/healthz"));
        put(out, "maxConnections", 64);
        put(out, "enforceCapacity", false);
        out.EndObject();
        out.EndArray();
        out.Key("limits");
        out.StartObject();
        put(out, "maxHeaderBytes", 16'384);
        put(out, "maxBodyBytes", 262'144);
        out.EndObject();
    });
}

std::string encodeJob(const step_behaviour &step, const std::string &extra,
                      const std::string &jobExtra)
{
    std::string body = R"({"spec":"soak","steps":[{"count":)" + std::to_string(step.count)
        + R"(,"cpu":)" + std::to_string(step.cpuMilli) + R"(,"memMb":64,"estimateMs":)"
        + std::to_string(step.duration / millisecond);
    body += step.gang ? R"(,"gang":true)" : "";
    body += step.longRunning ? R"(,"longRunning":true)" : "";
    body += step.checkpointing ? R"(,"checkpointing":true)" : "";
    return body + extra + "}]" + jobExtra + "}";
}

} // namespace

cell_world::cell_world(boost::asio::io_context &loop, world_settings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_peers(loop, m_settings.peerAddresses, m_settings.peerLinks)
    , m_store(loop, m_peers)
    , m_client(loop, steadyNow)
{
}

std::string cell_world::start(int workerCount, std::int64_t cpuMilli,
                              const std::vector<route> &routes)
{
    std::string error = m_peers.start();
    for (const std::string &address : m_settings.storeAddresses) {
        error = error.empty() ? m_store.listen(address) : error;
    }
    for (const route &queue : routes) {
        m_routes[queue.name] = queue;
    }
    m_store.put("op", "config", {encodeConfig(routes)});
    for (int index = 0; index < workerCount && error.empty(); ++index) {
        worker_settings settings;
        settings.id = "i-" + std::to_string(index + 1);
        settings.service = serviceName;
        settings.addresses = m_settings.workerAddresses[static_cast<std::size_t>(index)];
        m_peers.addTarget(settings.addresses);
        settings.cpuMilli = cpuMilli;
        settings.clockRate = index % 2 == 0 ? 1.0 : slowClockRate;
        m_workers.push_back(std::make_unique<worker>(m_loop, m_store, m_book, settings));
        error = m_workers.back()->start();
    }
    tick();
    return error;
}

void cell_world::at(microseconds delay, const std::function<void()> &run)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop);
    timer->expires_after(std::chrono::microseconds(delay));
    timer->async_wait([timer, run](boost::system::error_code error) {
        if (!error) {
            run();
        }
    });
}

void cell_world::tick()
{
    for (const auto &each : m_workers) {
        each->tick();
        each->expireEntry();
    }
    at(tickInterval, [this] { tick(); });
}

void cell_world::whenReady(const std::function<void()> &run)
{
    const auto open = std::make_shared<std::size_t>(m_settings.entries.size());
    const auto giveUpAt = steadyNow() + readyTimeout;
    for (const entry_addresses &each : m_settings.entries) {
        const auto ask = std::make_shared<std::function<void()>>();
        *ask = [this, ask, open, giveUpAt, run, address = each.readiness] {
            net::http_call call;
            call.address = address;
            call.target = "/readyz";
            call.deadline = steadyNow() + second;
            m_client.send(
                std::move(call), [this, ask, open, giveUpAt, run](const net::call_result &result) {
                    if (result.outcome == net::call_outcome::answered && result.status == 200) {
                        if (--*open == 0) {
                            note("all entries are ready");
                            run();
                        }
                    } else if (steadyNow() > giveUpAt) {
                        finish(2, "the entries did not become ready");
                    } else {
                        at(200 * millisecond, [ask] { (*ask)(); });
                    }
                });
        };
        (*ask)();
    }
}

void cell_world::send(const std::string &method, const std::string &id, const std::string &body,
                      int retriesLeft, const answer_handler &done)
{
    const route &queue = m_routes.at(m_jobs[id].queue);
    const entry_addresses &target = m_settings.entries[m_nextEntry++ % m_settings.entries.size()];
    net::http_call call;
    call.address = target.callers;
    call.method = method;
    call.target = queue.prefix + id;
    // The client's own Host header replaces the address.
    call.headers = {{"Host", queue.host},
                    {"Content-Type", "application/json"},
                    {"Deadline-Ms", std::to_string(callDeadline / millisecond)}};
    call.body = body;
    call.deadline = steadyNow() + callDeadline;
    m_client.send(std::move(call), [=](const net::call_result &result) {
        const int status = result.outcome == net::call_outcome::answered ? result.status : 0;
        if (method != "GET") {
            note("client: " + method + " " + id + " -> "
                 + (status == 0 ? std::string("no answer") : std::to_string(status)));
        }
        const bool mayRetry =
            status == 0 || status == 429 || status == 502 || status == 503 || status == 504;
        if (mayRetry && retriesLeft > 0) {
            at(status == 429 || status == 503 ? 2 * second : retryPause,
               [=] { send(method, id, body, retriesLeft - 1, done); });
            return;
        }
        done(status, result.body);
    });
}

void cell_world::submit(const std::string &id, const std::string &queue, const step_behaviour &step,
                        const std::string &extra, const std::string &jobExtra)
{
    m_book.jobs[id] = {step};
    m_jobs[id].id = id;
    m_jobs[id].queue = queue;
    send("POST", id, encodeJob(step, extra, jobExtra), clientRetries,
         [this, id](int status, const auto &) {
             if (status >= 200 && status < 300) {
                 m_jobs[id].accepted = true;
                 m_jobs[id].acceptedAt = steadyNow();
                 for (const microseconds delay : stateQuestions) {
                     at(delay, [this, id] { askState(id); });
                 }
             }
         });
}

void cell_world::cancel(const std::string &id)
{
    m_jobs[id].isCancelRequested = true;
    send("DELETE", id, "", clientRetries, [this, id](int status, const auto &) {
        if ((status >= 200 && status < 300) || status == 410) {
            m_jobs[id].cancelledAt = steadyNow();
        }
    });
}

void cell_world::askState(const std::string &id)
{
    send("GET", id, "", clientRetries, [this, id](int status, const std::string &body) {
        rapidjson::Document document;
        client_job &job = m_jobs[id];
        job.state = status == 200 && entry::parseObject(body, document)
            ? entry::textField(document, "state")
            : std::to_string(status);
        job.stateAt = steadyNow();
        if (job.state == "running" && m_book.begunJobs.count(id) == 0) {
            m_falseAnswers.push_back(id + " is shown as running, and no worker has begun it");
        }
        note("client: GET " + id + " -> " + job.state);
    });
}

void cell_world::askPending(const std::string &queue)
{
    const route &asked = m_routes.at(queue);
    for (std::size_t entry = 0; entry < m_settings.entries.size(); ++entry) {
        net::http_call call;
        call.address = m_settings.entries[entry].callers;
        call.method = "GET";
        call.target = asked.prefix;
        call.headers = {{"Host", asked.host},
                        {"Deadline-Ms", std::to_string(callDeadline / millisecond)}};
        call.deadline = steadyNow() + callDeadline;
        m_client.send(std::move(call),
                      [this, queue, entry, askedAt = steadyNow()](const net::call_result &result) {
                          rapidjson::Document document;
                          if (result.outcome == net::call_outcome::answered && result.status == 200
                              && entry::parseObject(result.body, document)) {
                              checkPending(queue, entry, askedAt,
                                           entry::integerField(document, "pending"));
                          }
                      });
    }
}

void cell_world::checkPending(const std::string &queue, std::size_t entry, timestamp askedAt,
                              std::int64_t pending)
{
    const auto waiting = std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto &known) {
        const client_job &job = known.second;
        return job.queue == queue && job.accepted && !job.isCancelRequested
            && job.acceptedAt < askedAt - pendingAge && m_book.begunJobs.count(job.id) == 0;
    });
    note("client: entry " + std::to_string(entry) + " gives " + std::to_string(pending)
         + " jobs of " + queue + " as pending, " + std::to_string(waiting) + " wait");
    if (2 * pending < waiting) {
        m_falseAnswers.push_back("entry " + std::to_string(entry) + " gives "
                                 + std::to_string(pending) + " jobs of " + queue
                                 + " as pending, but " + std::to_string(waiting) + " wait");
    }
}

worker *cell_world::workerOf(const std::string &task)
{
    for (const auto &each : m_workers) {
        if (each->hasRun(task)) {
            return each.get();
        }
    }
    return nullptr;
}

void cell_world::signalEntry(std::size_t index, int signal)
{
    std::ifstream file(m_settings.pidFolder + "/pid-" + std::to_string(index));
    pid_t pid = 0;
    if (file >> pid && pid > 1) {
        ::kill(pid, signal);
        note("trouble: entry " + std::to_string(index) + " gets signal " + std::to_string(signal));
    }
}

void cell_world::finish(int exitCode, const std::string &verdict)
{
    m_exitCode = exitCode;
    note("verdict: " + verdict);
    m_loop.stop();
}

} // namespace bramleygrade::soak
