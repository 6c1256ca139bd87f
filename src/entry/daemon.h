#pragma once

#include <functional>
#include <string>

#include "entry/entry_settings.h"
#include "entry/ports.h"
#include "net/http_client.h"

namespace bramleygrade::entry {

using platform_connector = std::function<platform_ports(const cell_settings &, net::http_client &)>;

/// Runs one cell entry: listens, follows the cell and serves until it is told to stop. Returns the
/// exit code: 0 after a stop, 2 if the settings cannot be used.
int runCellEntry(const std::string &settingsPath, const platform_connector &connect);

} // namespace bramleygrade::entry
