#include "net/busy_meter.h"

namespace bramleygrade::net {

namespace {

/// Attributes the time up to now to the current duty; ignored if its start is not known.
void attributeTime(busy_meter &meter)
{
    const timestamp now = meter.now();
    if (meter.since != distantPast) {
        meter.of(meter.current).busy += now - meter.since;
    }
    meter.since = now;
}

} // namespace

const char *dutyName(duty value)
{
    switch (value) {
    case duty::decide:
        return "decide";
    case duty::worker_call:
        return "worker_call";
    case duty::peer_message:
        return "peer_message";
    case duty::caller:
        return "caller";
    case duty::store:
        return "store";
    case duty::advice:
        return "advice";
    case duty::log:
        return "log";
    case duty::other:
        break;
    }
    return "other";
}

void setDuty(busy_meter *meter, duty value)
{
    if (meter == nullptr) {
        return;
    }
    meter->current = value;
    if (meter->since == distantPast) {
        meter->since = meter->now();
    }
}

void switchDuty(busy_meter &meter, duty value)
{
    attributeTime(meter);
    meter.current = value;
}

void runMetered(boost::asio::io_context &loop, busy_meter &meter)
{
    meter.since = meter.now();
    while (!loop.stopped()) {
        if (loop.poll_one() == 0) {
            // The handler's first `setDuty` ends the wait.
            meter.since = distantPast;
            if (loop.run_one() == 0) {
                return;
            }
        }
        ++meter.of(meter.current).events;
        switchDuty(meter, duty::other);
    }
}

duty_scope::duty_scope(busy_meter *meter, duty value)
    : m_meter(meter == nullptr || meter->current == value ? nullptr : meter)
{
    if (m_meter != nullptr) {
        m_outer = m_meter->current;
        switchDuty(*m_meter, value);
    }
}

duty_scope::~duty_scope()
{
    if (m_meter != nullptr) {
        switchDuty(*m_meter, m_outer);
    }
}

} // namespace bramleygrade::net
