#pragma once

#include <string>

#include <tl/expected.hpp>

#include "bramleygrade/values.h"

namespace bramleygrade::entry {

/// Settings of one cell entry, read from JSON with comments; platform/settings.json.template is an
/// example.
struct cell_settings
{
    std::string name;
    std::string failureDomain;
    /// IP address of this instance.
    std::string host;
    std::string callerAddress;
    std::string readyAddress;
    std::string peerAddress;
    /// Empty if no metrics are served.
    std::string metricsAddress;
    std::string storeAddress;
    std::string adviceAddress;
    /// Maximum duration of a worker's lease.
    microseconds maxLease = 6 * second;
    microseconds gangTimeout = 3 * second;
    microseconds stopTimeout = 900 * millisecond;
    /// How long ended jobs are kept in memory.
    microseconds endedKept = 120 * second;
    /// Maximum time from SIGTERM to the exit of the process.
    microseconds shutdownGrace = 6 * second;
    std::int64_t logLinesPerSecond = 4'000;
    /// Processor share of this instance, thousandths of a processor; a scheduler hands over to an
    /// instance with a much larger share.
    std::int64_t processorMilli = 1'000;
    /// Memory limit of the process, in MiB; open jobs may take about half of it.
    std::int64_t memoryLimitMb = 260;
    /// Time from the storing of a configuration without a key after which no call with that key may
    /// be served; 0: no limit.
    microseconds revocationLimit = 0;
    /// Length of the sliding window in which a team's submissions are counted, and the number of
    /// jobs that the team may send in it beyond its weight.
    microseconds teamWindow = 5 * second;
    std::int64_t teamWindowSlack = 20;
    /// Tasks that are seen to slow each other down are kept apart where there is room.
    bool separateClashingTasks = true;
    /// Learned speeds of workers are used where they differ by a wide margin.
    bool workerSpeeds = true;
};

/// Why the settings cannot be used; `message` names the line or field and the remedy.
struct cell_settings_error
{
    std::string message;
};

/// Parses the settings in `text`; `origin` is the file name used in error messages.
tl::expected<cell_settings, cell_settings_error> parseCellSettings(const std::string &origin,
                                                                   const std::string &text);
tl::expected<cell_settings, cell_settings_error> readCellSettings(const std::string &path);

} // namespace bramleygrade::entry
