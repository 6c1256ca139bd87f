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

constexpr std::size_t callerServerThreadCount = 128;
constexpr std::int64_t defaultDeadlineMs = 10'000;
constexpr std::int64_t maxDeadlineMs = 60'000;
/// The core answers by the caller's deadline; a wait that exceeds the deadline by this grace period
/// means that the process itself is faulty.
constexpr microseconds coreAnswerGracePeriod = 2 * second;
constexpr std::size_t maxTextBytes = 128;
constexpr int statusBadRequest = 400;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

bool isPlainText(const std::string &text)
{
    return text.size() <= maxTextBytes && std::all_of(text.begin(), text.end(), [](char character) {
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

/// Returns an error message for invalid headers, or an empty string; sets `deadlineMs`.
std::string validateHeaders(const httplib::Request &request, std::int64_t &deadlineMs)
{
    const std::string team = request.get_header_value("Bramley-Team");
    if (team.empty() || !isPlainText(team)) {
        return "Bramley-Team: must name the calling team in 1 to 128 printable ASCII characters, "
               "without blanks, quotes or backslashes";
    }
    if (!isPlainText(request.get_header_value("Bramley-Request-Id"))
        || !isPlainText(request.path)) {
        return "path and Bramley-Request-Id: must have at most 128 printable ASCII characters, "
               "without blanks, quotes or backslashes";
    }
    deadlineMs = defaultDeadlineMs;
    const std::string deadline = request.get_header_value("Bramley-Deadline-Ms");
    if (!deadline.empty()
        && (!absl::SimpleAtoi(deadline, &deadlineMs) || deadlineMs <= 0
            || deadlineMs > maxDeadlineMs)) {
        return "Bramley-Deadline-Ms: must be a number of milliseconds from 1 to 60000";
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
    configureServer(m_server, callerServerThreadCount);
    m_server.Post(R"(/v1/services/([^/]+)(/.*)?)",
                  [this](const httplib::Request &request, httplib::Response &response) {
                      handleRequest(request, response);
                  });
    m_server.Get("/v1/request-id", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(generateRequestId() + "\n", "text/plain");
    });
    m_server.Get("/health", [this](const httplib::Request &, httplib::Response &response) {
        response.status = m_isHealthCheckFailing ? statusUnavailable : 200;
        response.set_content(m_isHealthCheckFailing ? "leaving\n" : "ok\n", "text/plain");
    });
    if (!m_server.bind_to_port(m_host.c_str(), m_port)) {
        return false;
    }
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    return true;
}

/// Returns a new id whose home is reachable, so that requests do not go to a home that is failing
/// over. When none of `maxAttempts` random ids has a reachable home, the last one is returned.
std::string caller_server::generateRequestId() const
{
    constexpr int maxAttempts = 256;
    thread_local std::mt19937_64 random(std::random_device {}());
    std::string id;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        id = absl::StrCat(currentTime() / millisecond, "-", absl::Hex(random(), absl::kZeroPad16));
        const std::uint32_t bit = std::uint32_t {1} << homeNumberOf(id);
        if ((m_reachableHomes & bit) != 0) {
            break;
        }
    }
    return id;
}

void caller_server::answer(std::uint64_t handle, bramleygrade::answer outcome)
{
    m_pendingAnswers.answer(handle, std::move(outcome));
}

void caller_server::writeResponse(const bramleygrade::answer &outcome, httplib::Response &response)
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

void caller_server::handleRequest(const httplib::Request &request, httplib::Response &response)
{
    std::int64_t deadlineMs = 0;
    const std::string problem = validateHeaders(request, deadlineMs);
    if (!problem.empty()) {
        writeResponse(makeRefusal(problem, statusBadRequest, 0), response);
        return;
    }
    if (m_isRefusingRequests) {
        bramleygrade::answer refusal =
            makeRefusal("this entry is shutting down; send the request to another entry", 0, 1);
        if (request.has_header("Bramley-Repeat")) {
            refusal.outcome = outcome::may_have_run;
        }
        writeResponse(refusal, response);
        return;
    }
    const timestamp now = currentTime();
    caller_request callerRequest;
    callerRequest.handle = m_pendingAnswers.add();
    callerRequest.service = request.matches[1];
    callerRequest.path = request.matches[2].matched ? std::string(request.matches[2]) : "/";
    callerRequest.team = request.get_header_value("Bramley-Team");
    callerRequest.request_id = request.get_header_value("Bramley-Request-Id");
    callerRequest.unrepeatable = !callerRequest.request_id.empty();
    callerRequest.is_repeat = request.has_header("Bramley-Repeat");
    callerRequest.deadline = now + deadlineMs * millisecond;
    callerRequest.body = request.body;
    const std::uint64_t handle = callerRequest.handle;
    const std::string logFields =
        absl::StrCat("team=", callerRequest.team, " service=", callerRequest.service,
                     " request=", callerRequest.request_id);
    if (!m_decisions.tryPush(decision_input {event {std::move(callerRequest)}})) {
        m_pendingAnswers.remove(handle);
        writeResponse(
            makeRefusal("decision queue of this entry is full or closed; retry after 200 ms", 0,
                        200),
            response);
        return;
    }
    const microseconds answerTimeout = deadlineMs * millisecond + coreAnswerGracePeriod;
    auto outcome = m_pendingAnswers.await(handle, absl::Now() + absl::Microseconds(answerTimeout));
    if (!outcome) {
        outcome = bramleygrade::answer {};
        outcome->outcome = outcome::may_have_run;
        outcome->reason = "decision thread of this entry did not answer in time; check whether the "
                          "request took effect before sending it again";
    }
    logInfo(absl::StrCat("event=request ", logFields, " outcome=", nameOf(outcome->outcome),
                         " worker=", outcome->worker, " ms=", (currentTime() - now) / millisecond,
                         " reason=\"", outcome->reason, "\""));
    writeResponse(*outcome, response);
}

} // namespace bramleygrade
