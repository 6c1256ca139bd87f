#pragma once

#include <utility>
#include <vector>

#include "bramleygrade/values.h"

namespace bramleygrade {

/// Context of one step: the time of the event, and the list to which commands are appended.
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

/// Appends a message from the entry `from` to the entry `to`, both identities, to the commands.
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

// The safety arguments in docs/design/authority.md assume these bounds on clock errors.

/// Two clocks that measure the same interval differ by at most this percentage of it.
constexpr microseconds clockRateErrorPercent = 1;
/// The clocks of two instances differ by at most this much.
constexpr microseconds clockOffsetBound = 250 * millisecond;

/// The longest span on the own clock that is certain not to outlast `span` on any other clock.
constexpr microseconds shortenedByClockError(microseconds span)
{
    return span - 2 * clockRateErrorPercent * span / 100;
}

/// The shortest span on the own clock that is certain to outlast `span` on every other clock.
constexpr microseconds lengthenedByClockError(microseconds span)
{
    return span + 2 * clockRateErrorPercent * span / 100;
}

} // namespace bramleygrade
