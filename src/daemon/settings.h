#pragma once

#include <string>

#include <tl/expected.hpp>

#include "bramleygrade/values.h"

namespace bramleygrade {

/// The settings cannot be used. The message names file, line or field, and the remedy.
struct settings_error
{
    std::string message;
};

/// Reads and checks a settings file: JSON with comments, after schema/settings.fbs.
tl::expected<entry_settings, settings_error> parseSettingsFile(const std::string &path);

/// The checks that the schema cannot express.
tl::expected<entry_settings, settings_error> parseSettings(const std::string &origin,
                                                           const std::string &text);

} // namespace bramleygrade
