#pragma once

#include <utility>
#include <vector>

#include "bramleygrade/values.h"

namespace bramleygrade {

/// What every decision function gets: the time of the event and the place for its commands.
struct step_context
{
    timestamp now;
    std::vector<command> &commands;
};

template <typename Command>
void emit(step_context &context, Command value)
{
    context.commands.emplace_back(std::move(value));
}

/// Queues a message to the entry with this identity; the caller fills in the body only.
template <typename Body>
void sendToPeer(step_context &context, const std::string &from, const std::string &to, Body body)
{
    peer_message message;
    message.from = from;
    message.to = to;
    message.sent_at = context.now;
    message.body.Set(std::move(body));
    emit(context, std::move(message));
}

/// Limits within which the safety arguments hold; see docs/design/authority.md.
/// Two clocks that measure the same interval differ by at most this share, in percent.
constexpr microseconds clockRateErrorPercent = 1;
/// Clocks of two instances show times that differ by at most this much.
constexpr microseconds clockOffsetBound = 250 * millisecond;

/// The longest own span that has surely not outlasted `span` on any other clock.
constexpr microseconds shortenedByClockError(microseconds span)
{
    return span - 2 * clockRateErrorPercent * span / 100;
}

/// The shortest own span that has surely outlasted `span` on every other clock.
constexpr microseconds lengthenedByClockError(microseconds span)
{
    return span + 2 * clockRateErrorPercent * span / 100;
}

} // namespace bramleygrade
