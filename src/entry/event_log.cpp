#include "entry/event_log.h"

#include <fcntl.h>
#include <unistd.h>

namespace bramleygrade::entry {

namespace {

/// Buffer size above which lines are dropped while standard output accepts no data.
constexpr std::size_t maxPendingBytes = 512U << 10U;
/// Maximum size of one write; the log of the users' platform keeps only 8 KB of each.
constexpr std::size_t chunkBytes = 4U << 10U;

/// Lines per second of events that a takeover or an outage causes for each worker or entry.
const std::pair<const char *, std::int64_t> defaultLimits[] = {{"worker_settled", 5},
                                                               {"worker_silent", 10},
                                                               {"worker_listed", 5},
                                                               {"worker_unlisted", 10},
                                                               {"worker_capacity_changed", 10},
                                                               {"member_joined", 5},
                                                               {"member_silent", 10},
                                                               {"member_back", 10},
                                                               {"call_unauthenticated", 20},
                                                               {"clients_refused", 4},
                                                               {"call_forbidden", 20},
                                                               {"held_call_refused", 10},
                                                               {"checkpoints_not_stored", 5},
                                                               {"change_too_large", 5},
                                                               {"store_write_rejected", 20}};

void appendString(std::string &out, const std::string &text)
{
    out += '"';
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else {
            out += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
        }
    }
    out += '"';
}

void appendLine(event_log &log, std::int64_t wall, const char *event, log_fields fields);

void startRateWindow(event_log &log, std::int64_t wall)
{
    log.rateWindowStart = wall;
    log.linesInWindow = 0;
    for (auto &[event, limit] : log.limits) {
        if (limit.suppressedInWindow > 0) {
            appendLine(log, wall, "lines_suppressed",
                       {{"of_event", event}, {"lines", std::to_string(limit.suppressedInWindow)}});
        }
        limit.linesInWindow = 0;
        limit.suppressedInWindow = 0;
    }
}

bool admitLine(event_log &log, std::int64_t wall, const char *event)
{
    if (wall >= log.rateWindowStart + second || wall < log.rateWindowStart) {
        startRateWindow(log, wall);
    }
    const auto limit = log.limits.find(event);
    if (limit != log.limits.end() && ++limit->second.linesInWindow > limit->second.linesPerSecond) {
        ++limit->second.suppressedInWindow;
        ++log.suppressed;
        return false;
    }
    if (++log.linesInWindow > log.linesPerSecond || log.pending.size() > maxPendingBytes) {
        ++log.dropped;
        return false;
    }
    return true;
}

void appendLine(event_log &log, std::int64_t wall, const char *event, log_fields fields)
{
    std::string &out = log.pending;
    out += R"({"at_ms":)";
    out += std::to_string(wall / millisecond);
    out += R"(,"instance":)";
    appendString(out, log.instance);
    out += R"(,"event":)";
    appendString(out, event);
    for (const auto &[name, value] : fields) {
        if (value.empty()) {
            continue;
        }
        out += ',';
        appendString(out, name);
        out += ':';
        appendString(out, value);
    }
    out += "}\n";
    ++log.written;
}

} // namespace

event_log openLog(std::string instance, std::int64_t linesPerSecond)
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    event_log log;
    log.instance = std::move(instance);
    log.linesPerSecond = linesPerSecond;
    for (const auto &[event, lines] : defaultLimits) {
        log.limits[event].linesPerSecond = lines;
    }
    return log;
}

void writeEvent(event_log &log, std::int64_t wall, const char *event, log_fields fields)
{
    if (!admitLine(log, wall, event)) {
        return;
    }
    if (log.dropped != log.droppedReported) {
        appendLine(log, wall, "log_lines_dropped", {{"total", std::to_string(log.dropped)}});
        log.droppedReported = log.dropped;
    }
    appendLine(log, wall, event, fields);
    if (log.pending.size() >= chunkBytes) {
        flushLog(log);
    }
}

std::size_t chunkSize(const std::string &pending, std::size_t from)
{
    if (pending.size() - from <= chunkBytes) {
        return pending.size() - from;
    }
    const std::size_t end = pending.rfind('\n', from + chunkBytes - 1);
    return end == std::string::npos || end < from ? chunkBytes : end + 1 - from;
}

void flushLog(event_log &log)
{
    if (log.pending.empty()) {
        return;
    }
    std::size_t done = 0;
    while (done < log.pending.size()) {
        const std::size_t size = chunkSize(log.pending, done);
        const ssize_t bytesWritten = ::write(STDOUT_FILENO, log.pending.data() + done, size);
        if (bytesWritten <= 0) {
            break;
        }
        done += static_cast<std::size_t>(bytesWritten);
    }
    log.pending.erase(0, done);
}

} // namespace bramleygrade::entry
