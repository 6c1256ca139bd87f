#pragma once

#include <functional>
#include <thread>
#include <variant>

#include "bramleygrade/decision_core.h"
#include "daemon/bounded_queue.h"

namespace bramleygrade {

/// Callback that reads the core on the decision thread.
using inspection_callback = std::function<void(const decision_core &, timestamp now)>;
/// Item of the decision queue: an event for the core, or a callback that reads the core.
using decision_input = std::variant<event, inspection_callback>;
using decision_queue = bounded_queue<decision_input>;
/// Executes one command; must not block.
using command_sink = std::function<void(const decision_core &, command &&)>;

/// Callback that reads the core after each tick; must not block.
using tick_observer = std::function<void(const decision_core &, timestamp now)>;

/// Event loop of the decision thread. Only this thread accesses the core; it passes each command of
/// the core to the sink.
///
///     decision_loop loop(identity, queue, sink, observer);
///     loop.start();
///
/// The core gets a tick every 10 ms. Events come from `queue`; when it is full, the push fails and
/// the pushing thread handles the rejection.
class decision_loop
{
public:
    decision_loop(const entry_identity &identity, decision_queue &queue, command_sink sink,
                  tick_observer observer);
    ~decision_loop();
    void start();
    /// Waits for the thread, which ends once the queue is closed.
    void join();

private:
    void run();
    void processEvent(const event &input);

    decision_core m_core;
    decision_queue &m_queue;
    command_sink m_sink;
    tick_observer m_observer;
    std::thread m_thread;
};

/// Runs `callback` on the decision thread and waits for it. Returns false when the queue is full or
/// closed.
bool inspect(decision_queue &queue, const inspection_callback &callback);

} // namespace bramleygrade
