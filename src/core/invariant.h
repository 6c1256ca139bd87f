#pragma once

#include <string_view>

/// \file
/// Checks that stay on in every build: a broken promise to the users ends the process.

namespace bramleygrade {

/// Prints what was broken and what to do, then aborts.
[[noreturn]] void failInvariant(const char *condition, std::string_view remedy);

} // namespace bramleygrade

/// Aborts with `remedy` unless `condition` holds.
#define BRAMLEYGRADE_INVARIANT(condition, remedy)                                                  \
    do {                                                                                           \
        if (!(condition)) {                                                                        \
            ::bramleygrade::failInvariant(#condition, remedy);                                     \
        }                                                                                          \
    } while (false)
