#pragma once

#include <functional>
#include <string>

#include "entry/entry_settings.h"
#include "entry/ports.h"
#include "net/http_client.h"

namespace bramleygrade::entry {

/// Creates the ports of the platform that the entry runs on.
using platform_connector = std::function<platform_ports(const cell_settings &, net::http_client &)>;

/// Runs one cell entry until SIGTERM or SIGINT: listens, follows the scheduler and serves requests.
/// SIGHUP reloads the settings. Returns the exit code: 0 after a stop, 2 if the settings cannot be
/// used; the reason is then on standard error.
int runCellEntry(const std::string &settingsPath, const platform_connector &connect);

} // namespace bramleygrade::entry
