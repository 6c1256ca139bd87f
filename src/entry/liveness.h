#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "bramleygrade/values.h"

/// \file
/// Tells a busy entry from a dead one. An entry answers datagrams at its peer address from an event
/// loop of its own, which runs in a thread of its own, so that the answer comes while the entry's
/// event loop is blocked by long work. A process that has ended, is frozen, has no power or is cut
/// off does not answer.

namespace bramleygrade::entry {

/// State of an entry's event loop. Written by that loop and read by the responder's thread.
struct loop_state
{
    /// Epoch that the entry leads in; 0: it does not lead.
    std::atomic<std::int64_t> leadingEpoch {0};
    /// When the event loop last ran its timer.
    std::atomic<timestamp> turnedAt {distantPast};
};

/// An entry's answer about its event loop.
struct liveness_report
{
    std::int64_t leadingEpoch = 0;
    /// Time since the event loop last ran its timer.
    microseconds blockedFor = 0;
};

std::string encodeLiveness(const liveness_report &report);
std::optional<liveness_report> decodeLiveness(const std::string &text);

/// Answers the liveness queries that arrive at one address until it is destroyed; `loop` must not
/// run at that time. Both references must outlive it.
class liveness_responder
{
public:
    liveness_responder(boost::asio::io_context &loop, const loop_state &observed);
    ~liveness_responder();

    /// Returns an empty text, or an error message that names the cause.
    std::string listen(const std::string &address);

    struct state;

private:
    std::shared_ptr<state> m_state;
};

/// Asks the entry at `address`; the query is sent twice, as a datagram may be lost. Completes
/// exactly once, with nothing if no answer comes before `deadline`.
void queryLiveness(boost::asio::io_context &loop, const std::string &address, timestamp deadline,
                   std::function<void(std::optional<liveness_report>)> done);

} // namespace bramleygrade::entry
