#include "daemon/platform_client.h"

#include "bramleygrade/json_codec.h"
#include "daemon/clock.h"

namespace bramleygrade {

namespace {

constexpr std::size_t commandCapacity = 256;
constexpr int transactionThreads = 3;
constexpr microseconds transactionLimit = 2'500 * millisecond;
constexpr microseconds listInterval = second;
constexpr int statusOk = 200;
constexpr int statusNotModified = 304;
constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;

table_result interpret(std::uint64_t operation, const http_result &http)
{
    table_result result;
    result.operation = operation;
    result.outcome = table_outcome::unknown;
    const bool isRefused = http.end == http_delivery::answered
        && (http.status == statusTooMany || http.status == statusUnavailable);
    if (http.end == http_delivery::unsent || isRefused) {
        result.outcome = table_outcome::not_applied;
    } else if (http.end == http_delivery::answered && http.status == statusOk) {
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
    , m_commands(commandCapacity)
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
    for (int number = 0; number < transactionThreads; ++number) {
        m_threads.emplace_back([this] { runTransactions(); });
    }
    m_threads.emplace_back([this] { runList(); });
}

void platform_client::submit(table_command wanted)
{
    table_result refused;
    refused.operation = wanted.operation;
    refused.outcome = table_outcome::not_applied;
    if (!m_commands.tryPush(std::move(wanted))) {
        finish(std::move(refused));
    }
}

void platform_client::finish(table_result result)
{
    // A result that finds the ring full counts as lost; the core gives up on it in time.
    m_decisions.tryPush(decision_input {event {std::move(result)}});
}

void platform_client::runTransactions()
{
    while (!m_commands.isClosed()) {
        const auto wanted = m_commands.popUntil(absl::InfiniteFuture());
        if (!wanted) {
            continue;
        }
        const timestamp now = currentTime();
        const http_result http =
            m_connections.post(m_host, m_port, "/table", {}, toJson(*wanted->request),
                               now + transactionLimit, now + transactionLimit);
        finish(interpret(wanted->operation, http));
    }
}

void platform_client::runList()
{
    std::string entityTag;
    while (!m_commands.isClosed()) {
        const timestamp now = currentTime();
        const http_result http =
            m_connections.post(m_host, m_port, "/list", {{"If-None-Match", entityTag}}, "",
                               now + transactionLimit, now + transactionLimit);
        if (http.end == http_delivery::answered && http.status == statusNotModified) {
            list_update unchanged;
            unchanged.is_unchanged = true;
            unchanged.asked_at = now;
            m_decisions.tryPush(decision_input {event {std::move(unchanged)}});
        } else if (http.end == http_delivery::answered && http.status == statusOk) {
            auto list = parseJson<list_update>(http.body);
            if (list) {
                list->asked_at = now;
            }
            if (list && m_decisions.tryPush(decision_input {event {std::move(*list)}})) {
                entityTag = http.entityTag;
            }
        }
        absl::SleepFor(absl::Microseconds(listInterval));
    }
}

} // namespace bramleygrade
