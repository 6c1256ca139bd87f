#pragma once

#include <string>

#include <tl/expected.hpp>

#include "bramleygrade/values.h"

namespace bramleygrade {

/// Error for invalid settings. The message names the file, the line or field, and the remedy.
struct settings_error
{
    std::string message;
};

/// Reads, parses and validates a settings file: JSON with comments, as in schema/settings.fbs.
tl::expected<entry_settings, settings_error> parseSettingsFile(const std::string &path);

/// Parses settings and validates them, including the rules that the schema cannot express. `origin`
/// is the name of the source in error messages; an empty `log_level` becomes `info`.
tl::expected<entry_settings, settings_error> parseSettings(const std::string &origin,
                                                           const std::string &text);

} // namespace bramleygrade
