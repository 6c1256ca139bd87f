#pragma once

#include <string_view>

/// \file
/// Checks that are enabled in every build: a violated guarantee to users ends the process.

namespace bramleygrade {

/// Prints the violated condition and the remedy, then aborts.
[[noreturn]] void failInvariant(const char *condition, std::string_view remedy);

} // namespace bramleygrade

/// Aborts with `remedy` unless `condition` holds.
#define BRAMLEYGRADE_INVARIANT(condition, remedy)                                                  \
    do {                                                                                           \
        if (!(condition)) {                                                                        \
            ::bramleygrade::failInvariant(#condition, remedy);                                     \
        }                                                                                          \
    } while (false)
