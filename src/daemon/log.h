#pragma once

#include <string>

#include "bramleygrade/values.h"

namespace bramleygrade {

/// Sends log lines to standard error: time, level, instance, failure domain, then `key=value`
/// pairs.
void configureLogging(const entry_settings &settings);

void logInfo(const std::string &line);
void logWarning(const std::string &line);
void logError(const std::string &line);

/// True where `level` is one that settings may name.
bool isLogLevel(const std::string &level);

} // namespace bramleygrade
