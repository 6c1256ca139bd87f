#pragma once

#include <string>

#include "bramleygrade/values.h"

/// \file
/// Bounds of the users' sheets and helpers that the cases share.

namespace bramleygrade::review {

constexpr microseconds contactTime = 3 * second;
constexpr microseconds cancelTime = 3 * second;
constexpr microseconds stopTimeout = 900 * millisecond;
constexpr microseconds finishTime = 14 * second;
/// Added to each bound, for the stand-ins' own delays.
constexpr microseconds tolerance = 500 * millisecond;

/// Returns an id of 16 hexadecimal digits; `prefix` has to consist of such digits.
std::string jobId(const std::string &prefix, int number);
std::string inMs(microseconds time);

} // namespace bramleygrade::review
