#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "net/busy_meter.h"
#include "net/http_message.h"
#include "net/receive_budget.h"

namespace bramleygrade::net {

/// HTTP/1.1 client on one event loop, with persistent connections.
///
///     http_client client(loop, now);
///     client.send({"127.0.0.1:8080", "GET", "/rows"}, [](call_result result) { ... });
///
/// Each call completes exactly once, at its deadline at the latest, or at its `completeBy` if the
/// response is arriving. A call that fails or times out resets its connection, so that bytes still
/// in transit are dropped.
class http_client
{
public:
    using clock_function = timestamp (*)();
    using completion = std::function<void(call_result)>;

    /// With a meter, the events of a call are attributed to the duty that is current at its `send`.
    http_client(boost::asio::io_context &loop, clock_function now, busy_meter *meter = nullptr);
    ~http_client();

    void send(http_call call, completion done);

    /// Sets the number of connections beyond which the idle ones that were used longest ago are
    /// closed. Connections in use are not limited.
    void limitConnections(std::size_t most);

    /// Sets the budget for the answers that are being read, which must outlive the client's calls;
    /// null: none. A call whose answer exceeds it ends unanswered.
    void limitReceived(receive_budget *budget);

    /// Returns the number of calls that ended because their answers exceeded a limit.
    std::uint64_t answersBeyondLimits() const;

    /// Returns the number of connections opened so far.
    std::uint64_t connectionsOpened() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace bramleygrade::net
