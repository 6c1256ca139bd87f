#include "daemon/platform_client.h"

#include "bramleygrade/json_codec.h"
#include "daemon/clock.h"

namespace bramleygrade {

namespace {

constexpr std::size_t commandQueueCapacity = 256;
constexpr int transactionThreadCount = 3;
constexpr microseconds transactionTimeout = 2'500 * millisecond;
constexpr microseconds listPollInterval = second;
constexpr int statusOk = 200;
constexpr int statusNotModified = 304;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

table_result toTableResult(std::uint64_t operation, const http_result &http)
{
    table_result result;
    result.operation = operation;
    result.outcome = table_outcome::unknown;
    const bool isRefused = http.delivery == http_delivery::answered
        && (http.status == statusTooManyRequests || http.status == statusUnavailable);
    if (http.delivery == http_delivery::unsent || isRefused) {
        result.outcome = table_outcome::not_applied;
    } else if (http.delivery == http_delivery::answered && http.status == statusOk) {
        auto response = parseJson<table_response>(http.body);
        if (response) {
            result.outcome =
                response->committed ? table_outcome::committed : table_outcome::conflict;
            result.rows = std::move(response->rows);
        }
    }
    return result;
}

} // namespace

platform_client::platform_client(std::string host, int port, decision_queue &decisions)
    : m_host(std::move(host))
    , m_port(port)
    , m_decisions(decisions)
    , m_commands(commandQueueCapacity)
{
}

platform_client::~platform_client()
{
    m_commands.close();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void platform_client::start()
{
    for (int number = 0; number < transactionThreadCount; ++number) {
        m_threads.emplace_back([this] { runTransactions(); });
    }
    m_threads.emplace_back([this] { pollInstanceList(); });
}

void platform_client::submit(table_command command)
{
    table_result refused;
    refused.operation = command.operation;
    refused.outcome = table_outcome::not_applied;
    if (!m_commands.tryPush(std::move(command))) {
        reportResult(std::move(refused));
    }
}

void platform_client::reportResult(table_result result)
{
    // A result is dropped when the decision queue is full; the core then treats the operation as
    // unanswered when its response timeout expires.
    m_decisions.tryPush(decision_input {event {std::move(result)}});
}

void platform_client::runTransactions()
{
    while (!m_commands.isClosed()) {
        const auto command = m_commands.popUntil(absl::InfiniteFuture());
        if (!command) {
            continue;
        }
        const timestamp now = currentTime();
        const http_result http =
            m_connections.post(m_host, m_port, "/table", {}, toJson(*command->request),
                               now + transactionTimeout, now + transactionTimeout);
        reportResult(toTableResult(command->operation, http));
    }
}

void platform_client::pollInstanceList()
{
    std::string entityTag;
    while (!m_commands.isClosed()) {
        const timestamp now = currentTime();
        const http_result http =
            m_connections.post(m_host, m_port, "/list", {{"If-None-Match", entityTag}}, "",
                               now + transactionTimeout, now + transactionTimeout);
        if (http.delivery == http_delivery::answered && http.status == statusNotModified) {
            list_update unchanged;
            unchanged.is_unchanged = true;
            unchanged.asked_at = now;
            m_decisions.tryPush(decision_input {event {std::move(unchanged)}});
        } else if (http.delivery == http_delivery::answered && http.status == statusOk) {
            auto list = parseJson<list_update>(http.body);
            if (list) {
                list->asked_at = now;
            }
            if (list && m_decisions.tryPush(decision_input {event {std::move(*list)}})) {
                entityTag = http.entityTag;
            }
        }
        absl::SleepFor(absl::Microseconds(listPollInterval));
    }
}

} // namespace bramleygrade
