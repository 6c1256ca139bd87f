#include "daemon/worker_client.h"

#include <algorithm>

#include "bramleygrade/json_codec.h"
#include "daemon/clock.h"

namespace bramleygrade {

namespace {

constexpr int requestThreads = 96;
constexpr int callThreads = 8;
constexpr std::size_t requestCapacity = 1024;
constexpr std::size_t callCapacity = 1024;
/// The endpoint's answer may cross the network this much after the caller's deadline.
constexpr microseconds answerGrace = 200 * millisecond;
constexpr microseconds callLimit = 2 * second;
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr int statusGone = 410;

const char *pathOf(worker_call_kind kind)
{
    switch (kind) {
    case worker_call_kind::poll:
        return "/worker/report";
    case worker_call_kind::start:
        return "/worker/start";
    case worker_call_kind::stop:
        return "/worker/stop";
    case worker_call_kind::checkpoint:
        return "/worker/checkpoint";
    case worker_call_kind::forget:
        return "/worker/forget";
    }
    return "/worker/report";
}

/// An endpoint refuses with 503 and `Retry-After`-like meaning before it starts anything; 410 says
/// that it is leaving.
endpoint_outcome interpret(const http_result &http)
{
    switch (http.end) {
    case http_delivery::answered:
        return http.status == statusUnavailable || http.status == statusGone
            ? endpoint_outcome::refused
            : endpoint_outcome::answered;
    case http_delivery::unsent:
        return endpoint_outcome::not_sent;
    case http_delivery::lost:
        return endpoint_outcome::lost;
    }
    return endpoint_outcome::lost;
}

} // namespace

worker_client::worker_client(decision_queue &decisions)
    : m_decisions(decisions)
    , m_requests(requestCapacity)
    , m_calls(callCapacity)
{
}

worker_client::~worker_client()
{
    m_requests.close();
    m_calls.close();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void worker_client::start()
{
    for (int number = 0; number < requestThreads; ++number) {
        m_threads.emplace_back([this] { runRequests(); });
    }
    for (int number = 0; number < callThreads; ++number) {
        m_threads.emplace_back([this] { runCalls(); });
    }
}

void worker_client::submit(dispatch_request wanted)
{
    endpoint_result refused;
    refused.attempt = wanted.attempt;
    refused.outcome = endpoint_outcome::too_late;
    if (!m_requests.tryPush(std::move(wanted))) {
        finish(std::move(refused));
    }
}

void worker_client::submit(worker_call wanted)
{
    worker_result refused;
    refused.call = wanted.call;
    refused.worker = wanted.worker;
    refused.kind = wanted.kind;
    refused.asked_at = currentTime();
    if (wanted.order != nullptr) {
        refused.order = std::make_unique<task_order>(*wanted.order);
    }
    if (!m_calls.tryPush(std::move(wanted))) {
        finish(std::move(refused));
    }
}

/// Results free slots, so that they must not be lost: the sender waits for room.
void worker_client::finish(event result)
{
    decision_input input {std::move(result)};
    while (!m_decisions.tryPush(input) && !m_decisions.isClosed()) {
        absl::SleepFor(absl::Milliseconds(1));
    }
}

void worker_client::runRequests()
{
    while (!m_requests.isClosed()) {
        const auto wanted = m_requests.popUntil(absl::InfiniteFuture());
        if (wanted) {
            sendRequest(*wanted);
        }
    }
}

void worker_client::sendRequest(const dispatch_request &wanted)
{
    endpoint_result result;
    result.attempt = wanted.attempt;
    if (currentTime() >= wanted.start_by) {
        result.outcome = endpoint_outcome::too_late;
        finish(std::move(result));
        return;
    }
    httplib::Headers headers;
    if (!wanted.request_id.empty()) {
        headers.emplace("Bramley-Request-Id", wanted.request_id);
    }
    headers.emplace("Bramley-Start-By", std::to_string(wanted.start_by));
    const http_result http =
        m_connections.post(wanted.host, wanted.port, wanted.path, headers, wanted.body,
                           wanted.start_by, wanted.deadline + answerGrace);
    result.outcome = interpret(http);
    result.status = http.status;
    result.body = http.body;
    result.is_leaving = http.isLeaving;
    finish(std::move(result));
}

void worker_client::runCalls()
{
    while (!m_calls.isClosed()) {
        const auto wanted = m_calls.popUntil(absl::InfiniteFuture());
        if (wanted) {
            sendCall(*wanted);
        }
    }
}

void worker_client::sendCall(const worker_call &wanted)
{
    worker_result result;
    result.call = wanted.call;
    result.worker = wanted.worker;
    result.kind = wanted.kind;
    result.asked_at = currentTime();
    const timestamp limit = result.asked_at + callLimit;
    const timestamp startBy = wanted.kind == worker_call_kind::start && wanted.order != nullptr
        ? wanted.order->start_by
        : limit;
    const std::string body = wanted.order == nullptr ? "{}" : toJson(*wanted.order);
    const http_result http =
        m_connections.post(wanted.host, wanted.port, pathOf(wanted.kind), {}, body, startBy, limit);
    result.reached = http.end != http_delivery::unsent;
    result.accepted = http.end == http_delivery::answered && http.status == statusOk;
    if (wanted.order != nullptr) {
        result.order = std::make_unique<task_order>(*wanted.order);
    }
    if (http.end == http_delivery::answered) {
        auto report = parseJson<worker_report>(http.body);
        if (report) {
            result.seen = std::make_unique<worker_report>(std::move(*report));
        }
    }
    finish(std::move(result));
}

} // namespace bramleygrade
