#pragma once

#include <string>

#include "bramleygrade/values.h"

/// \file
/// Clock, text helpers and the record of a soak.

namespace bramleygrade::soak {

/// Microseconds of a steady clock.
timestamp steadyNow();
/// Milliseconds since 1970.
std::int64_t unixMillis();

std::string encodeBase64(const std::string &bytes);
std::string decodeBase64(const std::string &text);
/// Returns the number of bytes that the base64 text stands for.
std::size_t decodedSize(const std::string &base64);
/// Returns the value of a field in the query of an HTTP target, with %XX decoded; empty if absent.
std::string queryField(const std::string &target, const std::string &name);

/// Opens the file to which `note` writes.
void openRecord(const std::string &path);
/// Returns the seconds since `openRecord`.
std::string recordTime(timestamp at);
/// Writes one line with the seconds since `openRecord`.
void note(const std::string &line);

} // namespace bramleygrade::soak
