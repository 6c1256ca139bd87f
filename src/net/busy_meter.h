#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include <boost/asio/io_context.hpp>

#include "bramleygrade/values.h"

namespace bramleygrade::net {

/// What an event loop's time is used for.
enum class duty { other, decide, worker_call, peer_message, caller, store, advice, log };

constexpr std::size_t dutyCount = 8;

/// Returns the duty's name, as used in metrics and log lines.
const char *dutyName(duty value);

/// Totals of one duty since the process started.
struct duty_usage
{
    microseconds busy = 0;
    /// Handlers that the event loop has called.
    std::uint64_t events = 0;
    /// Bytes of HTTP bodies.
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;
};

using duty_usages = std::array<duty_usage, dutyCount>;

/// Attributes the time between two waits of an event loop to duties. The sum over all duties is the
/// time during which the loop was busy, including time during which the process was not scheduled.
///
///     busy_meter meter;
///     meter.now = steadyNow;
///     runMetered(loop, meter);              // in place of loop.run()
///     setDuty(&meter, duty::caller);        // first statement of a handler
///     const duty_scope scope(&meter, duty::store);   // other work within a handler
///
/// The functions accept null in place of a meter.
struct busy_meter
{
    timestamp (*now)() = nullptr;
    duty current = duty::other;
    /// Start of the time that is not attributed yet; `distantPast` while the loop may be waiting.
    timestamp since = distantPast;
    duty_usages usage {};

    duty_usage &of(duty value) { return usage[static_cast<std::size_t>(value)]; }
};

/// Attributes the event that is being handled to `value`, from its start on.
void setDuty(busy_meter *meter, duty value);

/// Attributes the time up to now to the current duty, and the time that follows to `value`.
void switchDuty(busy_meter &meter, duty value);

/// Runs the loop until it is stopped or out of work.
void runMetered(boost::asio::io_context &loop, busy_meter &meter);

/// Attributes the time of its scope to a duty.
class duty_scope
{
public:
    duty_scope(busy_meter *meter, duty value);
    ~duty_scope();
    duty_scope(const duty_scope &) = delete;
    duty_scope &operator=(const duty_scope &) = delete;

private:
    /// Null if the scope changes nothing.
    busy_meter *m_meter;
    duty m_outer = duty::other;
};

} // namespace bramleygrade::net
