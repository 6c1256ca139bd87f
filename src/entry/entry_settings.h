#pragma once

#include <string>

#include <tl/expected.hpp>

#include "bramleygrade/values.h"

namespace bramleygrade::entry {

/// Settings of one cell entry; JSON with comments, see deploy/ for a template.
struct cell_settings
{
    std::string name;
    std::string failure_domain;
    /// IP number of this instance.
    std::string host;
    std::string caller_address;
    std::string ready_address;
    std::string peer_address;
    /// Empty: no metrics are served.
    std::string metrics_address;
    std::string store_address;
    std::string advice_address;
    microseconds longest_lease = 6 * second;
    microseconds gang_timeout = 3 * second;
    microseconds stop_timeout = 900 * millisecond;
    microseconds ended_kept = 120 * second;
    /// Time between SIGTERM and the end of the process at the latest.
    microseconds shutdown_grace = 6 * second;
    std::int64_t log_lines_per_second = 4'000;
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
