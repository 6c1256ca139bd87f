#pragma once

#include <string>

#include "bramleygrade/values.h"

namespace bramleygrade {

/// Configures logging to standard error. Each line has the time, level, instance and failure
/// domain, followed by `key=value` pairs.
void configureLogging(const entry_settings &settings);

void logInfo(const std::string &line);
void logWarning(const std::string &line);
void logError(const std::string &line);

/// Returns true when `level` is a valid log level for the settings.
bool isLogLevel(const std::string &level);

} // namespace bramleygrade
