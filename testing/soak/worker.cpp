#include "worker.h"

#include <algorithm>
#include <cstdio>

#include <boost/asio/steady_timer.hpp>

#include "entry/json_text.h"
#include "record.h"

namespace bramleygrade::soak {

namespace {

using entry::integerField;
using entry::put;
using entry::textField;

// Figures of the users' sheets.
constexpr microseconds heartbeatInterval = 1'500 * millisecond;
constexpr microseconds longestLease = 6 * second;
constexpr microseconds gangTimeout = 3 * second;
constexpr microseconds checkpointInterval = 1 * second;
constexpr std::int64_t drainMs = 2'000;
/// A stop takes at most 900 ms.
constexpr microseconds stopTime = 200 * millisecond;
/// Time after which a task that lasts is at work.
constexpr microseconds startupTime = 300 * millisecond;
constexpr std::size_t maxEndsPerReport = 500;

net::http_response json(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

/// Returns the job, and the step's index, of a task named JOB.OCCURRENCE.STEP.INDEX.
std::pair<std::string, std::size_t> stepOfTask(const std::string &task)
{
    const std::size_t first = task.find('.');
    int occurrence = 0;
    unsigned step = 0;
    std::sscanf(task.c_str() + first, ".%d.%u.", &occurrence, &step);
    return {task.substr(0, first), step};
}

} // namespace

worker::worker(boost::asio::io_context &loop, table_store &store, run_book &book,
               worker_settings settings)
    : m_loop(loop)
    , m_store(store)
    , m_book(book)
    , m_settings(std::move(settings))
    , m_links(m_settings.addresses.size())
    , m_bornAt(steadyNow())
    , m_bornMs(unixMillis())
{
}

std::string worker::listen()
{
    std::string error;
    for (std::size_t entry = 0; entry < m_settings.addresses.size() && error.empty(); ++entry) {
        m_servers.push_back(std::make_unique<net::http_server>(
            m_loop,
            [this, entry](const net::http_request &request, const responder &respond) {
                serve(entry, request, respond);
            },
            net::server_limits {262'144, 16'384, 3'600 * second}));
        error = m_servers.back()->listen(m_settings.addresses[entry]);
    }
    return error;
}

void worker::closePorts()
{
    for (auto &server : m_servers) {
        server->closeIdle();
        m_formerServers.push_back(std::move(server));
    }
    m_servers.clear();
}

std::string worker::start()
{
    std::string error = listen();
    if (error.empty() && m_mutes == 0) {
        beat();
    }
    return error;
}

std::int64_t worker::clockMs() const
{
    return static_cast<std::int64_t>(static_cast<double>(steadyNow() - m_bornAt)
                                     * m_settings.clockRate)
        / millisecond;
}

std::int64_t worker::usedCpuMilli() const
{
    std::int64_t used = 0;
    for (const auto &[task, current] : m_runs) {
        used += current.behaviour.cpuMilli;
    }
    return used;
}

void worker::beat()
{
    m_beatAt = steadyNow();
    m_isListed = true;
    ++m_sequence;
    std::vector<std::string> texts;
    for (const std::string &address : m_settings.addresses) {
        texts.push_back(describe(address));
    }
    m_store.put("servers", m_settings.id, texts);
}

std::string worker::describe(const std::string &address)
{
    return entry::writeObject([&](entry::json_writer &out) {
        put(out, "service", m_settings.service);
        put(out, "address", address);
        put(out, "zone", std::string("zone-1"));
        put(out, "version", std::string("v1"));
        put(out, "slots", 8);
        put(out, "state", std::string(m_draining ? "draining" : "ready"));
        put(out, "coldRemainingMs", 0);
        out.Key("capacity");
        out.StartObject();
        put(out, "cpu", m_settings.cpuMilli);
        put(out, "memMb", m_settings.memoryMb);
        put(out, "gpu", 0);
        out.EndObject();
        out.Key("labels");
        out.StartArray();
        entry::putText(out, "a");
        entry::putText(out, m_settings.rack);
        out.EndArray();
        put(out, "clockMs", clockMs());
        put(out, "sequence", m_sequence);
        put(out, "born", m_bornMs);
        if (m_draining) {
            put(out, "remainingMs", drainMs);
        }
    });
}

void worker::expireEntry()
{
    if (m_isListed && steadyNow() > m_beatAt + 3 * heartbeatInterval) {
        m_isListed = false;
        m_store.remove("servers", m_settings.id);
        note("platform: the entry of " + m_settings.id + " is removed after three silent beats");
    }
}

void worker::cutOff(bool refuses)
{
    note("trouble: " + m_settings.id + " is cut off and runs on, with "
         + std::to_string(m_runs.size()) + " runs");
    m_cut = true;
    abandonWaiters();
    if (refuses) {
        closePorts();
    }
}

void worker::abandonWaiters()
{
    for (const hold_waiter &waiter : m_waiters) {
        abandonCall(m_loop, waiter.respond);
    }
    m_waiters.clear();
}

void worker::loseAnswers(bool loses)
{
    note("trouble: answers of " + m_settings.id + (loses ? " are lost" : " pass again"));
    for (worker_link &link : m_links) {
        link.losesAnswers = loses;
    }
    if (loses) {
        abandonWaiters();
    }
}

void worker::loseCalls(bool loses)
{
    note("trouble: calls to " + m_settings.id + (loses ? " are lost" : " pass again"));
    for (worker_link &link : m_links) {
        link.silent = loses;
    }
}

void worker::reconnect()
{
    note("trouble: " + m_settings.id + " is reachable again, with " + std::to_string(m_runs.size())
         + " runs");
    m_cut = false;
    const std::string error = m_servers.empty() && m_up ? listen() : "";
    if (!error.empty()) {
        note("error: " + error);
    }
}

void worker::crash()
{
    note("trouble: " + m_settings.id + " crashes");
    m_up = false;
    for (const auto &[task, current] : m_runs) {
        m_book.runs[current.record].endedAt = steadyNow();
        m_book.runs[current.record].how = "crashed";
        if (!current.gangKey.empty()) {
            --m_book.gangs[current.gangKey].first;
        }
    }
    for (const ended_run &end : m_ended) {
        m_book.runs[end.record].isLost = true;
    }
    m_runs.clear();
    m_ended.clear();
    abandonWaiters();
    closePorts();
}

void worker::restart()
{
    m_closedAttempts.clear();
    m_endCount = 0;
    m_token = 0;
    m_sequence = 0;
    m_bornAt = steadyNow();
    m_bornMs = unixMillis();
    m_leaseUntil = 0;
    m_draining = false;
    m_cut = false;
    m_up = true;
    note("trouble: " + m_settings.id + " is back");
    const std::string error = start();
    if (!error.empty()) {
        note("error: " + error);
    }
}

void worker::drain()
{
    note("plan: " + m_settings.id + " reports that it drains");
    m_draining = true;
    beat();
}

void worker::serve(std::size_t entry, const net::http_request &request, const responder &respond)
{
    const worker_link link = m_links[entry];
    if (m_cut || !m_up || link.silent || link.cuts > 0) {
        abandonCall(m_loop, respond);
        return;
    }
    const responder answer = link.losesAnswers ? makeLostResponder(m_loop, respond) : respond;
    if (link.delay == 0) {
        carryOut(request, answer);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop);
    timer->expires_after(std::chrono::microseconds(link.delay));
    timer->async_wait([this, timer, request, answer](boost::system::error_code error) {
        if (!error && m_up) {
            // By the life that is there now. What has arrived is done, also behind a cut.
            carryOut(request, m_cut ? makeLostResponder(m_loop, answer) : answer);
        } else {
            abandonCall(m_loop, answer);
        }
    });
}

void worker::carryOut(const net::http_request &request, const responder &respond)
{
    rapidjson::Document order;
    if (net::findHeader(request.headers, "Expect-Instance") != m_settings.id) {
        respond(json(421, "{}"));
    } else if (!entry::parseObject(request.body, order)) {
        respond(json(400, "{}"));
    } else if (request.target == "/run-start") {
        startRun(order, respond);
    } else if (request.target == "/run-stop") {
        stopRun(order, respond);
    } else if (request.target == "/hold") {
        hold(order, respond);
    } else {
        respond(json(404, "{}"));
    }
}

bool worker::acceptToken(const rapidjson::Value &order, const responder &respond)
{
    const std::int64_t token = integerField(order, "fencingToken");
    if (token < m_token) {
        respond(json(409, R"({"reason":"fence","clockMs":)" + std::to_string(clockMs()) + "}"));
        return false;
    }
    m_token = token;
    return true;
}

void worker::extendLease(const rapidjson::Value &order)
{
    const std::int64_t deadline = integerField(order, "deadlineMs");
    if (deadline > 0) {
        const auto toSteady = [this](microseconds own) {
            return static_cast<microseconds>(static_cast<double>(own) / m_settings.clockRate);
        };
        const timestamp until = m_bornAt + toSteady(deadline * millisecond);
        m_leaseUntil =
            std::max(m_leaseUntil, std::min(until, steadyNow() + toSteady(longestLease)));
    }
}

void worker::startRun(const rapidjson::Value &order, const responder &respond)
{
    if (!acceptToken(order, respond)) {
        return;
    }
    const std::string task = textField(order, "task");
    const int attempt = static_cast<int>(integerField(order, "attempt"));
    const auto present = m_runs.find(task);
    const std::string clock = R"("clockMs":)" + std::to_string(clockMs()) + "}";
    if (present != m_runs.end() && present->second.attempt == attempt) {
        extendLease(order);
        respond(json(200, "{" + clock));
        return;
    }
    const auto closed = m_closedAttempts.find(task);
    if (present != m_runs.end()
        || (closed != m_closedAttempts.end() && attempt <= closed->second)) {
        extendLease(order);
        respond(json(409, R"({"reason":"old",)" + clock));
        return;
    }
    if (integerField(order, "deadlineMs") <= clockMs()) {
        respond(json(409, R"({"reason":"late",)" + clock));
        return;
    }
    extendLease(order);
    const auto [job, step] = stepOfTask(task);
    run started;
    started.attempt = attempt;
    started.behaviour = m_book.jobs.count(job) > 0 && step < m_book.jobs[job].size()
        ? m_book.jobs[job][step]
        : step_behaviour {};
    started.startedAt = steadyNow();
    started.record = m_book.runs.size();
    if (started.behaviour.gang) {
        started.gangKey = task.substr(0, task.rfind('.')) + "#" + std::to_string(attempt);
        auto &members = m_book.gangs[started.gangKey];
        if (++members.first == started.behaviour.count) {
            members.second = started.startedAt;
        }
    }
    m_book.begunJobs.insert(task.substr(0, task.find('.')));
    m_book.runs.push_back({task, attempt, m_settings.id, started.startedAt, 0, "", 0, false});
    m_runs.emplace(task, started);
    note("run: " + m_settings.id + " starts " + task + " attempt " + std::to_string(attempt));
    respond(json(200, "{" + clock));
}

void worker::stopRun(const rapidjson::Value &order, const responder &respond)
{
    if (!acceptToken(order, respond)) {
        return;
    }
    const std::string task = textField(order, "task");
    const int attempt = static_cast<int>(integerField(order, "attempt"));
    const auto present = m_runs.find(task);
    int &closed = m_closedAttempts[task];
    closed = std::max(closed, attempt);
    if (present != m_runs.end() && present->second.attempt <= attempt
        && present->second.stopEndsAt == 0) {
        present->second.stopEndsAt = steadyNow() + stopTime;
    }
    note("run: " + m_settings.id + " is told to stop " + task);
    respond(json(200, R"({"clockMs":)" + std::to_string(clockMs()) + "}"));
}

void worker::hold(const rapidjson::Value &order, const responder &respond)
{
    if (!acceptToken(order, respond)) {
        return;
    }
    const std::int64_t acknowledged = integerField(order, "ackCursor");
    while (!m_ended.empty() && m_ended.front().number <= acknowledged) {
        observed_run &run = m_book.runs[m_ended.front().record];
        run.acknowledgedAt = run.isLost ? 0 : steadyNow();
        m_ended.pop_front();
    }
    extendLease(order);
    const std::int64_t wait = std::min<std::int64_t>(integerField(order, "waitMs"), 2'000);
    if (wait <= 0 || !m_ended.empty()) {
        respond(json(200, report()));
        return;
    }
    m_waiters.push_back({steadyNow() + wait * millisecond, respond});
}

std::string worker::checkpointOf(const run &current, timestamp now) const
{
    const auto count = static_cast<long long>((now - current.startedAt) / checkpointInterval);
    if (!current.behaviour.checkpointing || count == 0) {
        return "";
    }
    char text[17];
    std::snprintf(text, sizeof(text), "%08llx%08llx", count,
                  static_cast<unsigned long long>(current.startedAt) & 0xffffffffULL);
    return text;
}

int worker::percentOf(const run &current, timestamp now) const
{
    timestamp from = current.startedAt;
    if (current.behaviour.gang) {
        from = m_book.gangs[current.gangKey].second;
        if (from == 0) {
            return 0;
        }
    }
    const microseconds length =
        current.behaviour.longRunning ? startupTime : current.behaviour.duration;
    return static_cast<int>(std::min<std::int64_t>(100, (now - from) * 100 / length));
}

std::string worker::report() const
{
    const timestamp now = steadyNow();
    return entry::writeObject([&](entry::json_writer &out) {
        put(out, "clockMs", clockMs());
        put(out, "born", m_bornMs);
        out.Key("running");
        out.StartArray();
        for (const auto &[task, current] : m_runs) {
            out.StartArray();
            entry::putText(out, task);
            out.Int(current.attempt);
            entry::putText(out, checkpointOf(current, now));
            out.Int(percentOf(current, now));
            out.Int64(current.behaviour.cpuMilli);
            out.EndArray();
        }
        out.EndArray();
        out.Key("finished");
        out.StartArray();
        for (std::size_t index = 0; index < std::min(m_ended.size(), maxEndsPerReport); ++index) {
            const ended_run &end = m_ended[index];
            out.StartArray();
            out.Int64(end.number);
            entry::putText(out, end.task);
            out.Int(end.attempt);
            entry::putText(out, end.how);
            entry::putText(out, end.checkpoint);
            out.EndArray();
        }
        out.EndArray();
    });
}

void worker::endRun(const std::string &task, const std::string &how)
{
    const auto found = m_runs.find(task);
    const run ended = found->second;
    const timestamp now = steadyNow();
    m_runs.erase(found);
    int &closed = m_closedAttempts[task];
    closed = std::max(closed, ended.attempt);
    m_ended.push_back(
        {++m_endCount, task, ended.attempt, how, checkpointOf(ended, now), ended.record});
    if (!ended.gangKey.empty() && how != "done") {
        --m_book.gangs[ended.gangKey].first;
    }
    m_book.runs[ended.record].endedAt = now;
    m_book.runs[ended.record].how = how;
    note("run: " + m_settings.id + " ends " + task + " attempt " + std::to_string(ended.attempt)
         + " " + how);
}

std::string worker::dueEnd(const run &current, timestamp now) const
{
    if (now >= m_leaseUntil) {
        return "lapsed";
    }
    if (current.stopEndsAt != 0 && now >= current.stopEndsAt) {
        return "stopped";
    }
    timestamp from = current.startedAt;
    if (current.behaviour.gang) {
        const auto &[present, since] = m_book.gangs[current.gangKey];
        if (since == 0) {
            return now >= current.startedAt + gangTimeout ? "alone" : "";
        }
        if (present < current.behaviour.count) {
            return "broken";
        }
        from = since;
    }
    const bool isDone = !current.behaviour.longRunning && now >= from + current.behaviour.duration;
    return isDone ? "done" : "";
}

void worker::tick()
{
    if (!m_up) {
        return;
    }
    const timestamp now = steadyNow();
    const std::map<std::string, run> runs = m_runs;
    for (const auto &[task, current] : runs) {
        const std::string how = dueEnd(current, now);
        if (!how.empty()) {
            endRun(task, how);
        }
    }
    if (now >= m_leaseUntil) {
        for (const ended_run &end : m_ended) {
            m_book.runs[end.record].isLost = true; // the lease lapsed before the acknowledgement
        }
    }
    if (m_cut) {
        return;
    }
    for (auto it = m_waiters.begin(); it != m_waiters.end();) {
        if (m_ended.empty() && now < it->expiresAt) {
            ++it;
            continue;
        }
        const responder respond = it->respond;
        it = m_waiters.erase(it);
        respond(json(200, report()));
    }
    if (m_mutes == 0 && now >= m_beatAt + heartbeatInterval) {
        beat();
    }
}

} // namespace bramleygrade::soak
