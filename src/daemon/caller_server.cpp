#include "daemon/caller_server.h"

#include <algorithm>
#include <random>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "bramleygrade/inspection.h"
#include "bramleygrade/json_codec.h"
#include "daemon/clock.h"
#include "daemon/log.h"

namespace bramleygrade {

namespace {

constexpr std::size_t serverThreads = 128;
constexpr std::int64_t defaultDeadlineMs = 10'000;
constexpr std::int64_t longestDeadlineMs = 60'000;
/// The core answers at the deadline; this much later something is wrong with the process itself.
constexpr microseconds answerGrace = 2 * second;
constexpr std::size_t textLengthLimit = 128;
constexpr int statusBadRequest = 400;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

bool isPlainText(const std::string &text)
{
    return text.size() <= textLengthLimit
        && std::all_of(text.begin(), text.end(), [](char character) {
               return character > ' ' && character < '\x7f' && character != '"'
                   && character != '\\';
           });
}

const char *nameOf(outcome value)
{
    switch (value) {
    case outcome::done:
        return "done";
    case outcome::not_run:
        return "not-run";
    case outcome::may_have_run:
        return "may-have-run";
    }
    return "may-have-run";
}

answer makeRefusal(std::string reason, int status, int retryAfterMs)
{
    answer outcome;
    outcome.outcome = outcome::not_run;
    outcome.reason = std::move(reason);
    outcome.status = status;
    outcome.retry_after_ms = retryAfterMs;
    return outcome;
}

/// What is wrong with the headers, or nothing.
std::string explainHeaders(const httplib::Request &request, std::int64_t &deadlineMs)
{
    const std::string team = request.get_header_value("Bramley-Team");
    if (team.empty() || !isPlainText(team)) {
        return "Bramley-Team: name the calling team in up to 128 printable characters";
    }
    if (!isPlainText(request.get_header_value("Bramley-Request-Id"))
        || !isPlainText(request.path)) {
        return "path and Bramley-Request-Id: use up to 128 printable characters";
    }
    deadlineMs = defaultDeadlineMs;
    const std::string deadline = request.get_header_value("Bramley-Deadline-Ms");
    if (!deadline.empty()
        && (!absl::SimpleAtoi(deadline, &deadlineMs) || deadlineMs <= 0
            || deadlineMs > longestDeadlineMs)) {
        return "Bramley-Deadline-Ms: give the milliseconds you can wait, 1 to 60000";
    }
    return {};
}

} // namespace

caller_server::caller_server(std::string host, int port, decision_queue &decisions)
    : m_host(std::move(host))
    , m_port(port)
    , m_decisions(decisions)
{
}

caller_server::~caller_server()
{
    m_server.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool caller_server::start()
{
    configureServer(m_server, serverThreads);
    m_server.Post(R"(/v1/services/([^/]+)(/.*)?)",
                  [this](const httplib::Request &request, httplib::Response &response) {
                      serve(request, response);
                  });
    m_server.Get("/v1/request-id", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(newRequestId() + "\n", "text/plain");
    });
    m_server.Get("/health", [this](const httplib::Request &, httplib::Response &response) {
        response.status = m_isLeaving ? statusUnavailable : 200;
        response.set_content(m_isLeaving ? "leaving\n" : "ok\n", "text/plain");
    });
    if (!m_server.bind_to_port(m_host.c_str(), m_port)) {
        return false;
    }
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    return true;
}

/// An id whose home can be reached now, so that a caller is not sent to one that is being replaced.
std::string caller_server::newRequestId() const
{
    constexpr int drawLimit = 256;
    thread_local std::mt19937_64 random(std::random_device {}());
    std::string id;
    for (int draw = 0; draw < drawLimit; ++draw) {
        id = absl::StrCat(currentTime() / millisecond, "-", absl::Hex(random(), absl::kZeroPad16));
        const std::uint32_t bit = std::uint32_t {1} << homeNumberOf(id);
        if ((m_homes & bit) != 0) {
            break;
        }
    }
    return id;
}

void caller_server::answer(std::uint64_t handle, bramleygrade::answer outcome)
{
    m_room.answer(handle, std::move(outcome));
}

void caller_server::respond(const bramleygrade::answer &outcome, httplib::Response &response)
{
    response.set_header("Bramley-Outcome", nameOf(outcome.outcome));
    if (outcome.outcome == outcome::done) {
        response.status = outcome.status;
        response.set_header("Bramley-Worker", outcome.worker);
        response.set_content(outcome.body, "application/octet-stream");
        return;
    }
    const bool isNotRun = outcome.outcome == outcome::not_run;
    response.status = outcome.status != 0 ? outcome.status
                                          : (isNotRun ? statusUnavailable : statusGatewayTimeout);
    if (isNotRun) {
        const int seconds = (std::max(outcome.retry_after_ms, 1) + 999) / 1000;
        response.set_header("Retry-After", std::to_string(seconds));
        response.set_header("Bramley-Retry-After-Ms", std::to_string(outcome.retry_after_ms));
    }
    response.set_content(toJson(outcome) + "\n", "application/json");
}

void caller_server::serve(const httplib::Request &request, httplib::Response &response)
{
    std::int64_t deadlineMs = 0;
    const std::string problem = explainHeaders(request, deadlineMs);
    if (!problem.empty()) {
        respond(makeRefusal(problem, statusBadRequest, 0), response);
        return;
    }
    if (m_isClosed) {
        bramleygrade::answer refusal = makeRefusal("this entry is leaving; ask another one", 0, 1);
        if (request.has_header("Bramley-Repeat")) {
            refusal.outcome = outcome::may_have_run;
        }
        respond(refusal, response);
        return;
    }
    const timestamp now = currentTime();
    caller_request wanted;
    wanted.handle = m_room.add();
    wanted.service = request.matches[1];
    wanted.path = request.matches[2].matched ? std::string(request.matches[2]) : "/";
    wanted.team = request.get_header_value("Bramley-Team");
    wanted.request_id = request.get_header_value("Bramley-Request-Id");
    wanted.unrepeatable = !wanted.request_id.empty();
    wanted.is_repeat = request.has_header("Bramley-Repeat");
    wanted.deadline = now + deadlineMs * millisecond;
    wanted.body = request.body;
    const std::uint64_t handle = wanted.handle;
    const std::string line = absl::StrCat("team=", wanted.team, " service=", wanted.service,
                                          " request=", wanted.request_id);
    if (!m_decisions.tryPush(decision_input {event {std::move(wanted)}})) {
        m_room.remove(handle);
        respond(makeRefusal("this entry is overloaded; come back later", 0, 200), response);
        return;
    }
    const microseconds patience = deadlineMs * millisecond + answerGrace;
    auto outcome = m_room.await(handle, absl::Now() + absl::Microseconds(patience));
    if (!outcome) {
        outcome = bramleygrade::answer {};
        outcome->outcome = outcome::may_have_run;
        outcome->reason = "this entry did not decide in time; look up the effect of the request";
    }
    logInfo(absl::StrCat("event=request ", line, " outcome=", nameOf(outcome->outcome),
                         " worker=", outcome->worker, " ms=", (currentTime() - now) / millisecond,
                         " reason=\"", outcome->reason, "\""));
    respond(*outcome, response);
}

} // namespace bramleygrade
