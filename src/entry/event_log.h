#pragma once

#include <initializer_list>
#include <map>
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
/// Fields with an empty value are left out. Lines of an event with a limit of its own that exceed
/// it are suppressed, and a line `lines_suppressed` tells how many. Lines that exceed the rate, or
/// the buffer while standard output accepts no data, are dropped and counted; the count is logged
/// before the next line that is accepted.
struct event_limit
{
    std::int64_t linesPerSecond = 0;
    std::int64_t linesInWindow = 0;
    std::uint64_t suppressedInWindow = 0;
};

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
    /// Limits of events that many workers or entries can cause at the same time, by event.
    std::map<std::string, event_limit, std::less<>> limits;
    std::uint64_t suppressed = 0;
};

using log_fields = std::initializer_list<std::pair<const char *, std::string>>;

/// Opens a log on standard output, which becomes non-blocking.
event_log openLog(std::string instance, std::int64_t linesPerSecond);

/// Adds one line to the log; `wall` is the wall-clock time, microseconds since 1970.
void writeEvent(event_log &log, std::int64_t wall, const char *event, log_fields fields);

/// Returns how many bytes of `pending`, from offset `from`, go into one write: as many whole lines
/// as fit, or part of a line that is too long for one write.
std::size_t chunkSize(const std::string &pending, std::size_t from);

/// Writes as much as standard output accepts without blocking, in chunks of whole lines.
void flushLog(event_log &log);

} // namespace bramleygrade::entry
