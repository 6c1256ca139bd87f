#pragma once

#include <string>
#include <vector>

namespace bramleygrade {

/// Checks a configuration file: FILE [--in-force FILE]. Prints findings with their lines, and the
/// differences from the configuration in force. Returns 0: fine, 1: there are findings, 2: a file
/// cannot be read.
int checkConfig(const std::vector<std::string> &arguments);

} // namespace bramleygrade
