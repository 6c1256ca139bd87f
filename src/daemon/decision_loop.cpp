#include "daemon/decision_loop.h"

#include "absl/synchronization/notification.h"
#include "daemon/clock.h"

namespace bramleygrade {

namespace {

constexpr microseconds tickInterval = 10 * millisecond;
constexpr microseconds inspectionCheckInterval = 5 * second;

} // namespace

decision_loop::decision_loop(const entry_identity &identity, decision_queue &queue,
                             command_sink sink, tick_observer observer)
    : m_core(identity)
    , m_queue(queue)
    , m_sink(std::move(sink))
    , m_observer(std::move(observer))
{
}

decision_loop::~decision_loop()
{
    m_queue.close();
    join();
}

void decision_loop::start()
{
    m_thread = std::thread([this] { run(); });
}

void decision_loop::join()
{
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void decision_loop::processEvent(const event &input)
{
    for (command &output : step(m_core, input, currentTime())) {
        m_sink(m_core, std::move(output));
    }
}

void decision_loop::run()
{
    timestamp nextTick = currentTime();
    while (!m_queue.isClosed()) {
        const timestamp now = currentTime();
        if (now >= nextTick) {
            processEvent(tick {});
            m_observer(m_core, now);
            nextTick = now + tickInterval;
        }
        auto input = m_queue.popUntil(
            absl::Now() + absl::Microseconds(std::max<microseconds>(nextTick - currentTime(), 0)));
        if (!input) {
            continue;
        }
        if (const event *coreEvent = std::get_if<event>(&*input)) {
            processEvent(*coreEvent);
        } else {
            std::get<inspection_callback> (*input)(m_core, currentTime());
        }
    }
}

bool inspect(decision_queue &queue, const inspection_callback &callback)
{
    auto finished = std::make_shared<absl::Notification>();
    inspection_callback wrapped = [finished, &callback](const decision_core &core, timestamp now) {
        callback(core, now);
        finished->Notify();
    };
    if (!queue.tryPush(decision_input {std::move(wrapped)})) {
        return false;
    }
    // `wrapped` refers to `callback`, so this function returns only after the decision thread has
    // called it or the queue is closed.
    while (!finished->WaitForNotificationWithTimeout(absl::Microseconds(inspectionCheckInterval))) {
        if (queue.isClosed()) {
            return false;
        }
    }
    return true;
}

} // namespace bramleygrade
