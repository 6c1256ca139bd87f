#include "daemon/decision_loop.h"

#include "absl/synchronization/notification.h"
#include "daemon/clock.h"

namespace bramleygrade {

namespace {

constexpr microseconds tickInterval = 10 * millisecond;
constexpr microseconds inspectionLimit = 5 * second;

} // namespace

decision_loop::decision_loop(const entry_identity &identity, decision_queue &ring,
                             command_sink sink, tick_observer observer)
    : m_core(identity)
    , m_ring(ring)
    , m_sink(std::move(sink))
    , m_observer(std::move(observer))
{
}

decision_loop::~decision_loop()
{
    m_ring.close();
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

void decision_loop::decide(const event &input)
{
    for (command &wanted : step(m_core, input, currentTime())) {
        m_sink(m_core, std::move(wanted));
    }
}

void decision_loop::run()
{
    timestamp nextTick = currentTime();
    while (!m_ring.isClosed()) {
        const timestamp now = currentTime();
        if (now >= nextTick) {
            decide(tick {});
            m_observer(m_core, now);
            nextTick = now + tickInterval;
        }
        auto input = m_ring.popUntil(
            absl::Now() + absl::Microseconds(std::max<microseconds>(nextTick - currentTime(), 0)));
        if (!input) {
            continue;
        }
        if (const event *happened = std::get_if<event>(&*input)) {
            decide(*happened);
        } else {
            std::get<inspection> (*input)(m_core, currentTime());
        }
    }
}

bool inspect(decision_queue &ring, const inspection &look)
{
    auto finished = std::make_shared<absl::Notification>();
    inspection wrapped = [finished, &look](const decision_core &core, timestamp now) {
        look(core, now);
        finished->Notify();
    };
    if (!ring.tryPush(decision_input {std::move(wrapped)})) {
        return false;
    }
    // The reference to `look` lives on until the deciding thread has run it or has ended.
    while (!finished->WaitForNotificationWithTimeout(absl::Microseconds(inspectionLimit))) {
        if (ring.isClosed()) {
            return false;
        }
    }
    return true;
}

} // namespace bramleygrade
