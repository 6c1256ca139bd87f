#include "daemon/http.h"

#include <algorithm>

#include "daemon/clock.h"
#include "daemon/log.h"

namespace bramleygrade {

namespace {

constexpr microseconds connectTimeout = second;
/// A connection that was idle for longer may be closed on the remote side and is not reused.
constexpr microseconds clientIdleTimeout = 10 * second;
constexpr std::size_t maxIdlePerAddress = 16;
constexpr std::size_t maxPayloadBytes = 2ul * 1024 * 1024;
/// A call whose answer has a larger body counts as lost.
constexpr std::size_t maxAnswerBytes = 16ul * 1024 * 1024;
constexpr time_t serverReadWriteTimeoutSeconds = 5;
/// Idle server connections are closed after this time because each occupies a server thread.
constexpr time_t serverKeepAliveTimeoutSeconds = 2;

std::string addressOf(const std::string &host, int port)
{
    return host + ":" + std::to_string(port);
}

void setTimeouts(bounded_client &client, timestamp now, timestamp deadline)
{
    const microseconds remaining = std::max<microseconds>(deadline - now, millisecond);
    const microseconds connect = std::min(remaining, connectTimeout);
    client.set_connection_timeout(connect / second, connect % second);
    client.set_read_timeout(remaining / second, remaining % second);
    client.setReadBy(deadline);
    client.set_write_timeout(connect / second, connect % second);
}

http_delivery toDelivery(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::BindIPAddress
        ? http_delivery::unsent
        : http_delivery::lost;
}

} // namespace

std::unique_ptr<bounded_client> connection_pool::acquire(const std::string &address)
{
    absl::MutexLock lock(&m_mutex);
    std::vector<idle_connection> &idle = m_idle[address];
    while (!idle.empty()) {
        idle_connection connection = std::move(idle.back());
        idle.pop_back();
        if (connection.reusableUntil > currentTime()) {
            return std::move(connection.client);
        }
    }
    return nullptr;
}

void connection_pool::release(const std::string &address, std::unique_ptr<bounded_client> client)
{
    absl::MutexLock lock(&m_mutex);
    std::vector<idle_connection> &idle = m_idle[address];
    if (idle.size() < maxIdlePerAddress) {
        idle.push_back({std::move(client), currentTime() + clientIdleTimeout});
    }
}

std::size_t connection_pool::idleConnectionCount() const
{
    absl::MutexLock lock(&m_mutex);
    std::size_t count = 0;
    for (const auto &[address, idle] : m_idle) {
        count += idle.size();
    }
    return count;
}

http_result connection_pool::post(const std::string &host, int port, const std::string &path,
                                  const httplib::Headers &headers, const std::string &body,
                                  timestamp startBy, timestamp deadline)
{
    const std::string address = addressOf(host, port);
    std::unique_ptr<bounded_client> client = acquire(address);
    if (client == nullptr) {
        client = std::make_unique<bounded_client>(host, port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
    }
    http_result result;
    const timestamp now = currentTime();
    if (now >= std::min(startBy, deadline)) {
        release(address, std::move(client));
        return result;
    }
    setTimeouts(*client, now, deadline);
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.headers = headers;
    request.headers.emplace("Content-Type", "application/json");
    request.body = body;
    request.content_receiver = [&result](const char *part, std::size_t size, std::uint64_t,
                                         std::uint64_t) {
        if (size > maxAnswerBytes - result.body.size()) {
            return false;
        }
        result.body.append(part, size);
        return true;
    };
    const httplib::Result response = client->send(request);
    if (!response) {
        if (response.error() == httplib::Error::Canceled || !result.body.empty()) {
            logWarning("event=answer-dropped address=" + address
                       + " bytes=" + std::to_string(result.body.size())
                       + " reason=\"it is incomplete or exceeds the limit of answers\"");
        }
        result.body.clear();
        result.delivery = toDelivery(response.error());
        absl::MutexLock lock(&m_mutex);
        m_idle.erase(address);
        return result;
    }
    result.delivery = http_delivery::answered;
    result.status = response->status;
    result.isLeaving = response->has_header("Bramley-Leaving");
    result.entityTag = response->get_header_value("ETag");
    release(address, std::move(client));
    return result;
}

bool isEqualInConstantTime(const std::string &left, const std::string &right)
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t index = 0; index < std::min(left.size(), right.size()); ++index) {
        difference |=
            static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(right[index]);
    }
    return difference == 0;
}

void configureServer(httplib::Server &server, std::size_t threads)
{
    server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server.set_payload_max_length(maxPayloadBytes);
    server.set_read_timeout(serverReadWriteTimeoutSeconds, 0);
    server.set_write_timeout(serverReadWriteTimeoutSeconds, 0);
    server.set_keep_alive_timeout(serverKeepAliveTimeoutSeconds);
    server.set_keep_alive_max_count(100'000);
    server.set_tcp_nodelay(true);
}

} // namespace bramleygrade
