#pragma once

#include <initializer_list>
#include <string>
#include <utility>

#include "bramleygrade/values.h"

namespace bramleygrade::entry {

/// Structured log lines on standard output: one JSON object a line.
///
///     event_log log = openLog("entry-1", 4000);
///     writeEvent(log, now, "job_accepted", {{"job", id}, {"epoch", "3"}});
///     flushLog(log);   // never blocks
///
/// Lines over the rate, or over the buffer while standard output takes none, are dropped and
/// counted; the count is written as soon as there is room again.
struct event_log
{
    std::string instance;
    std::int64_t linesPerSecond = 0;
    std::string pending;
    timestamp rateWindowStart = distantPast;
    std::int64_t linesInWindow = 0;
    std::uint64_t dropped = 0;
    std::uint64_t droppedReported = 0;
    std::uint64_t written = 0;
};

using log_fields = std::initializer_list<std::pair<const char *, std::string>>;

/// Makes standard output non-blocking.
event_log openLog(std::string instance, std::int64_t linesPerSecond);

/// `wall` is the time of day, microseconds since 1970.
void writeEvent(event_log &log, std::int64_t wall, const char *event, log_fields fields);

/// Bytes of `pending` from `from` on that one write takes: whole lines, as far as they fit.
std::size_t chunkSize(const std::string &pending, std::size_t from);

/// Writes what standard output takes at once, in pieces of whole lines.
void flushLog(event_log &log);

} // namespace bramleygrade::entry
