#include "daemon/peer_transport.h"

#include <algorithm>

#include "absl/strings/escaping.h"
#include "bramleygrade/json_codec.h"
#include "daemon/clock.h"
#include "daemon/log.h"
#include "rpc/peer_rpc.h"

namespace bramleygrade {

namespace {

constexpr std::size_t messageQueueCapacity = 1024;
constexpr std::size_t maxBatchMessages = 64;
constexpr microseconds deliveryTimeout = 1'500 * millisecond;
constexpr std::size_t peerServerThreadCount = 16;
constexpr int statusOk = 200;
constexpr int statusForbidden = 403;
constexpr char rpcPath[] = "/peer";

/// Applies `convert` to the request and response bodies in `message`. Bodies are Base64-encoded on
/// the wire because they may hold arbitrary bytes, which JSON strings cannot.
template <typename Convert>
void convertBodies(peer_message &message, Convert convert)
{
    if (auto *forward = message.body.Asforward_request()) {
        forward->body = convert(forward->body);
    } else if (auto *answered = message.body.Asforward_answer()) {
        if (answered->outcome != nullptr) {
            answered->outcome->body = convert(answered->outcome->body);
        }
    }
}

std::string encodeBase64(const std::string &bytes)
{
    return absl::Base64Escape(bytes);
}

std::string decodeBase64(const std::string &text)
{
    std::string bytes;
    absl::Base64Unescape(text, &bytes);
    return bytes;
}

/// Pushes the messages of a batch to the decision queue until it is full; returns the number
/// pushed.
int enqueueBatch(const std::string &text, decision_queue &decisions)
{
    auto batch = parseJson<peer_batch>(text);
    if (!batch) {
        logWarning("event=peer-batch-refused reason=\"" + batch.error().message + "\"");
        return 0;
    }
    int acceptedCount = 0;
    for (auto &message : batch->messages) {
        convertBodies(*message, decodeBase64);
        if (!decisions.tryPush(decision_input {event {std::move(*message)}})) {
            break;
        }
        ++acceptedCount;
    }
    return acceptedCount;
}

} // namespace

peer_sender::peer_sender(peer_address address, std::string cellKey, decision_queue &decisions)
    : m_address(std::move(address))
    , m_cellKey(std::move(cellKey))
    , m_decisions(decisions)
    , m_messages(messageQueueCapacity)
    , m_thread([this] { run(); })
{
}

peer_sender::~peer_sender()
{
    m_messages.close();
    m_thread.join();
}

void peer_sender::submit(peer_message message)
{
    if (!m_messages.tryPush(message)) {
        reportUndelivered(message, false);
    }
}

void peer_sender::reportUndelivered(const peer_message &message, bool mayHaveArrived)
{
    undelivered notice;
    notice.message = std::make_unique<peer_message>(message);
    notice.may_have_arrived = mayHaveArrived;
    m_decisions.tryPush(decision_input {event {std::move(notice)}});
}

void peer_sender::run()
{
    while (!m_messages.isClosed()) {
        auto first = m_messages.popUntil(absl::InfiniteFuture());
        if (!first) {
            continue;
        }
        std::vector<peer_message> messages = m_messages.popAvailable(maxBatchMessages - 1);
        messages.insert(messages.begin(), std::move(*first));
        deliver(messages);
    }
}

void peer_sender::deliver(const std::vector<peer_message> &messages)
{
    peer_batch batch;
    for (const peer_message &message : messages) {
        auto copy = std::make_unique<peer_message>(message);
        convertBodies(*copy, encodeBase64);
        batch.messages.push_back(std::move(copy));
    }
    http_delivery delivery = http_delivery::unsent;
    peer_rpc_client client([this, &delivery](const std::string &request, std::string &response) {
        const timestamp deadline = currentTime() + deliveryTimeout;
        const http_result http =
            m_connections.post(m_address.host, m_address.port, rpcPath,
                               {{cellKeyHeader, m_cellKey}}, request, deadline, deadline);
        delivery = http.delivery;
        response = http.body;
        return http.delivery == http_delivery::answered && http.status == statusOk;
    });
    const int acceptedCount = client.deliver(toJson(batch));
    const bool mayHaveArrived = acceptedCount < 0 && delivery != http_delivery::unsent;
    for (std::size_t index = static_cast<std::size_t>(std::max(acceptedCount, 0));
         index < messages.size(); ++index) {
        reportUndelivered(messages[index], mayHaveArrived);
    }
}

peer_sender_pool::peer_sender_pool(std::string cellKey, decision_queue &decisions)
    : m_cellKey(std::move(cellKey))
    , m_decisions(decisions)
{
}

void peer_sender_pool::send(const peer_address &address, peer_message message)
{
    auto &sender = m_senders[message.to];
    if (sender == nullptr) {
        sender = std::make_unique<peer_sender>(address, m_cellKey, m_decisions);
    }
    sender->submit(std::move(message));
}

void peer_sender_pool::retainPeers(const std::map<std::string, peer_address> &known)
{
    const timestamp now = currentTime();
    for (auto item = m_senders.begin(); item != m_senders.end();) {
        if (known.count(item->first) > 0) {
            ++item;
            continue;
        }
        item->second->close();
        m_retired.push_back({std::move(item->second), now + 2 * deliveryTimeout});
        item = m_senders.erase(item);
    }
    const auto isDestructionDue = [now](const retired_sender &retired) {
        return retired.destroyAt <= now;
    };
    m_retired.erase(std::remove_if(m_retired.begin(), m_retired.end(), isDestructionDue),
                    m_retired.end());
}

peer_server::peer_server(std::string host, int port, std::string cellKey, decision_queue &decisions)
    : m_host(std::move(host))
    , m_port(port)
    , m_cellKey(std::move(cellKey))
    , m_decisions(decisions)
{
}

peer_server::~peer_server()
{
    m_server.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool peer_server::start()
{
    configureServer(m_server, peerServerThreadCount);
    auto rpc = std::make_shared<peer_rpc_server>(
        [this](const std::string &batch) { return enqueueBatch(batch, m_decisions); });
    m_server.Post(
        rpcPath, [this, rpc](const httplib::Request &request, httplib::Response &response) {
            if (!isEqualInConstantTime(request.get_header_value(cellKeyHeader), m_cellKey)) {
                response.status = statusForbidden;
                return;
            }
            response.set_content(rpc->handle(request.body), "application/json");
        });
    if (!m_server.bind_to_port(m_host.c_str(), m_port)) {
        return false;
    }
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    return true;
}

} // namespace bramleygrade
