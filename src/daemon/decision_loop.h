#pragma once

#include <functional>
#include <thread>
#include <variant>

#include "bramleygrade/decision_core.h"
#include "daemon/bounded_queue.h"

namespace bramleygrade {

/// Looks at the core on the thread that decides.
using inspection = std::function<void(const decision_core &, timestamp now)>;
using decision_input = std::variant<event, inspection>;
using decision_queue = bounded_queue<decision_input>;
/// Carries out one command; must not block.
using command_sink = std::function<void(const decision_core &, command &&)>;

/// Looks at the core after each tick; must not block.
using tick_observer = std::function<void(const decision_core &, timestamp now)>;

/// The duty that decides: it alone touches the core, and hands each command to the sink.
///
///     decision_loop loop(identity, ring, sink);
///     loop.start();
///
/// Ticks reach the core every 10 ms. Events come from `ring`; a full ring is the refusal of whoever
/// pushes.
class decision_loop
{
public:
    decision_loop(const entry_identity &identity, decision_queue &ring, command_sink sink,
                  tick_observer observer);
    ~decision_loop();
    void start();
    /// Ends the thread once the ring is closed.
    void join();

private:
    void run();
    void decide(const event &input);

    decision_core m_core;
    decision_queue &m_ring;
    command_sink m_sink;
    tick_observer m_observer;
    std::thread m_thread;
};

/// Runs `look` on the deciding thread and waits for it; false where the ring is full or closed.
bool inspect(decision_queue &ring, const inspection &look);

} // namespace bramleygrade
