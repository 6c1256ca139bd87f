#include "entry/event_log.h"

#include <fcntl.h>
#include <unistd.h>

namespace bramleygrade::entry {

namespace {

/// Buffer size above which lines are dropped while standard output accepts no data.
constexpr std::size_t maxPendingBytes = 512U << 10U;
/// Maximum size of one write; the log of the users' platform keeps only 8 KB of each.
constexpr std::size_t chunkBytes = 4U << 10U;

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

bool admitLine(event_log &log, std::int64_t wall)
{
    if (wall >= log.rateWindowStart + second || wall < log.rateWindowStart) {
        log.rateWindowStart = wall;
        log.linesInWindow = 0;
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
    return log;
}

void writeEvent(event_log &log, std::int64_t wall, const char *event, log_fields fields)
{
    if (!admitLine(log, wall)) {
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
