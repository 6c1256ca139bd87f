#include "daemon/worker_client.h"

#include <algorithm>

#include "bramleygrade/json_codec.h"
#include "daemon/clock.h"

namespace bramleygrade {

namespace {

constexpr int requestThreadCount = 96;
constexpr int callThreadCount = 8;
constexpr std::size_t requestQueueCapacity = 1024;
constexpr std::size_t callQueueCapacity = 1024;
/// Allowance after the caller's deadline for the network transfer of the endpoint's answer.
constexpr microseconds endpointAnswerGracePeriod = 200 * millisecond;
constexpr microseconds callTimeout = 2 * second;
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

/// Maps the result of an HTTP call to an outcome. An endpoint responds with 503 when it rejects a
/// request before starting it, which makes a retry safe, and with 410 when it is shutting down.
endpoint_outcome toEndpointOutcome(const http_result &http)
{
    switch (http.delivery) {
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
    , m_requests(requestQueueCapacity)
    , m_calls(callQueueCapacity)
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
    for (int number = 0; number < requestThreadCount; ++number) {
        m_threads.emplace_back([this] { runRequests(); });
    }
    for (int number = 0; number < callThreadCount; ++number) {
        m_threads.emplace_back([this] { runCalls(); });
    }
}

void worker_client::submit(dispatch_request command)
{
    endpoint_result refused;
    refused.attempt = command.attempt;
    refused.outcome = endpoint_outcome::too_late;
    if (!m_requests.tryPush(std::move(command))) {
        reportResult(std::move(refused));
    }
}

void worker_client::submit(worker_call command)
{
    worker_result refused;
    refused.call = command.call;
    refused.worker = command.worker;
    refused.kind = command.kind;
    refused.asked_at = currentTime();
    if (command.order != nullptr) {
        refused.order = std::make_unique<task_order>(*command.order);
    }
    if (!m_calls.tryPush(std::move(command))) {
        reportResult(std::move(refused));
    }
}

/// Blocks until the decision queue accepts `result` or is closed. A result must not be lost because
/// the core releases the slot of a call only when it receives the result.
void worker_client::reportResult(event result)
{
    decision_input input {std::move(result)};
    while (!m_decisions.tryPush(input) && !m_decisions.isClosed()) {
        absl::SleepFor(absl::Milliseconds(1));
    }
}

void worker_client::runRequests()
{
    while (!m_requests.isClosed()) {
        const auto command = m_requests.popUntil(absl::InfiniteFuture());
        if (command) {
            sendRequest(*command);
        }
    }
}

void worker_client::sendRequest(const dispatch_request &command)
{
    endpoint_result result;
    result.attempt = command.attempt;
    if (currentTime() >= command.start_by) {
        result.outcome = endpoint_outcome::too_late;
        reportResult(std::move(result));
        return;
    }
    httplib::Headers headers;
    if (!command.request_id.empty()) {
        headers.emplace("Bramley-Request-Id", command.request_id);
    }
    headers.emplace("Bramley-Start-By", std::to_string(command.start_by));
    const http_result http =
        m_connections.post(command.host, command.port, command.path, headers, command.body,
                           command.start_by, command.deadline + endpointAnswerGracePeriod);
    result.outcome = toEndpointOutcome(http);
    result.status = http.status;
    result.body = http.body;
    result.is_leaving = http.isLeaving;
    reportResult(std::move(result));
}

void worker_client::runCalls()
{
    while (!m_calls.isClosed()) {
        const auto command = m_calls.popUntil(absl::InfiniteFuture());
        if (command) {
            sendCall(*command);
        }
    }
}

void worker_client::sendCall(const worker_call &command)
{
    worker_result result;
    result.call = command.call;
    result.worker = command.worker;
    result.kind = command.kind;
    result.asked_at = currentTime();
    const timestamp callDeadline = result.asked_at + callTimeout;
    const timestamp startBy = command.kind == worker_call_kind::start && command.order != nullptr
        ? command.order->start_by
        : callDeadline;
    const std::string body = command.order == nullptr ? "{}" : toJson(*command.order);
    const http_result http = m_connections.post(command.host, command.port, pathOf(command.kind),
                                                {}, body, startBy, callDeadline);
    result.reached = http.delivery != http_delivery::unsent;
    result.accepted = http.delivery == http_delivery::answered && http.status == statusOk;
    if (command.order != nullptr) {
        result.order = std::make_unique<task_order>(*command.order);
    }
    if (http.delivery == http_delivery::answered) {
        auto report = parseJson<worker_report>(http.body);
        if (report) {
            result.seen = std::make_unique<worker_report>(std::move(*report));
        }
    }
    reportResult(std::move(result));
}

} // namespace bramleygrade
