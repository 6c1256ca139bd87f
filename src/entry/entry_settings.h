#pragma once

#include <string>

#include <tl/expected.hpp>

#include "bramleygrade/values.h"

namespace bramleygrade::entry {

/// Settings of one cell entry; JSON with comments, see deploy/ for a template.
struct cell_settings
{
    std::string name;
    std::string failureDomain;
    /// IP number of this instance.
    std::string host;
    std::string callerAddress;
    std::string readyAddress;
    std::string peerAddress;
    /// Empty: no metrics are served.
    std::string metricsAddress;
    std::string storeAddress;
    std::string adviceAddress;
    microseconds maxLease = 6 * second;
    microseconds gangTimeout = 3 * second;
    microseconds stopTimeout = 900 * millisecond;
    microseconds endedKept = 120 * second;
    /// Time between SIGTERM and the end of the process at the latest.
    microseconds shutdownGrace = 6 * second;
    std::int64_t logLinesPerSecond = 4'000;
    /// Share of a processor that this instance has, thousandths; a scheduler hands over to an
    /// instance with a much larger one.
    std::int64_t processorMilli = 1'000;
};

/// The settings cannot be used; the message names the line or field and the remedy.
struct cell_settings_error
{
    std::string message;
};

tl::expected<cell_settings, cell_settings_error> parseCellSettings(const std::string &origin,
                                                                   const std::string &text);
tl::expected<cell_settings, cell_settings_error> readCellSettings(const std::string &path);

} // namespace bramleygrade::entry
